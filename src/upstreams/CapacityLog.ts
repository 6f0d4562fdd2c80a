/**
 * Logs how the learned capacity of each worker moves.
 */
import type { Clock } from '../common/index.js'
import { CapacityChanges, roundedForLog } from '../concurrency/index.js'
import type { EventLog } from '../observability/index.js'
import type { Upstream } from './Upstream.js'

/** Logs changes of the limit and the speed of workers. */
export class CapacityLog {
  private readonly changes: CapacityChanges

  constructor (clock: Clock, private readonly events: EventLog) {
    this.changes = new CapacityChanges(clock)
  }

  /** Logs the capacity of a worker if it has changed enough since the last line. */
  record ({ id, capacity, slots, load, description: { pool } }: Upstream): void {
    const before = this.changes.record(id, slots, () => capacity)
    if (before === undefined) return
    this.events.info('worker_capacity_changed', {
      worker: id,
      pool,
      work: 'requests',
      limit: roundedForLog(capacity.limit),
      limit_before: roundedForLog(before.limit),
      speed: roundedForLog(1 / capacity.slowness),
      speed_before: roundedForLog(1 / before.slowness),
      failures: roundedForLog(capacity.failureShare),
      open: roundedForLog(capacity.openRequests(load.outstanding))
    })
  }
}
