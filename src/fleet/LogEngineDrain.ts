/**
 * Drains an engine before an order that interrupts it: marks the engine in the stream `orders`, waits until every host has had
 * time to read the mark, and then waits until the engine reports that it runs no requests.
 */
import { Result } from 'true-myth'
import type { Clock, Failure, WorkerId } from '../common/index.js'
import { EngineDrain, type OrderManager } from '../orders/index.js'

/** Reads the amount of work that an engine reports, 0 if it is idle; undefined if the engine does not respond. */
export type ReadRunningWork = (worker: WorkerId) => Promise<number | undefined>

/** Options of a `LogEngineDrain`. Times are in milliseconds. */
export interface LogEngineDrainOptions {
  clock: Clock
  orders: () => OrderManager
  readRunningWork: ReadRunningWork
  /** Time after which a mark expires. Must cover the maximum wait for running streams and the order itself. */
  markLifetimeMilliseconds: number
  /**
   * Time after which every host has read a mark, and the requests that hosts sent before they read it show in the
   * engine's load reports.
   */
  markPropagationMilliseconds: number
  /** Interval between reads of the engine's running work. */
  pollMilliseconds: number
}

/** Drains engines by marks in the log. */
export class LogEngineDrain extends EngineDrain {
  private readonly markedAt = new Map<WorkerId, number>()

  constructor (private readonly options: LogEngineDrainOptions) {
    super()
  }

  async stopAccepting (worker: WorkerId): Promise<Result<void, Failure>> {
    const marked = await this.options.orders().markDraining(worker, this.options.markLifetimeMilliseconds)
    if (marked.isOk) this.markedAt.set(worker, this.options.clock.monotonic())
    return marked
  }

  async waitUntilIdle (worker: WorkerId, limitMilliseconds: number): Promise<boolean> {
    const { clock, markPropagationMilliseconds, pollMilliseconds, readRunningWork } = this.options
    const end = clock.monotonic() + limitMilliseconds
    await clock.sleep(Math.max(0, (this.markedAt.get(worker) ?? 0) + markPropagationMilliseconds - clock.monotonic()))
    while (clock.monotonic() < end) {
      if (await readRunningWork(worker) === 0) return true
      await clock.sleep(pollMilliseconds)
    }
    return false
  }

  async accept (worker: WorkerId): Promise<void> {
    this.markedAt.delete(worker)
    await this.options.orders().markDraining(worker, 0)
  }
}
