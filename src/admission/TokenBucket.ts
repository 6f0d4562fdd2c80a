/**
 * Token bucket rate limiter: tokens are added at a steady rate until the bucket holds `burst` tokens.
 */

/** A token bucket that starts full. Times are monotonic, in milliseconds. */
export class TokenBucket {
  private tokens: number

  constructor (private ratePerSecond: number, private burst: number, private refilledAt: number) {
    this.tokens = burst
  }

  /** Changes the rate and the burst. Tokens in excess of the new burst are discarded. */
  configure (ratePerSecond: number, burst: number, now: number): void {
    this.refill(now)
    this.ratePerSecond = ratePerSecond
    this.burst = burst
    this.tokens = Math.min(this.tokens, burst)
  }

  /** Takes a token and returns 0; if there is none, returns the milliseconds until the next one. */
  take (now: number): number {
    this.refill(now)
    if (this.tokens >= 1) {
      this.tokens -= 1
      return 0
    }
    return (1 - this.tokens) / this.ratePerSecond * 1000
  }

  private refill (now: number): void {
    this.tokens = Math.min(this.burst, this.tokens + (now - this.refilledAt) / 1000 * this.ratePerSecond)
    this.refilledAt = now
  }
}
