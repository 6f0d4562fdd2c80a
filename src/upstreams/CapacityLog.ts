/**
 * Logs how the learned capacity of each worker moves.
 */
import type { Clock } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { Upstream } from './Upstream.js'

/** Minimum time between two lines about one worker, in milliseconds. */
const intervalMilliseconds = 1000

/** Smallest change of the limit or the speed that is logged. */
const loggedChange = 0.25

interface LoggedCapacity { limit: number, slowness: number, at: number }

/** Logs changes of the limit and the speed of workers. */
export class CapacityLog {
  private readonly logged = new WeakMap<Upstream, LoggedCapacity>()

  constructor (private readonly clock: Clock, private readonly events: EventLog) {}

  /** Logs the capacity of a worker if it has changed enough since the last line. */
  record (upstream: Upstream): void {
    const at = this.clock.monotonic()
    const last = this.logged.get(upstream) ?? { limit: upstream.slots, slowness: 1, at: -Infinity }
    if (at - last.at < intervalMilliseconds) return
    const { limit, slowness, failureShare } = upstream.capacity
    if (!isChanged(last.limit, limit) && !isChanged(last.slowness, slowness)) return
    this.logged.set(upstream, { limit, slowness, at })
    const { id, description: { pool } } = upstream
    this.events.info('worker_capacity_changed', {
      worker: id,
      pool,
      limit: roundedOrUndefined(limit),
      limit_before: roundedOrUndefined(last.limit),
      speed: rounded(1 / slowness),
      speed_before: rounded(1 / last.slowness),
      failures: rounded(failureShare),
      open: rounded(upstream.capacity.openRequests(upstream.load.outstanding))
    })
  }
}

function isChanged (before: number, now: number): boolean {
  return before !== now && (!Number.isFinite(before) || Math.abs(now - before) > loggedChange * before)
}

function rounded (value: number): number {
  return Math.round(value * 100) / 100
}

function roundedOrUndefined (value: number): number | undefined {
  return Number.isFinite(value) ? rounded(value) : undefined
}
