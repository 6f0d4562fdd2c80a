/**
 * Time as an interface, so that tests decide when it passes. Durations and deadlines use the monotonic
 * clock; the wall clock is only for display and for records that people read.
 */
/** Source of time. All values are in milliseconds. */
export abstract class Clock {
  /** Time since an arbitrary start; never goes back, not even when the wall clock is set. */
  abstract monotonic (): number
  /** Unix time. */
  abstract wall (): number
  /** Resolves after the duration, or at once when the signal aborts. Never rejects. */
  abstract sleep (milliseconds: number, signal?: AbortSignal): Promise<void>
}

/** The clock of the machine. */
export class SystemClock extends Clock {
  monotonic (): number {
    return performance.now()
  }

  wall (): number {
    return Date.now()
  }

  async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted) return
    // A sleep of node:timers/promises rejects when it is aborted; most sleeps are, and each would cost an error with its stack.
    await new Promise<void>(resolve => {
      const end = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', end)
        resolve()
      }
      const timer = setTimeout(end, milliseconds)
      signal?.addEventListener('abort', end, { once: true })
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

  /** Moves time forward and lets the woken tasks run, one due time after the other. */
  async advance (milliseconds: number): Promise<void> {
    const end = this.now + milliseconds
    for (;;) {
      const next = [...this.sleepers].sort((a, b) => a.due - b.due)[0]
      if (next === undefined || next.due > end) break
      this.now = Math.max(this.now, next.due)
      next.wake()
      await settle()
    }
    this.now = end
    await settle()
  }
}

/** Lets all tasks run that wait on already resolved promises. */
async function settle (): Promise<void> {
  for (let turn = 0; turn < 5; turn += 1) {
    await new Promise(resolve => setImmediate(resolve))
  }
}
