/**
 * Measures how fast the workers of a pool compute prompts, from the response times of prompts that had a worker to
 * themselves.
 */

/** Initial values, used until responses have been measured. */
export interface PrefillSpeedOptions {
  tokensPerMillisecond: number
  /** Part of a response time that does not depend on the prompt, in milliseconds. */
  baseMilliseconds: number
}

/** Minimum size of a prompt whose response time tells the speed, in tokens. */
const minMeasuredTokens = 1500

/** Maximum size of a prompt whose response time tells the constant part, in tokens. */
const maxBaseTokens = 500

/** Weight of a new speed in the average. */
const speedWeight = 0.1

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

  constructor (private readonly initial: PrefillSpeedOptions) {
    this.tokensPerMillisecond = initial.tokensPerMillisecond
    this.baseMilliseconds = initial.baseMilliseconds
    this.usualMilliseconds = initial.baseMilliseconds
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
    if (tokens < minMeasuredTokens) return
    const measured = tokens / Math.max(1, responseMilliseconds - this.baseMilliseconds)
    const { tokensPerMillisecond } = this.initial
    // A single slow or wrong measurement must not make all estimates useless.
    const bounded = Math.min(tokensPerMillisecond * 4, Math.max(tokensPerMillisecond / 4, measured))
    this.tokensPerMillisecond += speedWeight * (bounded - this.tokensPerMillisecond)
  }
}
