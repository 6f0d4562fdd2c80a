/**
 * A token bucket: permits accrue at a steady rate and are kept for a short time only, so that the rate also holds over
 * spans of a few seconds.
 */

/** Time for which unused permits accrue, in milliseconds; a single permit is kept without a limit of time. */
const burstMilliseconds = 500

const millisecondsPerSecond = 1000

/** Permits of one worker. Times are monotonic, in milliseconds. */
export class RateBucket {
  private rate = 0
  private updatedAt = 0

  /** `permits`: number of permits at the start. There are no further ones before a rate is set. */
  constructor (private permits: number) {}

  /** Permits a second. */
  get perSecond (): number {
    return this.rate
  }

  /** Sets the rate; permits that have accrued are kept as far as they fit. */
  setRate (perSecond: number, now: number): void {
    this.accrue(now)
    this.rate = perSecond
  }

  /** Time until a permit is available; 0 if one is. */
  waitMilliseconds (now: number): number {
    this.accrue(now)
    return this.permits >= 1 ? 0 : (1 - this.permits) / this.rate * millisecondsPerSecond
  }

  /** Takes a permit, also if none is available: the next one then comes later. */
  take (now: number): void {
    this.accrue(now)
    this.permits -= 1
  }

  private accrue (now: number): void {
    const capacity = Math.max(1, this.rate * burstMilliseconds / millisecondsPerSecond)
    this.permits = Math.min(capacity, this.permits + (now - this.updatedAt) * this.rate / millisecondsPerSecond)
    this.updatedAt = now
  }
}
