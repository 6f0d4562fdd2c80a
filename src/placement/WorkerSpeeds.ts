/**
 * How fast each worker of a pool computes prompts. The pool's speed is expected of a worker that is not known, and of one
 * whose measurements differ from it by no more than they scatter, so that equal workers stay equal.
 */
import { RecentMedian, type WorkerId } from '../common/index.js'
import type { PrefillSpeed } from './PrefillSpeed.js'

/** Number of measurements of a worker that are kept; four of them show a change. */
const samplesPerWorker = 7

/** Time after which a measurement is forgotten, in milliseconds. A worker that was avoided is then tried again. */
const maxAgeMilliseconds = 10_000

/** Difference between a worker and its pool that is ignored, besides the scatter of the measurements. */
const ignoredDifference = 0.1

/** Speeds of the workers of one pool. */
export class WorkerSpeeds {
  private readonly byWorker = new Map<WorkerId, RecentMedian>()

  constructor (private readonly pool: PrefillSpeed) {}

  /** As `PrefillSpeed.recordOccupied`, for one worker. */
  record (worker: WorkerId, tokens: number, occupiedMilliseconds: number, isFirst: boolean, now: number): void {
    const measured = this.pool.measuredSpeed(tokens, occupiedMilliseconds, isFirst)
    if (measured === undefined) return
    const speeds = this.byWorker.get(worker) ?? new RecentMedian(samplesPerWorker, maxAgeMilliseconds)
    this.byWorker.set(worker, speeds)
    speeds.add(measured, now)
  }

  /** Factor on the time that a worker of the pool usually takes; above 1 for a slow worker. */
  slowness (worker: WorkerId, now: number): number {
    const { tokensPerMillisecond } = this.pool
    const speeds = this.byWorker.get(worker)
    if (speeds === undefined) return 1
    const estimate = speeds.estimate(tokensPerMillisecond, now)
    const difference = Math.abs(estimate - tokensPerMillisecond) / tokensPerMillisecond
    return difference <= ignoredDifference + speeds.relativeScatter(estimate, now) ? 1 : tokensPerMillisecond / estimate
  }

  /** Time for which the worker is occupied by this many tokens, in milliseconds. */
  computeMilliseconds (worker: WorkerId, tokens: number, now: number): number {
    return this.pool.computeMilliseconds(tokens) * this.slowness(worker, now)
  }
}
