/**
 * Measures how fast the workers of a pool compute prompts, from the response times of prompts that had a worker to
 * themselves.
 */
import { RecentMedian } from '../common/index.js'

/** Initial values, used until responses have been measured. */
export interface PrefillSpeedOptions {
  tokensPerMillisecond: number
  /** Part of a response time that does not depend on the prompt, in milliseconds. */
  baseMilliseconds: number
}

/**
 * Minimum computation time of a prompt whose response time tells the speed, in milliseconds. Shorter ones are hidden by
 * the scatter of the constant part.
 */
const minMeasuredMilliseconds = 30

/** Maximum size of a prompt whose response time tells the constant part, in tokens. */
const maxBaseTokens = 500

/** Number of measurements of the speed that are kept. */
const speedSamples = 15

/**
 * Weights of a new response time below and above the present constant part. The unequal weights make it follow the
 * fastest responses, since the others include waits.
 */
const fasterWeight = 0.3
const slowerWeight = 0.02

/** Weights of a time above and below the present usual one. They make it about the third quartile of all responses. */
const aboveUsualWeight = 0.06
const belowUsualWeight = 0.02

/** Weight of a new deviation from the constant part, and the multiple of the average that a computation has to exceed. */
const scatterWeight = 0.05
const scatterFactor = 4

/** Factor by which one measurement may differ from the present value. */
const maxSampleFactor = 10

/** Factor on the size of the largest recent prompt, with each prompt. */
const largestDecay = 0.98

/** Average speed of a pool's workers. */
export class PrefillSpeed {
  tokensPerMillisecond: number
  baseMilliseconds: number
  /** Time that a response usually takes besides the computation, including the wait for prompts before it. */
  usualMilliseconds: number
  private readonly speeds = new RecentMedian(speedSamples)
  /** Tokens of the largest recent prompt, and average deviation of the constant part, in milliseconds. */
  private largestTokens = 0
  private baseScatter = 0

  constructor (private readonly initial: PrefillSpeedOptions) {
    this.tokensPerMillisecond = initial.tokensPerMillisecond
    this.baseMilliseconds = initial.baseMilliseconds
    this.usualMilliseconds = initial.baseMilliseconds
  }

  /**
   * Minimum size of a long prompt, in tokens. It does not rise with the measured speed: a few responses that were too fast
   * because of cached parts would otherwise exclude all later ones.
   */
  private get minMeasuredTokens (): number {
    return minMeasuredMilliseconds * Math.min(this.initial.tokensPerMillisecond, this.tokensPerMillisecond)
  }

  /** Time for which a worker is occupied by this many tokens, in milliseconds. */
  computeMilliseconds (tokens: number): number {
    return tokens / this.tokensPerMillisecond
  }

  /** Records the response time of a prompt; `isFirst`: no other prompt was ahead of it. */
  record (tokens: number, responseMilliseconds: number, isFirst: boolean): void {
    if (tokens <= maxBaseTokens) this.recordUsual(responseMilliseconds - this.computeMilliseconds(tokens))
    if (isFirst) this.recordFirst(tokens, responseMilliseconds)
  }

  private recordUsual (milliseconds: number): void {
    const weight = milliseconds > this.usualMilliseconds ? aboveUsualWeight : belowUsualWeight
    const bounded = Math.min(milliseconds, this.usualMilliseconds * 2)
    this.usualMilliseconds = Math.max(this.baseMilliseconds, this.usualMilliseconds + weight * (bounded - this.usualMilliseconds))
  }

  private recordFirst (tokens: number, responseMilliseconds: number): void {
    if (tokens <= maxBaseTokens) {
      const base = Math.max(0, responseMilliseconds - this.computeMilliseconds(tokens))
      const weight = base < this.baseMilliseconds ? fasterWeight : slowerWeight
      this.baseScatter += scatterWeight * (Math.abs(base - this.baseMilliseconds) - this.baseScatter)
      this.baseMilliseconds += weight * (base - this.baseMilliseconds)
    }
    this.recordOccupied(tokens, responseMilliseconds - this.baseMilliseconds, true)
  }

  /**
   * Records that a worker was occupied by this many tokens for the given time, in milliseconds; `isFirst`: no other prompt
   * was ahead.
   */
  recordOccupied (tokens: number, milliseconds: number, isFirst: boolean): void {
    if (tokens > maxBaseTokens) this.largestTokens = Math.max(tokens, this.largestTokens * largestDecay)
    const measured = this.measuredSpeed(tokens, milliseconds, isFirst)
    if (measured === undefined) return
    this.speeds.add(measured, 0)
    this.tokensPerMillisecond = this.speeds.estimate(this.initial.tokensPerMillisecond, 0)
  }

  /**
   * The speed by the time for which a prompt occupied a worker; undefined if the prompt is too short to tell it. While the
   * present value is far too high, no prompt looks long. The largest recent ones therefore count as well: by their time if
   * that is long, and for the present value if it is not.
   */
  measuredSpeed (tokens: number, milliseconds: number, isFirst: boolean): number | undefined {
    if (!isFirst && !this.isClear(tokens, milliseconds)) return undefined
    const isLong = tokens >= this.minMeasuredTokens
    if (!isLong && tokens < Math.max(maxBaseTokens, this.largestTokens / 2)) return undefined
    const isSlow = milliseconds > minMeasuredMilliseconds + scatterFactor * this.baseScatter
    if (!isLong && !isSlow) return this.tokensPerMillisecond
    // A few wrong measurements must not make all estimates useless.
    const bounds = [this.tokensPerMillisecond / maxSampleFactor, this.tokensPerMillisecond * maxSampleFactor] as const
    return Math.min(bounds[1], Math.max(bounds[0], tokens / Math.max(1, milliseconds)))
  }

  /** True if the time of a prompt behind another one is long against the scatter of both responses. */
  private isClear (tokens: number, milliseconds: number): boolean {
    const clear = 2 * Math.max(minMeasuredMilliseconds, scatterFactor * this.baseScatter)
    const expected = this.computeMilliseconds(tokens)
    return expected >= clear || (milliseconds >= clear && milliseconds >= 2 * expected)
  }
}
