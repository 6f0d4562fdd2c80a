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

/** Largest factor between the initial speed and a measurement that counts; more shows that other parts were cached. */
const maxFactor = 16

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

/** Average speed of a pool's workers. */
export class PrefillSpeed {
  tokensPerMillisecond: number
  baseMilliseconds: number
  /** Time that a response usually takes besides the computation, including the wait for prompts before it. */
  usualMilliseconds: number
  private readonly speeds = new RecentMedian(speedSamples)
  /** Speeds by shorter prompts. They only tell that the initial value is far too high, in which no prompt looks long. */
  private readonly shortSpeeds = new RecentMedian(speedSamples)

  constructor (private readonly initial: PrefillSpeedOptions) {
    this.tokensPerMillisecond = initial.tokensPerMillisecond
    this.baseMilliseconds = initial.baseMilliseconds
    this.usualMilliseconds = initial.baseMilliseconds
  }

  /**
   * Minimum size of a prompt whose response time tells the speed, in tokens. It does not rise with the measured speed: a
   * few responses that were too fast because of cached parts would otherwise exclude all later ones.
   */
  get minMeasuredTokens (): number {
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
      this.baseMilliseconds += weight * (base - this.baseMilliseconds)
    }
    if (tokens <= maxBaseTokens) return
    const occupiedMilliseconds = Math.max(1, responseMilliseconds - this.baseMilliseconds)
    if (tokens >= this.minMeasuredTokens) {
      this.speeds.add(this.bounded(tokens / occupiedMilliseconds), 0)
    } else if (this.speeds.isEmpty) {
      const isSlow = occupiedMilliseconds > minMeasuredMilliseconds + 2 * (this.usualMilliseconds - this.baseMilliseconds)
      this.shortSpeeds.add(isSlow ? tokens / occupiedMilliseconds : this.tokensPerMillisecond, 0)
    }
    const prior = this.shortSpeeds.estimate(this.initial.tokensPerMillisecond, 0)
    this.tokensPerMillisecond = this.speeds.estimate(prior, 0)
  }

  private bounded (tokensPerMillisecond: number): number {
    const { tokensPerMillisecond: initial } = this.initial
    return Math.min(initial * maxFactor, Math.max(initial / maxFactor, tokensPerMillisecond))
  }
}
