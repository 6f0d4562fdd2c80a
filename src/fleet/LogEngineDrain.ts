/**
 * Drains an engine before an order that interrupts it: marks it in the stream `orders`, waits until every
 * host has had time to read the mark, and then until the engine itself reports that nothing runs.
 */
import { Result } from 'true-myth'
import type { Clock, Failure, WorkerId } from '../common/index.js'
import { EngineDrain, type OrderManager } from '../orders/index.js'

/** What runs on an engine, as it reports it; undefined if it does not answer. */
export type ReadRunning = (worker: WorkerId) => Promise<number | undefined>

/** Options of a `LogEngineDrain`. Times are in milliseconds. */
export interface LogEngineDrainOptions {
  clock: Clock
  orders: () => OrderManager
  readRunning: ReadRunning
  /** Life of a mark. It has to cover the longest wait for running streams and the order itself. */
  markMilliseconds: number
  /** Time from the mark until the last host has read it and what it sent before shows in load reports. */
  settleMilliseconds: number
  /** Time between two looks at the engine. */
  pollMilliseconds: number
}

/** The drain by marks in the log. */
export class LogEngineDrain extends EngineDrain {
  private readonly markedAt = new Map<WorkerId, number>()

  constructor (private readonly options: LogEngineDrainOptions) {
    super()
  }

  async stopAccepting (worker: WorkerId): Promise<Result<void, Failure>> {
    const marked = await this.options.orders().markDraining(worker, this.options.markMilliseconds)
    if (marked.isOk) this.markedAt.set(worker, this.options.clock.monotonic())
    return marked
  }

  async waitUntilIdle (worker: WorkerId, limitMilliseconds: number): Promise<boolean> {
    const { clock, settleMilliseconds, pollMilliseconds, readRunning } = this.options
    const end = clock.monotonic() + limitMilliseconds
    await clock.sleep(Math.max(0, (this.markedAt.get(worker) ?? 0) + settleMilliseconds - clock.monotonic()))
    while (clock.monotonic() < end) {
      if (await readRunning(worker) === 0) return true
      await clock.sleep(pollMilliseconds)
    }
    return false
  }

  async accept (worker: WorkerId): Promise<void> {
    this.markedAt.delete(worker)
    await this.options.orders().markDraining(worker, 0)
  }
}
