/**
 * Estimates for each worker when it would generate the first token, and takes the earliest. A worker of another
 * zone is taken when the way there costs less than the wait in the own zone.
 */
import type { PrefixIndex } from './PrefixIndex.js'
import { PrefixRoutingPolicy } from './PrefixRoutingPolicy.js'
import type { RoutingCandidate, RoutingRequest } from './RoutingPolicy.js'

/** Costs in milliseconds. The defaults are those of the engine stand-in; a deployment measures its own. */
export interface FirstTokenCosts {
  /** Computing one prompt token. */
  prefillTokenMilliseconds: number
  /** What each generating stream adds to a request's wait. */
  decodeMilliseconds: number
  /** The way to another zone and back, with the traffic between zones that it costs. */
  otherZoneMilliseconds: number
}

/** Default costs. */
export const defaultFirstTokenCosts: FirstTokenCosts = {
  prefillTokenMilliseconds: 0.05,
  decodeMilliseconds: 0.15,
  otherZoneMilliseconds: 10
}

/** Chooses the earliest estimated first token. */
export class EstimatedFirstTokenPolicy extends PrefixRoutingPolicy {
  private start = 0

  constructor (index: PrefixIndex, blockTokens: number, private readonly costs: FirstTokenCosts = defaultFirstTokenCosts) {
    super(index, blockTokens)
  }

  choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const cached = this.index.cachedBlocks(request.promptBlocks)
    // Each decision starts at another candidate, so that equal ones take turns.
    this.start += 1
    let best: Candidate | undefined
    let bestCost = Infinity
    for (let offset = 0; offset < candidates.length; offset += 1) {
      const candidate = candidates[(this.start + offset) % candidates.length]!
      const cachedTokens = (cached.get(candidate.id) ?? 0) * this.blockTokens
      const cost = this.estimate(request, candidate, cachedTokens)
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    return best
  }

  /** Estimated milliseconds until the first token. */
  private estimate (request: RoutingRequest, candidate: RoutingCandidate, cachedTokens: number): number {
    const prefill = candidate.load.queuedPrefillTokens + Math.max(0, request.promptTokens - cachedTokens)
    return prefill * this.costs.prefillTokenMilliseconds +
      candidate.load.runningDecodes * this.costs.decodeMilliseconds +
      (candidate.ownZone ? 0 : this.costs.otherZoneMilliseconds)
  }
}
