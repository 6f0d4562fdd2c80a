/**
 * Simulates the durations of sequential work in the engine stand-in, scaled by `timeScale`. Each deadline is computed
 * from the previous deadline, so that timer delays of a few tenths of a millisecond do not accumulate.
 */
import type { Clock } from '../../common/index.js'

/** Timer of one sequence of work. */
export class WorkTimer {
  /** Monotonic time in milliseconds at which the latest work ends. */
  private deadline: number

  constructor (private readonly clock: Clock, private readonly timeScale: number) {
    this.deadline = clock.monotonic()
  }

  /** Starts the next duration now rather than at a deadline in the past; call it after a time without work. */
  restart (): void {
    this.deadline = Math.max(this.deadline, this.clock.monotonic())
  }

  /** Waits until the duration, scaled, has passed since the previous deadline. */
  async waitFor (milliseconds: number, signal?: AbortSignal): Promise<void> {
    this.deadline += milliseconds * this.timeScale
    const waitMilliseconds = this.deadline - this.clock.monotonic()
    // Timers have a resolution of 1 ms; a shorter wait is skipped, and later waits make up for it.
    if (waitMilliseconds >= 1) await this.clock.sleep(waitMilliseconds, signal)
    else await new Promise(resolve => setImmediate(resolve))
  }
}
