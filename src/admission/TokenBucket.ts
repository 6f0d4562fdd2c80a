/**
 * A rate limit: tokens come in at a steady rate up to a burst.
 */

/** Tokens of one team. Times are monotonic milliseconds. */
export class TokenBucket {
  private tokens: number

  constructor (private ratePerSecond: number, private burst: number, private filledAt: number) {
    this.tokens = burst
  }

  /** Changes rate and burst; tokens above the new burst are lost. */
  configure (ratePerSecond: number, burst: number, now: number): void {
    this.fill(now)
    this.ratePerSecond = ratePerSecond
    this.burst = burst
    this.tokens = Math.min(this.tokens, burst)
  }

  /** Takes a token. Returns 0, or the milliseconds until the next token if there is none. */
  take (now: number): number {
    this.fill(now)
    if (this.tokens >= 1) {
      this.tokens -= 1
      return 0
    }
    return (1 - this.tokens) / this.ratePerSecond * 1000
  }

  private fill (now: number): void {
    this.tokens = Math.min(this.burst, this.tokens + (now - this.filledAt) / 1000 * this.ratePerSecond)
    this.filledAt = now
  }
}
