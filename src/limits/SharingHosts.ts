/**
 * Remembers how many hosts share the limits of workers. A host that has just taken over the permits is asked by few hosts
 * at first, so the largest number counts for a while.
 */
import type { Clock } from '../common/index.js'

/** Time for which the largest number is remembered, in milliseconds. */
const rememberedMilliseconds = 60_000

/** The largest number of hosts that was heard of lately. */
export class SharingHosts {
  private latest: { count: number, at: number } | undefined

  constructor (private readonly clock: Clock) {}

  /** Number of hosts; undefined if none has been heard of. */
  get count (): number | undefined {
    return this.latest?.count
  }

  /** Records a number that a host that grants permits has told. */
  record (count: number): void {
    const now = this.clock.monotonic()
    const isOld = this.latest === undefined || now - this.latest.at > rememberedMilliseconds
    if (isOld || count >= this.latest!.count) this.latest = { count, at: now }
  }
}
