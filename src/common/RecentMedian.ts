/**
 * A value, such as a speed, that is measured on single pieces of work, some of which are slowed by other causes. The median
 * of the latest measurements follows a change within a few of them, and a single wrong one does not move it.
 */

/** A measurement, with the monotonic time of the measurement in milliseconds. */
interface Sample { value: number, at: number }

/** Number of measurements that the initial value counts for. Three equal measurements then replace it. */
const priorWeight = 2

/** Number of measurements from which the initial value no longer counts. */
const ownEvidence = 5

/** Holds the latest measurements of one value. */
export class RecentMedian {
  private samples: Sample[] = []

  /** `size`: number of measurements that are kept; `maxAgeMilliseconds`: time after which a measurement is forgotten. */
  constructor (private readonly size: number, private readonly maxAgeMilliseconds = Infinity) {}

  get isEmpty (): boolean {
    return this.samples.length === 0
  }

  add (value: number, now: number): void {
    this.samples.push({ value, at: now })
    if (this.samples.length > this.size) this.samples.shift()
  }

  /** Number of measurements that are not forgotten. */
  count (now: number): number {
    return this.values(now).length
  }

  /** The median of the measurements; `prior` is expected while there are few. */
  estimate (prior: number, now: number): number {
    const values = this.values(now)
    return medianOf(values.length >= ownEvidence ? values : [...values, ...Array<number>(priorWeight).fill(prior)])
  }

  /** Median deviation of the measurements from `center`, as a fraction of it; 0 without measurements. */
  relativeScatter (center: number, now: number): number {
    const values = this.values(now)
    return values.length === 0 ? 0 : medianOf(values.map(value => Math.abs(value - center) / center))
  }

  private values (now: number): number[] {
    return this.samples.filter(({ at }) => now - at <= this.maxAgeMilliseconds).map(({ value }) => value)
  }
}

/** The median of at least one value. */
export function medianOf (values: readonly number[]): number {
  const sorted = [...values].sort((left, right) => left - right)
  const middle = sorted.length >> 1
  return sorted.length % 2 === 1 ? sorted[middle]! : (sorted[middle - 1]! + sorted[middle]!) / 2
}
