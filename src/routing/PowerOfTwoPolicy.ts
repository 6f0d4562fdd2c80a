/**
 * The less loaded of two workers chosen at random. The cost of a decision does not depend on their number, and
 * hosts with the same old load report do not all choose the same worker.
 */
import { type RandomGenerator, unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand'
import { preferOwnZone, pressureOf, type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Compares two random workers of the own zone. */
export class PowerOfTwoPolicy extends RoutingPolicy {
  private readonly random: RandomGenerator

  /** Hosts need different seeds; equal seeds give equal choices. */
  constructor (seed: number) {
    super()
    this.random = xoroshiro128plus(seed)
  }

  choose<Candidate extends RoutingCandidate> (
    _request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const count = preferOwnZone(candidates)
    if (count <= 1) return candidates[0]
    const first = unsafeUniformIntDistribution(0, count - 1, this.random)
    const step = unsafeUniformIntDistribution(1, count - 1, this.random)
    const one = candidates[first]!
    const other = candidates[(first + step) % count]!
    return pressureOf(other) < pressureOf(one) ? other : one
  }
}
