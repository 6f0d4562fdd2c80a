/**
 * Hybrid logical clock. Its stamps are close to wall time, yet an event that causes another always has the
 * smaller stamp, even when the clocks of the two processes differ: a process that receives a stamp moves
 * its own clock past it.
 */
import type { Clock } from '../common/index.js'

/** A stamp: wall time in milliseconds, and a counter that orders events within one millisecond. */
export interface HybridTimestamp {
  wall: number
  counter: number
}

/** Name of the HTTP header and the gRPC metadata key that carry a stamp from process to process. */
export const hybridTimeHeader = 'x-dogwooddale-time'

/** Stamps further ahead of the local wall clock than this are not adopted, so that one wrong clock cannot move all others. */
const maxClockLeadMilliseconds = 60_000

/** Compares two stamps for sorting. */
export function compareTimestamps (left: HybridTimestamp, right: HybridTimestamp): number {
  return left.wall - right.wall || left.counter - right.counter
}

/** Writes a stamp as text, `wall.counter`. */
export function formatTimestamp (timestamp: HybridTimestamp): string {
  return `${timestamp.wall}.${timestamp.counter}`
}

/** Reads a stamp from text; undefined if the text is not a stamp. */
export function parseTimestamp (text: string | null | undefined): HybridTimestamp | undefined {
  const parts = /^(\d{1,15})\.(\d{1,9})$/.exec(text ?? '')
  if (parts === null) return undefined
  return { wall: Number(parts[1]), counter: Number(parts[2]) }
}

/** The hybrid logical clock of one process. */
export class HybridClock {
  private last: HybridTimestamp = { wall: 0, counter: 0 }

  constructor (private readonly clock: Clock) {}

  /** Makes the stamp of a local event or of a message that is sent. */
  now (): HybridTimestamp {
    const wall = Math.floor(this.clock.wall())
    this.last = wall > this.last.wall
      ? { wall, counter: 0 }
      : { wall: this.last.wall, counter: this.last.counter + 1 }
    return this.last
  }

  /** Moves the clock past a stamp that was received. */
  receive (timestamp: HybridTimestamp | undefined): void {
    if (timestamp === undefined) return
    if (timestamp.wall > this.clock.wall() + maxClockLeadMilliseconds) return
    if (compareTimestamps(timestamp, this.last) > 0) this.last = timestamp
  }
}
