/**
 * Clocks behind one interface, so that tests control time. Durations and deadlines use the monotonic clock; the
 * wall clock is only for display and for records that people read.
 */
/** Source of time. All values are in milliseconds. */
export abstract class Clock {
  /** Time since an arbitrary start; never decreases, not even when the wall clock is set back. */
  abstract monotonic (): number
  /** Unix time. */
  abstract wall (): number
  /** Resolves after the duration, or at once when the signal aborts. Never rejects. */
  abstract sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}

/** The system clock. */
export class SystemClock extends Clock {
  monotonic (): number {
    return performance.now()
  }

  wall (): number {
    return Date.now()
  }

  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return
    // The sleep of node:timers/promises rejects when it is aborted. Most sleeps are aborted, and each rejection would create an
    // error with its stack.
    await new Promise<void>(resolve => {
      const finish = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, milliseconds)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}

interface Sleeper {
  due: number
  wake: () => void
}

/** A clock that stands still until `advance` is called. */
export class ManualClock extends Clock {
  private now = 0
  private readonly sleepers = new Set<Sleeper>()

  constructor (private readonly wallStart = 1_700_000_000_000) {
    super()
  }

  /** Number of calls of `sleep` that have neither ended nor been aborted. */
  get pendingSleepCount (): number {
    return this.sleepers.size
  }

  monotonic (): number {
    return this.now
  }

  wall (): number {
    return this.wallStart + this.now
  }

  sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return Promise.resolve()
    return new Promise(resolve => {
      const sleeper: Sleeper = {
        due: this.now + milliseconds,
        wake: () => {
          this.sleepers.delete(sleeper)
          signal?.removeEventListener('abort', sleeper.wake)
          resolve()
        }
      }
      this.sleepers.add(sleeper)
      signal?.addEventListener('abort', sleeper.wake, { once: true })
    })
  }

  /** Advances the time. Sleepers wake in the order of their due times, and the tasks they wake run before the next one wakes. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.now + milliseconds
    for (;;) {
      const next = [...this.sleepers].sort((left, right) => left.due - right.due)[0]
      if (next === undefined || next.due > end) break
      this.now = Math.max(this.now, next.due)
      next.wake()
      await runReadyTasks()
    }
    this.now = end
    await runReadyTasks()
  }
}

/** Runs the tasks that wait on promises that have already resolved. */
async function runReadyTasks (): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise(resolve => setImmediate(resolve))
  }
}
