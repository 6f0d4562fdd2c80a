/**
 * Tells whether this process stood still, so that what it receives after that may be older than it seems.
 */
import { type Clock, Task } from '../../common/index.js'

const intervalMilliseconds = 100

/** Lateness of the timer from which on the process counts as stalled, in milliseconds. */
const stallMilliseconds = 300

/** Watches the lateness of a timer while it is started. */
export class StallDetector {
  private task: Task | undefined
  private lastTickAt = -Infinity
  private lastStallAt = -Infinity

  constructor (private readonly clock: Clock) {}

  start (): void {
    if (this.task !== undefined) return
    this.lastTickAt = this.clock.monotonic()
    this.task = Task.start(signal => this.run(signal), () => {})
  }

  async stop (): Promise<void> {
    const { task } = this
    this.task = undefined
    await task?.stop()
  }

  /** True if the process stood still at some time since the given one, or if that is not known. */
  stalledSince (time: number): boolean {
    this.tick()
    return this.task === undefined || this.lastStallAt >= time
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.clock.sleep(intervalMilliseconds, signal)
      this.tick()
    }
  }

  private tick (): void {
    const now = this.clock.monotonic()
    if (now - this.lastTickAt > intervalMilliseconds + stallMilliseconds) this.lastStallAt = now
    this.lastTickAt = now
  }
}
