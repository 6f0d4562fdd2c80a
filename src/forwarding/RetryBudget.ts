/**
 * Limits second attempts to a share of the requests, so that failing upstreams do not multiply the load on
 * the ones that still work. Each pool has its own budget: a failing service uses up nobody else's retries.
 */
import type { Pool } from '../common/index.js'

/** Token buckets that requests fill and retries empty, one for each pool. */
export class RetryBudget {
  private readonly tokens = new Map<Pool | undefined, number>()

  /** `ratio`: retries per request; `burst`: retries that are allowed at once. */
  constructor (private readonly ratio: number, private readonly burst: number) {}

  /** Counts a request. */
  requestStarted (pool?: Pool): void {
    this.tokens.set(pool, Math.min(this.burst, this.available(pool) + this.ratio))
  }

  /** Takes one retry out of the budget; false if there is none left. */
  tryTake (pool?: Pool): boolean {
    const tokens = this.available(pool)
    if (tokens < 1) return false
    this.tokens.set(pool, tokens - 1)
    return true
  }

  private available (pool: Pool | undefined): number {
    return this.tokens.get(pool) ?? this.burst
  }
}
