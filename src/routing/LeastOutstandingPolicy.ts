/**
 * The worker of the own zone on which this host has the fewest requests.
 */
import { preferOwnZone, type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Compares the requests of this host only, so it needs no load reports. */
export class LeastOutstandingPolicy extends RoutingPolicy {
  private start = 0

  choose<Candidate extends RoutingCandidate> (
    _request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const count = preferOwnZone(candidates)
    // Each decision starts at another candidate, so that equal ones take turns.
    this.start += 1
    let best: Candidate | undefined
    for (let offset = 0; offset < count; offset += 1) {
      const candidate = candidates[(this.start + offset) % count]!
      if (best === undefined || candidate.load.outstanding < best.load.outstanding) best = candidate
    }
    return best
  }
}
