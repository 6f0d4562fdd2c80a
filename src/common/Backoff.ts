/**
 * Exponential backoff with jitter: the delay doubles with each failure up to a limit, and a random part of
 * it, up to half, is subtracted, so that processes that failed together do not all retry at the same time.
 */

/** Options of a `Backoff`. Times are in milliseconds. */
export interface BackoffOptions {
  /** Maximum delay after the first failure. */
  firstMilliseconds: number
  /** Maximum delay after any failure. */
  maxMilliseconds: number
  /** Returns a random number from 0 (included) to 1 (excluded); tests set it. Default: `Math.random`. */
  random?: () => number
}

/** Counts consecutive failures and computes the delay after each. */
export class Backoff {
  private consecutiveFailures = 0

  constructor (private readonly options: BackoffOptions) {}

  /** Counts one more failure and returns the delay after it, in milliseconds: from half of the full delay to all of it. */
  next (): number {
    const fullDelay = Math.min(this.options.maxMilliseconds, this.options.firstMilliseconds * 2 ** this.consecutiveFailures)
    this.consecutiveFailures = Math.min(this.consecutiveFailures + 1, 30)
    return fullDelay * (0.5 + (this.options.random ?? Math.random)() / 2)
  }

  /** Resets the delay to the first one; called after a success. */
  reset (): void {
    this.consecutiveFailures = 0
  }
}
