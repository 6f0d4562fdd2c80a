/**
 * Power-of-two-choices routing: draws two workers at random and chooses the less loaded one. A decision compares two
 * workers however many there are, and hosts that share an outdated load report do not all choose the same worker.
 */
import { SeededRandom } from '../common/index.js'
import { countPreferredCandidates, loadInStreams, type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Compares two random workers of this host's zone, or of all zones if this one has no candidate. */
export class PowerOfTwoPolicy extends RoutingPolicy {
  private readonly random: SeededRandom

  /** Each host needs its own seed, because equal seeds give equal choices. */
  constructor (seed: number) {
    super()
    this.random = new SeededRandom(seed)
  }

  choose<Candidate extends RoutingCandidate> (
    _request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const preferredCount = countPreferredCandidates(candidates)
    if (preferredCount <= 1) return candidates[0]
    const firstPosition = this.random.integer(0, preferredCount - 1)
    const distance = this.random.integer(1, preferredCount - 1)
    const firstCandidate = candidates[firstPosition]!
    const secondCandidate = candidates[(firstPosition + distance) % preferredCount]!
    return loadInStreams(secondCandidate) < loadInStreams(firstCandidate) ? secondCandidate : firstCandidate
  }
}
