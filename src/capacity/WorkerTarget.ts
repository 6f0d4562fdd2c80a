/**
 * The number of workers that a pool needs, from its demand. It rises at once and falls slowly, so that a swing of the
 * demand that is shorter than the start of a worker orders nothing.
 */
import { DemandPeak } from './DemandPeak.js'
import type { OpenWork } from '../duties/index.js'
import type { PoolDemand } from './WorkerOrder.js'

/** Period whose peak counts, in milliseconds; it covers several swings between prompts and answers. */
export const peakMilliseconds = 15_000

/**
 * Time over which demand is averaged, in milliseconds. Caches that are still empty and workers that have just failed make
 * requests wait for a few seconds, which more workers would not shorten.
 */
const averagedMilliseconds = 4000

/**
 * Largest growth within the start of a worker, as a multiple of the number. Where requests wait, their number tells that
 * workers are missing, but not how many.
 */
const maxGrowth = 1.5

/** Time for which demand has to be known before the number falls, in milliseconds: as long as a peak counts. */
const observationMilliseconds = peakMilliseconds

/** Time for which the need has to be lower before the number falls, in milliseconds. */
const lowerMilliseconds = 3000

/** Changes up to this share of the number, or of one worker, order nothing. */
export const toleratedShare = 0.1

/** How much work a worker takes so that requests rarely wait. */
export interface WorkerThroughput {
  /**
   * Prompts in progress for each worker that computes prompts. A prompt occupies the worker for a part of its time in
   * progress only, and bursts need a reserve.
   */
  promptsPerWorker: number
  /** Answers in progress for each worker that answers. */
  answersPerWorker: number
  /** Share of the workers that compute prompts; 0 if no worker is set apart for them. */
  promptShare: number
}

/** Follows the demand of one pool. */
export class WorkerTarget {
  private readonly prompts = new DemandPeak(peakMilliseconds)
  private readonly answers = new DemandPeak(peakMilliseconds)
  private average: OpenWork = { openPrompts: 0, openAnswers: 0 }
  private averagedAt: number | undefined
  private observedSince: number | undefined
  private raisedAt: number | undefined
  private lowerSince: number | undefined

  constructor (private readonly throughput: WorkerThroughput, private number: number) {}

  /**
   * Records the demand and returns the number of workers that the pool is to have. `startupMilliseconds`: time until a new
   * worker serves.
   */
  update (demand: PoolDemand | undefined, startupMilliseconds: number, now: number): number {
    if (demand === undefined) {
      this.lowerSince = undefined
      return this.number
    }
    this.record(demand, now)
    if (this.observedSince === undefined) return this.number
    const tolerated = Math.max(1, this.number * toleratedShare)
    const needed = this.workersFor(this.average)
    if (needed > this.number + tolerated) this.raise(needed, startupMilliseconds, now)
    const neededAtPeak = this.workersFor({ openPrompts: this.prompts.maximum(now), openAnswers: this.answers.maximum(now) })
    if (neededAtPeak >= this.number - tolerated) {
      this.lowerSince = undefined
      return this.number
    }
    this.lowerSince ??= now
    const mayFall = now - this.observedSince >= observationMilliseconds && now - this.lowerSince >= lowerMilliseconds
    if (mayFall) {
      this.number = neededAtPeak
      this.lowerSince = undefined
    }
    return this.number
  }

  private raise (needed: number, startupMilliseconds: number, now: number): void {
    if (this.raisedAt !== undefined && now - this.raisedAt < startupMilliseconds) return
    this.raisedAt = now
    this.number = Math.min(needed, Math.ceil(this.number * maxGrowth))
  }

  private record (demand: PoolDemand, now: number): void {
    const elapsed = this.averagedAt === undefined ? averagedMilliseconds : now - this.averagedAt
    this.averagedAt = now
    const weight = 1 - Math.exp(-elapsed / averagedMilliseconds)
    this.average = {
      openPrompts: this.average.openPrompts + weight * (demand.openPrompts - this.average.openPrompts),
      openAnswers: this.average.openAnswers + weight * (demand.openAnswers - this.average.openAnswers)
    }
    this.prompts.record(this.average.openPrompts, now)
    this.answers.record(this.average.openAnswers, now)
    if (demand.openPrompts + demand.openAnswers > 0) this.observedSince ??= now
  }

  private workersFor (work: OpenWork): number {
    return Math.max(1, Math.ceil(workersFor(work, this.throughput)))
  }
}

/** The number of workers that some work occupies, with the reserve of `throughput`. Not rounded. */
export function workersFor ({ openPrompts, openAnswers }: OpenWork, throughput: WorkerThroughput): number {
  const { promptsPerWorker, answersPerWorker, promptShare } = throughput
  const forPrompts = promptShare > 0 ? openPrompts / promptsPerWorker / promptShare : 0
  const forAnswers = openAnswers / answersPerWorker / (1 - promptShare)
  return Math.max(forPrompts, forAnswers)
}
