/**
 * Spends the durations of one sequential activity of the engine, scaled. Deadlines add up from one duration to
 * the next, so that the few tenths of a millisecond by which a timer is late do not accumulate.
 */
import type { Clock } from '../../common/index.js'

/** An activity and its deadline. */
export class Pace {
  private due: number

  constructor (private readonly clock: Clock, private readonly timeScale: number) {
    this.due = clock.monotonic()
  }

  /** Forgets time that passed without activity. */
  restart (): void {
    this.due = Math.max(this.due, this.clock.monotonic())
  }

  /** Waits until this duration has passed since the end of the one before. */
  async spend (milliseconds: number, signal?: AbortSignal): Promise<void> {
    this.due += milliseconds * this.timeScale
    const wait = this.due - this.clock.monotonic()
    // Timers count whole milliseconds; shorter durations are made up for later.
    if (wait >= 1) await this.clock.sleep(wait, signal)
    else await new Promise(resolve => setImmediate(resolve))
  }
}
