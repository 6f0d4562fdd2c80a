/**
 * Number of open requests that one worker handles well. Some workers slow down long before all their slots are taken.
 *
 * The limit rises by one when requests are fast at it, and falls by the factor by which recent requests took longer than
 * the worker's own best ones. Latencies are relative to those of other workers, so that kinds of requests do not matter.
 */

/** Weight of a new latency in the recent one. */
const recentWeight = 0.3

/**
 * Weights of a latency below and above the best one. It follows the fastest requests, and a worker that has become slower
 * for good is measured by its new best after about a hundred requests.
 */
const fasterWeight = 0.3
const slowerWeight = 0.01

/** Factor by which recent latencies may exceed the best one before the limit falls. */
const tolerance = 1.5

/** Smallest factor of one decrease. */
const maxDecrease = 0.5

/** Share of the limit that has to be used for requests to tell that more would be handled well. */
const usedShare = 0.8

/** Number of latencies before the limit moves. */
const minLatencies = 5

/** Time without a latency after which the limit returns to the neutral value, and the time in which half of that is done. */
const idleMilliseconds = 10_000
const returnHalfLifeMilliseconds = 5000

/** Learns the limit of one worker. */
export class ConcurrencyLimit {
  private learned = Infinity
  private best: number | undefined
  private recent = 1
  private latencies = 0
  private decreasedAt = -Infinity
  private recordedAt = -Infinity

  /** The limit, between 1 and `slots`, which is the neutral value. */
  value (slots: number, now: number): number {
    const bounded = Math.max(1, Math.min(slots, this.learned))
    const idle = now - this.recordedAt - idleMilliseconds
    if (idle <= 0 || bounded === slots) return bounded
    if (slots === Infinity) return bounded * 2 ** (idle / returnHalfLifeMilliseconds)
    return slots + (bounded - slots) * 0.5 ** (idle / returnHalfLifeMilliseconds)
  }

  /**
   * Records a request. `relativeLatency`: its time divided by the usual one; `open`: requests at the worker meanwhile;
   * `milliseconds`: its time, within which the limit falls once.
   */
  record (relativeLatency: number, open: number, slots: number, milliseconds: number, now: number): void {
    const limit = this.value(slots, now)
    if (now - this.recordedAt > idleMilliseconds) this.restart(limit)
    this.recordedAt = now
    this.latencies += 1
    const best = this.best ?? relativeLatency
    this.best = best + (relativeLatency < best ? fasterWeight : slowerWeight) * (relativeLatency - best)
    this.recent = this.latencies === 1 ? relativeLatency : this.recent + recentWeight * (relativeLatency - this.recent)
    if (this.latencies < minLatencies) return
    const gradient = this.best * tolerance / this.recent
    if (gradient >= 1) {
      if (open >= Math.floor(usedShare * limit)) this.learned = Math.min(slots, limit + 1)
      return
    }
    // A single open request cannot have slowed itself.
    if (open <= 1 || now - this.decreasedAt < milliseconds) return
    this.decreasedAt = now
    this.learned = Math.max(1, Math.min(limit, open) * Math.max(maxDecrease, gradient))
  }

  private restart (limit: number): void {
    this.learned = limit
    this.latencies = 0
    this.best = undefined
  }
}
