/**
 * What policies share that know which prompt blocks the engines hold.
 */
import type { PrefixIndex } from './PrefixIndex.js'
import { type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** A policy with a `PrefixIndex`. */
export abstract class PrefixRoutingPolicy extends RoutingPolicy {
  constructor (protected readonly index: PrefixIndex, protected readonly blockTokens: number) {
    super()
  }

  override sent (request: RoutingRequest, worker: RoutingCandidate): void {
    this.index.noteSent(worker.id, request.promptBlocks)
  }

  override prefillTokens (request: RoutingRequest, worker: RoutingCandidate): number {
    const cached = this.index.cachedBlocks(request.promptBlocks).get(worker.id) ?? 0
    return Math.max(0, request.promptTokens - cached * this.blockTokens)
  }
}
