/**
 * The less loaded of two workers chosen at random. The cost of a decision does not depend on their number, and
 * hosts with the same old load report do not all choose the same worker.
 */
import { SeededRandom } from '../common/index.js'
import { preferOwnZone, pressureOf, type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Compares two random workers of the own zone. */
export class PowerOfTwoPolicy extends RoutingPolicy {
  private readonly random: SeededRandom

  /** Hosts need different seeds; equal seeds give equal choices. */
  constructor (seed: number) {
    super()
    this.random = new SeededRandom(seed)
  }

  choose<Candidate extends RoutingCandidate> (
    _request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const count = preferOwnZone(candidates)
    if (count <= 1) return candidates[0]
    const first = this.random.integer(0, count - 1)
    const step = this.random.integer(1, count - 1)
    const one = candidates[first]!
    const other = candidates[(first + step) % count]!
    return pressureOf(other) < pressureOf(one) ? other : one
  }
}
