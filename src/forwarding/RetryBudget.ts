/**
 * Limits retries to a fraction of the requests, so that failing upstreams do not multiply the load on the healthy
 * ones. Each pool has its own budget, so a failing service does not use up the retries of others.
 */
import type { Clock, Pool } from '../common/index.js'

/** Maximum number of retries within one window: `slack`, plus `ratio` for each request. */
export interface RetryLimits { ratio: number, slack: number }

/**
 * Time over which requests and retries are counted, in milliseconds. The platform's limit uses a window of the same
 * length.
 */
const windowMilliseconds = 10_000

/** Number of buckets in a window; counts leave the window one bucket at a time. */
const bucketsPerWindow = 20

/** Requests and retries in one bucket of the window. */
interface Bucket { number: number, requests: number, retries: number }

/** Counts of one pool over the last window. */
class WindowCounts {
  private buckets: Bucket[] = []

  bucketAt (number: number): Bucket {
    const latest = this.buckets.at(-1)
    if (latest?.number === number) return latest
    this.buckets = this.buckets.filter(bucket => bucket.number > number - bucketsPerWindow)
    const bucket = { number, requests: 0, retries: 0 }
    this.buckets.push(bucket)
    return bucket
  }

  total (number: number): { requests: number, retries: number } {
    const total = { requests: 0, retries: 0 }
    for (const bucket of this.buckets) {
      if (bucket.number <= number - bucketsPerWindow) continue
      total.requests += bucket.requests
      total.retries += bucket.retries
    }
    return total
  }
}

/** Limits the retries of each pool in every window. */
export class RetryBudget {
  private readonly countsByPool = new Map<Pool | undefined, WindowCounts>()

  constructor (private readonly clock: Clock, private limits: RetryLimits) {}

  /** Replaces the limits. Retries that were taken or charged stay counted. */
  configure (limits: RetryLimits): void {
    this.limits = limits
  }

  /** Counts a request, which allows `ratio` more retries within the window. */
  requestStarted (pool?: Pool): void {
    this.currentBucket(pool).requests += 1
  }

  /** True if the counted retries exceed the limit by more than the slack. */
  isOverdrawn (pool?: Pool): boolean {
    return this.available(pool) < -this.limits.slack
  }

  /** Takes one retry from the budget; false if none is available. */
  tryTake (pool?: Pool): boolean {
    if (this.available(pool) < 1) return false
    this.charge(pool)
    return true
  }

  /**
   * Counts a retry that could not be foreseen, such as for a prompt computation that a worker refused. Fewer later
   * retries are then available.
   */
  charge (pool?: Pool): void {
    this.currentBucket(pool).retries += 1
  }

  private available (pool: Pool | undefined): number {
    const { requests, retries } = this.countsOf(pool).total(this.currentBucketNumber)
    return this.limits.slack + this.limits.ratio * requests - retries
  }

  private currentBucket (pool: Pool | undefined): Bucket {
    return this.countsOf(pool).bucketAt(this.currentBucketNumber)
  }

  private countsOf (pool: Pool | undefined): WindowCounts {
    const counts = this.countsByPool.get(pool) ?? new WindowCounts()
    this.countsByPool.set(pool, counts)
    return counts
  }

  private get currentBucketNumber (): number {
    return Math.floor(this.clock.monotonic() / (windowMilliseconds / bucketsPerWindow))
  }
}
