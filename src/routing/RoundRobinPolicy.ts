/**
 * The workers of the own zone in turn. Baseline for measurements.
 */
import { preferOwnZone, type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Takes the candidates in turn. */
export class RoundRobinPolicy extends RoutingPolicy {
  private next = 0

  choose<Candidate extends RoutingCandidate> (
    _request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    if (candidates.length === 0) return undefined
    this.next += 1
    return candidates[this.next % preferOwnZone(candidates)]
  }
}
