/**
 * Base of the policies that take the prefix caches of the engines into account.
 */
import type { PrefixIndex } from './PrefixIndex.js'
import { type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Records sent prompts in a `PrefixIndex`, and counts only uncached prompt tokens as prefill work. */
export abstract class PrefixRoutingPolicy extends RoutingPolicy {
  constructor (protected readonly index: PrefixIndex, protected readonly blockTokens: number) {
    super()
  }

  override recordSent (request: RoutingRequest, worker: RoutingCandidate): void {
    this.index.recordSent(worker.id, request.promptBlocks)
  }

  override prefillTokens (request: RoutingRequest, worker: RoutingCandidate): number {
    const cachedBlocks = this.index.cachedBlocks(request.promptBlocks).get(worker.id) ?? 0
    return Math.max(0, request.promptTokens - cachedBlocks * this.blockTokens)
  }
}
