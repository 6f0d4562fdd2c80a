/**
 * Notifies waiting tasks and listeners that a piece of state has changed. A notification carries no value: its
 * receiver reads the state again.
 */
import type { Clock } from './Clock.js'

/** Notifies of the changes of one piece of state. */
export class ChangeNotifier {
  private readonly listeners = new Set<() => void>()

  /** Calls all listeners. */
  notify (): void {
    for (const listener of [...this.listeners]) listener()
  }

  /** Calls the listener at each change. The returned function ends the subscription. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Resolves at the next change, or when the signal aborts. */
  wait (signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const finish = (): void => {
        this.listeners.delete(finish)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      this.listeners.add(finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  /** Waits until the condition holds; resolves to false if the signal aborted first. */
  async waitUntil (condition: () => boolean, signal?: AbortSignal): Promise<boolean> {
    while (!condition()) {
      if (signal?.aborted) return false
      await this.wait(signal)
    }
    return true
  }

  /** Waits until the condition holds, the time has passed or the signal aborts; resolves to whether the condition holds. */
  async waitUntilOrTimeout (
    milliseconds: number,
    clock: Clock,
    condition: () => boolean,
    signal?: AbortSignal
  ): Promise<boolean> {
    const waitController = new AbortController()
    const stop = (): void => waitController.abort()
    signal?.addEventListener('abort', stop, { once: true })
    if (signal?.aborted) stop()
    clock.sleep(milliseconds, waitController.signal).then(stop, stop)
    await this.waitUntil(condition, waitController.signal)
    signal?.removeEventListener('abort', stop)
    stop()
    return condition()
  }
}
