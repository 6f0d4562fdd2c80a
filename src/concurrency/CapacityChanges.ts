/**
 * Decides which changes of the capacities of workers are logged.
 */
import { BoundedTable, type Clock, type WorkerId } from '../common/index.js'

/** Minimum time between two lines about one worker, in milliseconds. */
const intervalMilliseconds = 1000

/** Smallest relative change that is logged. */
const loggedChange = 0.25

/** Number of workers that are remembered. */
const maxWorkers = 4096

/** Limit and slowness of a worker, as in `WorkerCapacity`. */
export interface CapacityValues { limit: number, slowness: number }

/** Remembers the values that were logged last. */
export class CapacityChanges {
  private readonly logged = new BoundedTable<CapacityValues & { at: number }>(maxWorkers)

  constructor (private readonly clock: Clock) {}

  /** The values of the last line if the present ones are to be logged, and undefined otherwise. */
  record (worker: WorkerId, neutralLimit: number, valuesOf: () => CapacityValues): CapacityValues | undefined {
    const at = this.clock.monotonic()
    const last = this.logged.get(worker) ?? { limit: neutralLimit, slowness: 1, at: -Infinity }
    if (at - last.at < intervalMilliseconds) return undefined
    const { limit, slowness } = valuesOf()
    if (!isChanged(last.limit, limit) && !isChanged(last.slowness, slowness)) return undefined
    this.logged.set(worker, { limit, slowness, at })
    return last
  }
}

function isChanged (before: number, now: number): boolean {
  return before !== now && (!Number.isFinite(before) || Math.abs(now - before) > loggedChange * before)
}

/** A value rounded for a log line; undefined if it is infinite. */
export function roundedForLog (value: number): number | undefined {
  return Number.isFinite(value) ? Math.round(value * 100) / 100 : undefined
}
