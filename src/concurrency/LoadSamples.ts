/**
 * Open requests of one worker, from the samples in its responses and the requests of this host. What a sample states of
 * other hosts' requests holds for about as long as a request takes; after that their recent average is expected.
 */
import type { ServerLoad } from './ServerLoad.js'

/** Weight of a new sample in the averages. */
const sampleWeight = 0.2

/** Time after which samples tell nothing any more, in milliseconds: the worker may have ceased to state its load. */
const maxAgeMilliseconds = 10_000

/** Bounds of the factor by which the stated slowness at a moment differs from its average. */
const maxMomentaryFactor = 2.5

/** Holds the latest sample and averages of one worker. */
export class LoadSamples {
  private latest: { load: ServerLoad, others: number, at: number } | undefined
  private averageOthers = 0
  private averageSlowness: number | undefined

  /** Records the load in a response that arrived now; `ownOpen`: requests of this host that are open at the worker. */
  record (load: ServerLoad, ownOpen: number, now: number): void {
    const others = Math.max(0, load.running + load.waiting - ownOpen)
    const isFirst = !this.isRecent(now)
    this.averageOthers = isFirst ? others : this.averageOthers + sampleWeight * (others - this.averageOthers)
    if (load.slowness !== undefined) {
      const { averageSlowness } = this
      this.averageSlowness = isFirst || averageSlowness === undefined
        ? load.slowness
        : averageSlowness + sampleWeight * (load.slowness - averageSlowness)
    }
    this.latest = { load, others, at: now }
  }

  /** True if the worker has stated its load lately. */
  isRecent (now: number): boolean {
    return this.latest !== undefined && now - this.latest.at <= maxAgeMilliseconds
  }

  /** Requests that the worker processes at once, as it has stated lately. */
  slots (now: number): number | undefined {
    return this.isRecent(now) ? this.latest?.load.slots : undefined
  }

  /** Requests of all hosts that are expected to be open. `requestMilliseconds`: usual time of a request. */
  openRequests (ownOpen: number, requestMilliseconds: number, now: number): number {
    if (this.latest === undefined || !this.isRecent(now)) return ownOpen
    return ownOpen + this.averageOthers + (this.latest.others - this.averageOthers) * this.freshness(requestMilliseconds, now)
  }

  /** Stated slowness, averaged; 1 if the worker does not state it. */
  usualSlowness (now: number): number {
    return this.isRecent(now) ? this.averageSlowness ?? 1 : 1
  }

  /** Factor by which work takes longer at this moment than on average, as far as the latest sample still tells. */
  momentarySlowness (requestMilliseconds: number, now: number): number {
    const stated = this.latest?.load.slowness
    if (stated === undefined || this.averageSlowness === undefined || !this.isRecent(now)) return 1
    const factor = Math.min(maxMomentaryFactor, Math.max(1 / maxMomentaryFactor, stated / this.averageSlowness))
    return factor ** this.freshness(requestMilliseconds, now)
  }

  /** 1 for a sample that has just arrived, falling to 0 with its age. */
  private freshness (requestMilliseconds: number, now: number): number {
    return this.latest === undefined ? 0 : Math.exp(-(now - this.latest.at) / Math.max(1, requestMilliseconds))
  }
}
