/**
 * Least-outstanding routing: chooses the worker in this host's zone that has the fewest open requests of this host.
 * If the zone has no candidate, the workers of all zones are compared.
 */
import { countPreferredCandidates, type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Counts the requests of this host only and therefore needs no load reports. */
export class LeastOutstandingPolicy extends RoutingPolicy {
  private startPosition = 0

  choose<Candidate extends RoutingCandidate> (
    _request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const preferredCount = countPreferredCandidates(candidates)
    // Starts at the next candidate on each call, so that candidates with equal counts are chosen in turn.
    this.startPosition += 1
    let best: Candidate | undefined
    for (let offset = 0; offset < preferredCount; offset += 1) {
      const candidate = candidates[(this.startPosition + offset) % preferredCount]!
      if (best === undefined || candidate.load.outstanding < best.load.outstanding) best = candidate
    }
    return best
  }
}
