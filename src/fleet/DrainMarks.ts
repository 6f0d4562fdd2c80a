/**
 * Which engines get no new work now, because an order that interrupts them is announced or open. Every host
 * reads this from the stream `orders`; marks run out by the host's own clock, so that an engine returns to
 * work when the holder of the lease dies between marking and ordering.
 */
import type { Clock, Offset, WorkerId } from '../common/index.js'
import { interruptsEngine, type OrderProjection } from '../orders/index.js'

/** Reads the marks of the projection. */
export class DrainMarks {
  /** Local time at which each mark was first seen. */
  private readonly seenAt = new Map<string, { offset: Offset, at: number }>()

  constructor (private readonly projection: OrderProjection, private readonly clock: Clock) {}

  /** The engines that get no new work at this moment. */
  drainedEngines (): Set<WorkerId> {
    const drained = new Set<WorkerId>()
    const now = this.clock.monotonic()
    for (const [engine, mark] of this.projection.drainMarks()) {
      if (now - this.firstSeen(engine, mark.offset, now) < mark.durationMilliseconds) drained.add(engine as WorkerId)
    }
    for (const { engine, order } of this.projection.openIntents()) {
      if (interruptsEngine(order.kind)) drained.add(engine)
    }
    return drained
  }

  private firstSeen (engine: string, offset: Offset, now: number): number {
    const seen = this.seenAt.get(engine)
    if (seen?.offset === offset) return seen.at
    this.seenAt.set(engine, { offset, at: now })
    return now
  }
}
