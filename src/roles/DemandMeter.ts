/**
 * Measures a host's demand per model from the requests that ended, for the planner of the zone.
 */
import type { Clock, Model } from '../common/index.js'
import type { ModelDemand } from './RolePlanner.js'

/** Tokens of one request. */
export interface DemandSample {
  model: Model
  /** Prompt tokens that had to be computed: those that were not in the prefix cache. */
  prefillTokens: number
  decodeTokens: number
}

/** Sums of tokens since the last report. */
export class DemandMeter {
  private sums = new Map<Model, { prefill: number, decode: number }>()
  private since: number

  constructor (private readonly clock: Clock) {
    this.since = clock.monotonic()
  }

  /** Counts a request. */
  add (sample: DemandSample): void {
    const sum = this.sums.get(sample.model) ?? { prefill: 0, decode: 0 }
    sum.prefill += sample.prefillTokens
    sum.decode += sample.decodeTokens
    this.sums.set(sample.model, sum)
  }

  /** The rates since the last call, in tokens per second. */
  take (): Map<Model, ModelDemand> {
    const now = this.clock.monotonic()
    const seconds = Math.max(0.001, (now - this.since) / 1000)
    const rates = new Map([...this.sums].map(([model, { prefill, decode }]) => [model, {
      prefillTokensPerSecond: prefill / seconds,
      decodeTokensPerSecond: decode / seconds
    }]))
    this.sums = new Map()
    this.since = now
    return rates
  }
}
