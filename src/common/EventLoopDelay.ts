/**
 * Measures how late the event loop runs its callbacks. On a host whose processor is used up, requests and closed
 * connections wait in the system for that long before this process sees them.
 */
import type { Clock } from './Clock.js'
import { Task } from './Task.js'

/** Interval of the measurements, in milliseconds. */
const intervalMilliseconds = 100

/** Weight of a new measurement in the average, so that a single pause does not count as overload. */
const measurementWeight = 0.3

/** Average delay of the event loop. */
export class EventLoopDelay {
  private average = 0
  private task: Task | undefined

  constructor (private readonly clock: Clock) {}

  /** Average delay over about the last half second, in milliseconds. */
  get milliseconds (): number {
    return this.average
  }

  /** Starts measuring. `onError` receives the exception if the measurement ends unexpectedly. */
  start (onError: (error: unknown) => void): void {
    this.task ??= Task.start(signal => this.measure(signal), onError)
  }

  async stop (): Promise<void> {
    await this.task?.stop()
  }

  private async measure (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const due = this.clock.monotonic() + intervalMilliseconds
      await this.clock.sleep(intervalMilliseconds, signal)
      const delay = Math.max(0, this.clock.monotonic() - due)
      this.average += measurementWeight * (delay - this.average)
    }
  }
}
