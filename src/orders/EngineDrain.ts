/**
 * Takes the work off an engine before an order that interrupts it. The request path implements this.
 */
import type { Result } from 'true-myth'
import type { Failure, WorkerId } from '../common/index.js'

/** Draining of engines. */
export abstract class EngineDrain {
  /**
   * Marks the engine as not accepting new work, on every host that sends it work. The mark has to end by
   * itself some time after the host that set it is gone. Errors: `not_ready`.
   */
  abstract stopAccepting (worker: WorkerId): Promise<Result<void, Failure>>
  /** Waits until the engine's running streams have ended; false if the limit passed first. */
  abstract waitUntilIdle (worker: WorkerId, limitMilliseconds: number): Promise<boolean>
  /** Marks the engine as accepting work again. */
  abstract accept (worker: WorkerId): Promise<void>
}
