/**
 * Limits second attempts to a share of the requests, so that failing upstreams do not multiply the load on
 * the ones that still work. Each pool has its own budget: a failing service uses up nobody else's retries.
 */
import type { Pool } from '../common/index.js'

/** Token buckets that requests fill and retries empty, one for each pool. */
export class RetryBudget {
  private readonly tokens = new Map<Pool | undefined, number>()

  /** `ratio`: retries per request; `burst`: retries that are allowed at once. */
  constructor (private ratio: number, private burst: number) {}

  /** Puts other limits in force. What was taken or charged stays so. */
  configure (ratio: number, burst: number): void {
    this.ratio = ratio
    this.burst = burst
  }

  /** Counts a request. */
  requestStarted (pool?: Pool): void {
    this.tokens.set(pool, Math.min(this.burst, this.available(pool) + this.ratio))
  }

  /** True if more was charged than the retries that are allowed at once. */
  isOverdrawn (pool?: Pool): boolean {
    return this.available(pool) < -this.burst
  }

  /** Takes one retry out of the budget; false if there is none left. */
  tryTake (pool?: Pool): boolean {
    if (this.available(pool) < 1) return false
    this.charge(pool)
    return true
  }

  /** Counts a retry that could not be foreseen, such as a call that a worker refused; later ones wait for it. */
  charge (pool?: Pool): void {
    this.tokens.set(pool, this.available(pool) - 1)
  }

  private available (pool: Pool | undefined): number {
    return this.tokens.get(pool) ?? this.burst
  }
}
