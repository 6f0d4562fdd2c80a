/**
 * Tracks the demand for one model: smooths it and estimates how long the current mix of prefill and decode work will
 * last. A run is a period in which the mix is shifted to the same side of its long-term prefill share.
 */
import type { ModelDemand } from './RolePlanner.js'

/** Time constant of the exponential smoothing of the demand. */
const smoothingMilliseconds = 5000

/** Time constant of the exponential average of the prefill share. */
const longTermMilliseconds = 300_000

/** Minimum difference between the prefill share and its long-term average at which the mix counts as shifted. */
const shiftThreshold = 0.05

/** Maximum number of ended runs on which the estimate is based; the oldest ones are dropped. */
const maxEndedRuns = 16

/** Horizon that is assumed until the first run has ended. */
const initialHorizonMilliseconds = 60_000

type MixShift = 'prefill_heavy' | 'decode_heavy'

/** Smooths the demand samples of one model and estimates from its earlier runs when the mix will shift again. */
export class MixTrend {
  private smoothedDemand: ModelDemand | undefined
  private longTermPrefillShare: number | undefined
  private lastSampleAt = 0
  private shift: MixShift | undefined
  private runStartedAt = 0
  private readonly endedRunMilliseconds: number[] = []

  /**
   * Adds a sample. `now` is monotonic time in milliseconds; `prefillShare` is the share of prefill work in engine time,
   * from 0 to 1.
   */
  addSample (now: number, demand: ModelDemand, prefillShare: number): void {
    const elapsed = Math.max(0, now - this.lastSampleAt)
    this.lastSampleAt = now
    this.smoothedDemand = this.smoothedDemand === undefined ? { ...demand } : smoothDemand(this.smoothedDemand, demand, elapsed)
    this.longTermPrefillShare = this.longTermPrefillShare === undefined
      ? prefillShare
      : movingAverage(this.longTermPrefillShare, prefillShare, elapsed, longTermMilliseconds)
    this.updateRun(now, prefillShare)
  }

  /** The smoothed demand; zero before the first sample. */
  demand (): ModelDemand {
    return this.smoothedDemand ?? { prefillTokensPerSecond: 0, decodeTokensPerSecond: 0 }
  }

  /**
   * Expected time in milliseconds until the mix shifts again. It is the average time by which the earlier runs exceed the
   * current duration of this run; shorter runs are not counted. A quickly alternating mix therefore has a short horizon,
   * in which a role change does not pay back.
   */
  horizon (now: number): number {
    if (this.endedRunMilliseconds.length === 0) return initialHorizonMilliseconds
    const currentRunMilliseconds = now - this.runStartedAt
    const remainingTimes = this.endedRunMilliseconds
      .filter(run => run > currentRunMilliseconds)
      .map(run => run - currentRunMilliseconds)
    // The current run is at least as long as all earlier ones, and is expected to last as long again as it has so far.
    if (remainingTimes.length === 0) return currentRunMilliseconds
    return remainingTimes.reduce((sum, remaining) => sum + remaining, 0) / remainingTimes.length
  }

  /** Ends the current run and starts a new one if the mix has shifted to the other side. */
  private updateRun (now: number, prefillShare: number): void {
    const shift = this.shiftOf(prefillShare)
    if (shift === undefined || shift === this.shift) return
    if (this.shift !== undefined) {
      this.endedRunMilliseconds.push(now - this.runStartedAt)
      if (this.endedRunMilliseconds.length > maxEndedRuns) this.endedRunMilliseconds.shift()
    }
    this.shift = shift
    this.runStartedAt = now
  }

  private shiftOf (prefillShare: number): MixShift | undefined {
    const difference = prefillShare - (this.longTermPrefillShare ?? prefillShare)
    if (Math.abs(difference) < shiftThreshold) return undefined
    return difference > 0 ? 'prefill_heavy' : 'decode_heavy'
  }
}

/** Exponential moving average after a sample; `elapsed` and `timeConstant` have the same unit. */
function movingAverage (previous: number, sample: number, elapsed: number, timeConstant: number): number {
  const weight = 1 - Math.exp(-elapsed / timeConstant)
  return previous + (sample - previous) * weight
}

function smoothDemand (previous: ModelDemand, sample: ModelDemand, elapsed: number): ModelDemand {
  return {
    prefillTokensPerSecond: movingAverage(
      previous.prefillTokensPerSecond, sample.prefillTokensPerSecond, elapsed, smoothingMilliseconds),
    decodeTokensPerSecond: movingAverage(
      previous.decodeTokensPerSecond, sample.decodeTokensPerSecond, elapsed, smoothingMilliseconds)
  }
}
