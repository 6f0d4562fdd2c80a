/**
 * Drains an engine before an order that interrupts it. `LogEngineDrain` implements this.
 */
import type { Result } from 'true-myth'
import type { Failure, WorkerId } from '../common/index.js'

/** Keeps new work from engines and waits for their running work. */
export abstract class EngineDrain {
  /**
   * Marks the engine as not accepting new work, on every host that sends work to it. The mark must expire by itself,
   * so that it ends even if the host that set it fails. Errors: `not_ready`.
   */
  abstract stopAccepting (worker: WorkerId): Promise<Result<void, Failure>>
  /** Waits until the engine's running streams have ended; returns false if they still run at the limit. */
  abstract waitUntilIdle (worker: WorkerId, limitMilliseconds: number): Promise<boolean>
  /** Marks the engine as accepting work again. */
  abstract accept (worker: WorkerId): Promise<void>
}
