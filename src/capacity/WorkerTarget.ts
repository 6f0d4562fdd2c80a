/**
 * The number of workers that a pool needs, from its demand. It rises at once and falls slowly, so that a swing of the
 * demand that is shorter than the start of a worker orders nothing.
 */
import { DemandPeak } from './DemandPeak.js'
import type { PoolDemand } from './WorkerOrder.js'

/** Period whose peak counts, in milliseconds; it covers several swings between prompts and answers. */
const peakMilliseconds = 15_000

/** Time for which demand has to be known before the number falls, in milliseconds. */
const observationMilliseconds = 5000

/** Time for which the need has to be lower before the number falls, in milliseconds. */
const lowerMilliseconds = 3000

/** Changes up to this share of the number, or of one worker, order nothing. */
const toleratedShare = 0.1

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
  private observedSince: number | undefined
  private lowerSince: number | undefined

  constructor (private readonly throughput: WorkerThroughput, private number: number) {}

  /** Records the demand and returns the number of workers that the pool is to have. */
  update (demand: PoolDemand | undefined, now: number): number {
    if (demand !== undefined) this.record(demand, now)
    if (this.observedSince === undefined) return this.number
    const needed = this.needed(now)
    const tolerated = Math.max(1, this.number * toleratedShare)
    if (needed > this.number + tolerated) this.number = needed
    if (needed >= this.number - tolerated) {
      this.lowerSince = undefined
      return this.number
    }
    this.lowerSince ??= now
    const mayFall = now - this.observedSince >= observationMilliseconds && now - this.lowerSince >= lowerMilliseconds
    if (mayFall) {
      this.number = needed
      this.lowerSince = undefined
    }
    return this.number
  }

  private record (demand: PoolDemand, now: number): void {
    this.prompts.record(demand.openPrompts, now)
    this.answers.record(demand.openAnswers, now)
    if (demand.openPrompts + demand.openAnswers > 0) this.observedSince ??= now
  }

  private needed (now: number): number {
    const { promptsPerWorker, answersPerWorker, promptShare } = this.throughput
    const forPrompts = promptShare > 0 ? this.prompts.maximum(now) / promptsPerWorker / promptShare : 0
    const forAnswers = this.answers.maximum(now) / answersPerWorker / (1 - promptShare)
    return Math.max(1, Math.ceil(Math.max(forPrompts, forAnswers)))
  }
}
