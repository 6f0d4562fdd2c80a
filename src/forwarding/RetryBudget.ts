/**
 * Limits second attempts to a share of the requests, so that failing upstreams do not multiply the load on
 * the ones that still work. Each pool has its own budget: a failing service uses up nobody else's retries.
 */
import type { Clock, Pool } from '../common/index.js'

/** Retries within one window: `slack`, and `ratio` for each request. */
export interface RetryLimits { ratio: number, slack: number }

/** Time over which requests and retries are counted, in milliseconds. The platform's bound uses the same time. */
const windowMilliseconds = 10_000

/** A window is counted in this many parts; the oldest part leaves it whole. */
const partsPerWindow = 20

/** Requests and retries of one part of the window. */
interface Part { number: number, requests: number, retries: number }

/** Counts of one pool over the last window. */
class WindowCounts {
  private parts: Part[] = []

  current (number: number): Part {
    const last = this.parts.at(-1)
    if (last?.number === number) return last
    this.parts = this.parts.filter(part => part.number > number - partsPerWindow)
    const part = { number, requests: 0, retries: 0 }
    this.parts.push(part)
    return part
  }

  total (number: number): { requests: number, retries: number } {
    const total = { requests: 0, retries: 0 }
    for (const part of this.parts) {
      if (part.number <= number - partsPerWindow) continue
      total.requests += part.requests
      total.retries += part.retries
    }
    return total
  }
}

/** Retries of each pool, limited in any window. */
export class RetryBudget {
  private readonly counts = new Map<Pool | undefined, WindowCounts>()

  constructor (private readonly clock: Clock, private limits: RetryLimits) {}

  /** Puts other limits in force. What was taken or charged stays counted. */
  configure (limits: RetryLimits): void {
    this.limits = limits
  }

  /** Counts a request. */
  requestStarted (pool?: Pool): void {
    this.current(pool).requests += 1
  }

  /** True if retries were charged beyond the limit by more than the slack. */
  isOverdrawn (pool?: Pool): boolean {
    return this.available(pool) < -this.limits.slack
  }

  /** Takes one retry out of the budget; false if there is none left. */
  tryTake (pool?: Pool): boolean {
    if (this.available(pool) < 1) return false
    this.charge(pool)
    return true
  }

  /** Counts a retry that could not be foreseen, such as a call that a worker refused; later ones wait for it. */
  charge (pool?: Pool): void {
    this.current(pool).retries += 1
  }

  private available (pool: Pool | undefined): number {
    const { requests, retries } = this.countsOf(pool).total(this.partNumber)
    return this.limits.slack + this.limits.ratio * requests - retries
  }

  private current (pool: Pool | undefined): Part {
    return this.countsOf(pool).current(this.partNumber)
  }

  private countsOf (pool: Pool | undefined): WindowCounts {
    const counts = this.counts.get(pool) ?? new WindowCounts()
    this.counts.set(pool, counts)
    return counts
  }

  private get partNumber (): number {
    return Math.floor(this.clock.monotonic() / (windowMilliseconds / partsPerWindow))
  }
}
