/**
 * Round-robin routing over the workers of this host's zone, or of all zones if this one has no candidate. Serves as the
 * baseline in measurements.
 */
import { countPreferredCandidates, type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Chooses the candidates in turn, regardless of their load. */
export class RoundRobinPolicy extends RoutingPolicy {
  private nextPosition = 0

  choose<Candidate extends RoutingCandidate> (
    _request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    if (candidates.length === 0) return undefined
    this.nextPosition += 1
    return candidates[this.nextPosition % countPreferredCandidates(candidates)]
  }
}
