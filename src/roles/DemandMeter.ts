/**
 * Measures the demand of a host for each model from its completed requests. The role planner of the zone uses the rates.
 */
import type { Clock, Model } from '../common/index.js'
import type { ModelDemand } from './RolePlanner.js'

/** Token counts of one completed request. */
export interface DemandSample {
  model: Model
  /** Prompt tokens that an engine computed because they were not in its prefix cache. */
  prefillTokens: number
  decodeTokens: number
}

/** Sums up the tokens of completed requests between two reports. */
export class DemandMeter {
  private tokenSums = new Map<Model, { prefill: number, decode: number }>()
  private intervalStart: number

  constructor (private readonly clock: Clock) {
    this.intervalStart = clock.monotonic()
  }

  /** Adds the tokens of a request to the sums. */
  add (sample: DemandSample): void {
    const sum = this.tokenSums.get(sample.model) ?? { prefill: 0, decode: 0 }
    sum.prefill += sample.prefillTokens
    sum.decode += sample.decodeTokens
    this.tokenSums.set(sample.model, sum)
  }

  /** Returns the rates since the previous call, in tokens per second, and resets the sums. */
  takeRates (): Map<Model, ModelDemand> {
    const now = this.clock.monotonic()
    const seconds = Math.max(0.001, (now - this.intervalStart) / 1000)
    const rates = new Map([...this.tokenSums].map(([model, { prefill, decode }]) => [model, {
      prefillTokensPerSecond: prefill / seconds,
      decodeTokensPerSecond: decode / seconds
    }]))
    this.tokenSums = new Map()
    this.intervalStart = now
    return rates
  }
}
