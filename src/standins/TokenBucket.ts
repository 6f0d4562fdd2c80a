/**
 * Token bucket of a rate limit of a stand-in.
 */
import type { Clock } from '../common/index.js'

/** Options of a bucket. */
export interface TokenBucketOptions {
  clock: Clock
  /** Tokens that come in per second. */
  perSecond: number
  /** Most tokens that the bucket holds. */
  burst: number
}

/** A bucket; full at the start. */
export class TokenBucket {
  private tokens: number
  private filledAt: number

  constructor (private readonly options: TokenBucketOptions) {
    this.tokens = options.burst
    this.filledAt = options.clock.monotonic()
  }

  /** Takes tokens if there are enough. */
  tryTake (count: number): boolean {
    this.fill()
    if (this.tokens < count) return false
    this.tokens -= count
    return true
  }

  /** Takes tokens that may still have to come in; returns the milliseconds after which they are there. */
  takeAhead (count: number): number {
    this.fill()
    this.tokens -= count
    return Math.max(0, -this.tokens * 1000 / this.options.perSecond)
  }

  private fill (): void {
    const now = this.options.clock.monotonic()
    const added = (now - this.filledAt) * this.options.perSecond / 1000
    this.tokens = Math.min(this.options.burst, this.tokens + added)
    this.filledAt = now
  }
}
