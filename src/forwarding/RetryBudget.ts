/**
 * Limits second attempts to a share of the requests, so that failing upstreams do not multiply the load on
 * the ones that still work.
 */

/** A token bucket that requests fill and retries empty. */
export class RetryBudget {
  private tokens: number

  /** `ratio`: retries per request; `burst`: retries that are allowed at once. */
  constructor (private readonly ratio: number, private readonly burst: number) {
    this.tokens = burst
  }

  /** Counts a request. */
  requestStarted (): void {
    this.tokens = Math.min(this.burst, this.tokens + this.ratio)
  }

  /** Takes one retry out of the budget; false if there is none left. */
  tryTake (): boolean {
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
