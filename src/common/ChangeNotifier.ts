/**
 * Tells waiting tasks and listeners that a piece of state has changed. It carries no value: whoever is told
 * reads the state anew.
 */
import type { Clock } from './Clock.js'

/** Announces changes of one piece of state. */
export class ChangeNotifier {
  private readonly listeners = new Set<() => void>()

  /** Calls all listeners. */
  notify (): void {
    for (const listener of [...this.listeners]) listener()
  }

  /** Calls the listener at each change until the returned function is called. */
  subscribe (listener: () => void): () => void {
    this.listeners.add(listener)
    return () => { this.listeners.delete(listener) }
  }

  /** Resolves at the next change, or when the signal aborts. */
  wait (signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const end = (): void => {
        this.listeners.delete(end)
        signal?.removeEventListener('abort', end)
        resolve()
      }
      this.listeners.add(end)
      signal?.addEventListener('abort', end, { once: true })
    })
  }

  /** Waits until the condition holds; false if the signal aborted first. */
  async waitUntil (condition: () => boolean, signal?: AbortSignal): Promise<boolean> {
    while (!condition()) {
      if (signal?.aborted) return false
      await this.wait(signal)
    }
    return true
  }

  /** Waits until the condition holds, at most the given time; returns whether it holds. */
  async waitAtMost (milliseconds: number, clock: Clock, condition: () => boolean, signal?: AbortSignal): Promise<boolean> {
    const end = new AbortController()
    const stop = (): void => end.abort()
    signal?.addEventListener('abort', stop, { once: true })
    if (signal?.aborted) stop()
    clock.sleep(milliseconds, end.signal).then(stop, stop)
    await this.waitUntil(condition, end.signal)
    signal?.removeEventListener('abort', stop)
    stop()
    return condition()
  }
}
