/**
 * Pseudorandom numbers from a seed, for traces and policies whose runs have to be reproducible.
 */
import { type RandomGenerator, unsafeSkipN, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'

const fractionSteps = 0x7fffffff

/** Outputs that are skipped, since the first outputs of a small seed lie at the ends of the range. */
const skippedOutputs = 32

/** A seeded source of random numbers. */
export class SeededRandom {
  private readonly generator: RandomGenerator

  constructor (seed: number) {
    this.generator = xoroshiro128plus(seed)
    unsafeSkipN(this.generator, skippedOutputs)
  }

  /** An integer from `minimum` to `maximum`, both included. */
  integer (minimum: number, maximum: number): number {
    return unsafeUniformIntDistribution(minimum, maximum, this.generator)
  }

  /** A number from 0 (included) to 1 (excluded). */
  fraction (): number {
    return this.integer(0, fractionSteps - 1) / fractionSteps
  }

  /** A number from the exponential distribution with the given mean. */
  exponential (mean: number): number {
    return -Math.log(1 - this.fraction()) * mean
  }

  /** One of the values, each with the same probability. */
  pick<Value> (values: readonly Value[]): Value {
    const value = values[this.integer(0, values.length - 1)]
    if (value === undefined) throw new Error('pick needs at least one value')
    return value
  }
}
