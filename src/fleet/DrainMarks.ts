/**
 * Determines which engines receive no new work because a drain mark announces an order that interrupts them, or because
 * such an order is open. Every host derives this from the stream `orders`. Marks expire by the host's own clock, so that an
 * engine receives work again if the lease holder fails after it set the mark and before it sent the order.
 */
import type { Clock, Offset, WorkerId } from '../common/index.js'
import { interruptsEngine, type OrderProjection } from '../orders/index.js'

/** Evaluates the drain marks and open intents of the order projection. */
export class DrainMarks {
  /** The current mark of each engine and the monotonic time, in milliseconds, at which this host first saw the mark. */
  private readonly seenMarks = new Map<string, { offset: Offset, at: number }>()

  constructor (private readonly projection: OrderProjection, private readonly clock: Clock) {}

  /** Returns the engines that receive no new work at the time of the call. */
  drainedEngines (): Set<WorkerId> {
    const drained = new Set<WorkerId>()
    const now = this.clock.monotonic()
    for (const [engine, mark] of this.projection.drainMarks()) {
      if (now - this.firstSeenAt(engine, mark.offset, now) < mark.durationMilliseconds) drained.add(engine as WorkerId)
    }
    for (const { engine, order } of this.projection.openIntents()) {
      if (interruptsEngine(order.kind)) drained.add(engine)
    }
    return drained
  }

  /** Returns the time at which the mark with this offset was first seen, and records `now` if it is new. */
  private firstSeenAt (engine: string, offset: Offset, now: number): number {
    const seen = this.seenMarks.get(engine)
    if (seen?.offset === offset) return seen.at
    this.seenMarks.set(engine, { offset, at: now })
    return now
  }
}
