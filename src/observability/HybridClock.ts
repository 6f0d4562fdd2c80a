/**
 * Hybrid logical clock. Its timestamps are close to wall time, yet a cause always has a smaller timestamp than its
 * effect, even when the clocks of the two processes differ: a process that receives a timestamp advances its own
 * clock past it.
 */
import type { Clock } from '../common/index.js'

/** A timestamp: wall time in Unix milliseconds, and a counter that orders events within one millisecond. */
export interface HybridTimestamp {
  wall: number
  counter: number
}

/** Name of the HTTP header and gRPC metadata key that carry a timestamp between processes. */
export const hybridTimeHeader = 'x-dogwooddale-time'

/**
 * Maximum lead of a received timestamp over the local wall clock. A timestamp with a greater lead is ignored, so that
 * one wrong clock cannot advance all others.
 */
const maxClockLeadMilliseconds = 60_000

/** Compares two timestamps for sorting, earlier first. */
export function compareTimestamps (left: HybridTimestamp, right: HybridTimestamp): number {
  return left.wall - right.wall || left.counter - right.counter
}

/** Formats a timestamp as `wall.counter`. */
export function formatTimestamp (timestamp: HybridTimestamp): string {
  return `${timestamp.wall}.${timestamp.counter}`
}

/** Parses a timestamp `wall.counter`; returns undefined if the text is not one. */
export function parseTimestamp (text: string | null | undefined): HybridTimestamp | undefined {
  const parts = /^(\d{1,15})\.(\d{1,9})$/.exec(text ?? '')
  if (parts === null) return undefined
  return { wall: Number(parts[1]), counter: Number(parts[2]) }
}

/** Makes the timestamps of one process, each greater than all that it made before and all that `receive` accepted. */
export class HybridClock {
  private last: HybridTimestamp = { wall: 0, counter: 0 }

  constructor (private readonly clock: Clock) {}

  /** Makes the timestamp of a local event or of a message to send. */
  now (): HybridTimestamp {
    const wall = Math.floor(this.clock.wall())
    this.last = wall > this.last.wall
      ? { wall, counter: 0 }
      : { wall: this.last.wall, counter: this.last.counter + 1 }
    return this.last
  }

  /** Advances the clock past a received timestamp. */
  receive (timestamp: HybridTimestamp | undefined): void {
    if (timestamp === undefined) return
    if (timestamp.wall > this.clock.wall() + maxClockLeadMilliseconds) return
    if (compareTimestamps(timestamp, this.last) > 0) this.last = timestamp
  }
}
