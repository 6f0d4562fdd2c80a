/**
 * Estimates for each worker the time to the first token, and chooses the worker with the shortest. A worker in another
 * zone is chosen if the cost of crossing zones is lower than the additional wait in this host's zone.
 */
import type { PrefixIndex } from './PrefixIndex.js'
import { PrefixRoutingPolicy } from './PrefixRoutingPolicy.js'
import type { RoutingCandidate, RoutingRequest } from './RoutingPolicy.js'

/** Costs of a deployment, in milliseconds. */
export interface FirstTokenCosts {
  /** Time to compute one prompt token. */
  prefillMillisecondsPerToken: number
  /** Delay of the first token caused by each stream that generates tokens on the worker. */
  decodeMillisecondsPerStream: number
  /** Round trip to another zone, plus the price of the traffic between zones expressed as a delay. */
  otherZoneMilliseconds: number
}

/** Costs of the engine stand-in, used if none are given. A deployment needs the costs of its own engines. */
export const defaultFirstTokenCosts: FirstTokenCosts = {
  prefillMillisecondsPerToken: 0.05,
  decodeMillisecondsPerStream: 0.15,
  otherZoneMilliseconds: 10
}

/** Chooses the worker with the shortest estimated time to the first token. */
export class EstimatedFirstTokenPolicy extends PrefixRoutingPolicy {
  private startPosition = 0

  constructor (index: PrefixIndex, blockTokens: number, private readonly costs: FirstTokenCosts = defaultFirstTokenCosts) {
    super(index, blockTokens)
  }

  choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const cachedBlocks = this.index.cachedBlocks(request.promptBlocks)
    // Starts at the next candidate on each call, so that candidates of equal cost are chosen in turn.
    this.startPosition += 1
    let best: Candidate | undefined
    let bestCost = Infinity
    for (let offset = 0; offset < candidates.length; offset += 1) {
      const candidate = candidates[(this.startPosition + offset) % candidates.length]!
      const cachedTokens = (cachedBlocks.get(candidate.id) ?? 0) * this.blockTokens
      const cost = this.estimateMilliseconds(request, candidate, cachedTokens)
      if (cost >= bestCost) continue
      best = candidate
      bestCost = cost
    }
    return best
  }

  /** Estimated time to the first token, plus the price of traffic to another zone, in milliseconds. */
  private estimateMilliseconds (request: RoutingRequest, candidate: RoutingCandidate, cachedTokens: number): number {
    const prefillTokens = candidate.load.queuedPrefillTokens + Math.max(0, request.promptTokens - cachedTokens)
    return prefillTokens * this.costs.prefillMillisecondsPerToken +
      candidate.load.runningDecodes * this.costs.decodeMillisecondsPerStream +
      (candidate.isInOwnZone ? 0 : this.costs.otherZoneMilliseconds)
  }
}
