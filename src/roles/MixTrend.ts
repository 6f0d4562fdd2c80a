/**
 * Follows the demand for one model: a smoothed value, and an estimate of how long the current mix will last.
 */
import type { ModelDemand } from './RolePlanner.js'

/** Time constant of the smoothed demand, in milliseconds. */
const smoothingMilliseconds = 5000

/** Time constant of the long-term share of prefill work, in milliseconds. */
const longTermMilliseconds = 300_000

/** The mix has to differ from its long-term share by this much to count as shifted. */
const shiftThreshold = 0.05

/** Number of ended runs that the estimate looks at. */
const keptRuns = 16

/** Horizon while no run has ended yet: the mix is assumed to stay for a minute. */
const initialHorizonMilliseconds = 60_000

type Side = 'prefill_heavy' | 'decode_heavy'

/** Demand of one model over time. */
export class MixTrend {
  private smoothed: ModelDemand | undefined
  private longTermPrefillShare: number | undefined
  private lastSampleAt = 0
  private side: Side | undefined
  private runStartedAt = 0
  private readonly endedRuns: number[] = []

  /** Takes a sample in at a monotonic time in milliseconds. `prefillShare` is the prefill work's share in engine time. */
  add (now: number, demand: ModelDemand, prefillShare: number): void {
    const elapsed = Math.max(0, now - this.lastSampleAt)
    this.lastSampleAt = now
    this.smoothed = this.smoothed === undefined ? { ...demand } : smooth(this.smoothed, demand, elapsed)
    this.longTermPrefillShare = this.longTermPrefillShare === undefined
      ? prefillShare
      : blend(this.longTermPrefillShare, prefillShare, elapsed, longTermMilliseconds)
    this.followRuns(now, prefillShare)
  }

  /** The smoothed demand. */
  demand (): ModelDemand {
    return this.smoothed ?? { prefillTokensPerSecond: 0, decodeTokensPerSecond: 0 }
  }

  /**
   * Expected time in milliseconds for which the current mix goes on: the mean remainder of those earlier
   * runs that lasted at least as long as the current one has. A mix that alternates quickly therefore has a
   * short horizon, and a change does not pay.
   */
  horizon (now: number): number {
    if (this.endedRuns.length === 0) return initialHorizonMilliseconds
    const age = now - this.runStartedAt
    const remainders = this.endedRuns.filter(run => run > age).map(run => run - age)
    // A run longer than all earlier ones is expected to last about as long again.
    if (remainders.length === 0) return age
    return remainders.reduce((sum, remainder) => sum + remainder, 0) / remainders.length
  }

  private followRuns (now: number, prefillShare: number): void {
    const side = this.sideOf(prefillShare)
    if (side === undefined || side === this.side) return
    if (this.side !== undefined) {
      this.endedRuns.push(now - this.runStartedAt)
      if (this.endedRuns.length > keptRuns) this.endedRuns.shift()
    }
    this.side = side
    this.runStartedAt = now
  }

  private sideOf (prefillShare: number): Side | undefined {
    const difference = prefillShare - (this.longTermPrefillShare ?? prefillShare)
    if (Math.abs(difference) < shiftThreshold) return undefined
    return difference > 0 ? 'prefill_heavy' : 'decode_heavy'
  }
}

function blend (old: number, sample: number, elapsed: number, timeConstant: number): number {
  const weight = 1 - Math.exp(-elapsed / timeConstant)
  return old + (sample - old) * weight
}

function smooth (old: ModelDemand, sample: ModelDemand, elapsed: number): ModelDemand {
  return {
    prefillTokensPerSecond: blend(old.prefillTokensPerSecond, sample.prefillTokensPerSecond, elapsed, smoothingMilliseconds),
    decodeTokensPerSecond: blend(old.decodeTokensPerSecond, sample.decodeTokensPerSecond, elapsed, smoothingMilliseconds)
  }
}
