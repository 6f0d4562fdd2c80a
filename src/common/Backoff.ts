/**
 * Delays between repeated attempts: they double from one failure to the next up to a limit, and each is
 * shortened by a random part, so that many processes that failed together do not return together.
 */

/** Options of a `Backoff`. Times are in milliseconds. */
export interface BackoffOptions {
  /** Longest first delay. */
  firstMilliseconds: number
  /** Longest delay. */
  maxMilliseconds: number
  /** Random number from 0 (inclusive) to 1; tests set it. */
  random?: () => number
}

/** Counts failures in a row and gives the delay after each. */
export class Backoff {
  private failures = 0

  constructor (private readonly options: BackoffOptions) {}

  /** The delay after one more failure: between half of the doubled delay and all of it. */
  next (): number {
    const full = Math.min(this.options.maxMilliseconds, this.options.firstMilliseconds * 2 ** this.failures)
    this.failures = Math.min(this.failures + 1, 30)
    return full * (0.5 + (this.options.random ?? Math.random)() / 2)
  }

  /** Starts over after a success. */
  reset (): void {
    this.failures = 0
  }
}
