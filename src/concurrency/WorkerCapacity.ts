/**
 * What this host knows of how much work one process of a worker handles well: its limit, its speed and its record of
 * failures, from the requests of this host and from what the worker states. All of it returns to neutral values when there
 * is no evidence for a while, so that a worker that was avoided is tried again.
 */
import { type Clock, RecentMedian } from '../common/index.js'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'
import { LoadSamples } from './LoadSamples.js'
import type { ServerLoad } from './ServerLoad.js'
import type { UsualLatencies } from './UsualLatencies.js'

/** An ended request of this host. */
export interface EndedRequest {
  /** Requests of the same kind take similar times. */
  kind: string
  milliseconds: number
  /** True if the worker or the connection to it failed. */
  isFailure: boolean
  /** Time within which the worker had to answer for the request to be in time, in milliseconds; undefined if unknown. */
  dueMilliseconds: number | undefined
  /** Requests of this host at the worker meanwhile, this one included. */
  ownOpen: number
}

/** Number of latencies that are kept, and the time after which one is forgotten, in milliseconds. */
const latencySamples = 7
const maxAgeMilliseconds = 10_000

/** Difference of a worker's latencies from the usual ones that is ignored, besides their scatter. */
const ignoredDifference = 0.15

/** Time in which the memory of failures halves, in milliseconds. */
const recordHalfLifeMilliseconds = 10_000

/** Requests without a failure that are assumed of a worker that is not known. */
const assumedRequests = 2

/** Weight of a late response among the failures. */
const lateWeight = 0.5

/** Capacity of one process of a worker. */
export class WorkerCapacity {
  private readonly limitOfWorker = new ConcurrencyLimit()
  private readonly samples = new LoadSamples()
  private readonly latencies = new RecentMedian(latencySamples, maxAgeMilliseconds)
  private failures = 0
  private requests = 0
  private countedAt = 0
  /** Average time of the requests of this host, in milliseconds. */
  private requestMilliseconds = 0

  /** `slots`: requests that the worker processes at once by its description; infinite if it is not known. */
  constructor (private readonly clock: Clock, private readonly usual: UsualLatencies, private readonly slots: () => number) {}

  /** Records the load in a response. */
  recordLoad (load: ServerLoad, ownOpen: number): void {
    this.samples.record(load, ownOpen, this.clock.monotonic())
  }

  /** Records the end of a request. */
  recordEnd ({ kind, milliseconds, isFailure, dueMilliseconds, ownOpen }: EndedRequest): void {
    const now = this.clock.monotonic()
    const fading = this.fading(now)
    const isLate = dueMilliseconds !== undefined && milliseconds > dueMilliseconds
    this.failures = this.failures * fading + (isFailure ? 1 : isLate ? lateWeight : 0)
    this.requests = this.requests * fading + 1
    this.countedAt = now
    // A failure may come at once or after a time limit, and tells nothing about the speed.
    if (isFailure) return
    const relativeLatency = Math.max(1, milliseconds) / this.usual.record(kind, milliseconds, now)
    this.requestMilliseconds += (milliseconds - this.requestMilliseconds) / (this.requestMilliseconds === 0 ? 1 : latencySamples)
    this.latencies.add(relativeLatency, now)
    const open = this.samples.openRequests(ownOpen, this.requestMilliseconds, now)
    this.limitOfWorker.record(relativeLatency, open, this.knownSlots, milliseconds, now)
  }

  /** Requests of all hosts that are expected to be open at the worker. */
  openRequests (ownOpen: number): number {
    return this.samples.openRequests(ownOpen, this.requestMilliseconds, this.clock.monotonic())
  }

  /** Number of open requests that the worker handles well; infinite if nothing is known. */
  get limit (): number {
    return this.limitOfWorker.value(this.knownSlots, this.clock.monotonic())
  }

  /**
   * Factor on the time that the workers usually take. What the worker states counts until this host has measured it, and
   * after that only for its course, so that a false statement does not last.
   */
  get slowness (): number {
    const now = this.clock.monotonic()
    const measured = this.latencies.estimate(this.samples.usualSlowness(now), now)
    const scatter = this.latencies.relativeScatter(measured, now)
    const momentary = this.samples.momentarySlowness(this.requestMilliseconds, now)
    return (Math.abs(measured - 1) <= ignoredDifference + scatter ? 1 : measured) * momentary
  }

  /** Share of recent requests that failed, late ones counted in part. */
  get failureShare (): number {
    const fading = this.fading(this.clock.monotonic())
    return this.failures * fading / (this.requests * fading + assumedRequests)
  }

  /** True if the worker states its load, or differs from what is expected of any worker. */
  get isKnown (): boolean {
    const now = this.clock.monotonic()
    return this.samples.isRecent(now) || this.failureShare > negligibleFailureShare || this.slowness !== 1
  }

  private get knownSlots (): number {
    return this.samples.slots(this.clock.monotonic()) ?? this.slots()
  }

  private fading (now: number): number {
    return 0.5 ** ((now - this.countedAt) / recordHalfLifeMilliseconds)
  }
}

/** Share of failures below which workers count as equal. */
const negligibleFailureShare = 0.01
