/**
 * Token bucket for the rate limits of stand-ins: the appends of the log, the bytes of the weight store.
 */
import type { Clock } from '../common/index.js'

/** Options of a bucket. */
export interface StandInTokenBucketOptions {
  clock: Clock
  /** Tokens added per second. */
  tokensPerSecond: number
  /** Maximum number of tokens in the bucket. */
  capacity: number
}

/** A token bucket, full at the start. */
export class StandInTokenBucket {
  private tokens: number
  /** Monotonic time of the last refill, in milliseconds. */
  private refilledAt: number

  constructor (private readonly options: StandInTokenBucketOptions) {
    this.tokens = options.capacity
    this.refilledAt = options.clock.monotonic()
  }

  /** Takes the tokens and returns true, or takes none and returns false if there are too few. */
  tryTake (count: number): boolean {
    this.refill()
    if (this.tokens < count) return false
    this.tokens -= count
    return true
  }

  /** Takes tokens, below zero if there are too few; returns the milliseconds until the deficit is refilled. */
  reserve (count: number): number {
    this.refill()
    this.tokens -= count
    return Math.max(0, -this.tokens * 1000 / this.options.tokensPerSecond)
  }

  private refill (): void {
    const now = this.options.clock.monotonic()
    const added = (now - this.refilledAt) * this.options.tokensPerSecond / 1000
    this.tokens = Math.min(this.options.capacity, this.tokens + added)
    this.refilledAt = now
  }
}
