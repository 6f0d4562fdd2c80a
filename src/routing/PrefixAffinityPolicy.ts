/**
 * Sends prompts with a common start to the same worker while that worker carries no more than its part of the
 * load. Without the bound, a popular prompt would overload one worker.
 */
import type { Hash } from '../common/index.js'
import type { PrefixIndex } from './PrefixIndex.js'
import { preferOwnZone, pressureOf, type RoutingCandidate, type RoutingRequest } from './RoutingPolicy.js'
import { PrefixRoutingPolicy } from './PrefixRoutingPolicy.js'

/** A worker may carry this much more than the average. */
const loadBound = 1.25

/** Chooses by cached prefix, then by a hash of the prompt's first block. */
export class PrefixAffinityPolicy extends PrefixRoutingPolicy {
  constructor (index: PrefixIndex, blockTokens: number, private readonly hash: Hash) {
    super(index, blockTokens)
  }

  choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const count = preferOwnZone(candidates)
    const limit = boundOf(candidates, count)
    const first = request.promptBlocks[0]
    const cached = this.index.cachedBlocks(request.promptBlocks)
    let best: { candidate: Candidate, blocks: number, score: number } | undefined
    for (let position = 0; position < count; position += 1) {
      const candidate = candidates[position]!
      const pressure = pressureOf(candidate)
      if (pressure > limit) continue
      const blocks = cached.get(candidate.id) ?? 0
      if (best !== undefined && blocks < best.blocks) continue
      // Prompts without a full block share nothing worth keeping together, so load alone decides.
      const score = first === undefined ? -pressure : this.hash.h32(`${first}/${candidate.id}`)
      if (best === undefined || blocks > best.blocks || score > best.score) best = { candidate, blocks, score }
    }
    return best?.candidate
  }
}

function boundOf (candidates: readonly RoutingCandidate[], count: number): number {
  let sum = 0
  for (let position = 0; position < count; position += 1) sum += pressureOf(candidates[position]!)
  return sum / Math.max(1, count) * loadBound + 1
}
