/**
 * Prefix affinity with bounded load: sends prompts with a common prefix to the same worker until that worker reaches
 * the load limit. Without the limit, a popular prompt would overload one worker.
 */
import type { Hash } from '../common/index.js'
import type { PrefixIndex } from './PrefixIndex.js'
import { countPreferredCandidates, loadInStreams, type RoutingCandidate, type RoutingRequest } from './RoutingPolicy.js'
import { PrefixRoutingPolicy } from './PrefixRoutingPolicy.js'

/** Load limit of a worker as a multiple of the average load; `loadLimitOf` adds one stream to it. */
const maxLoadRatio = 1.25

/** Chooses the worker with the longest cached prefix; among equals, by a hash of the prompt's first block. */
export class PrefixAffinityPolicy extends PrefixRoutingPolicy {
  constructor (index: PrefixIndex, blockTokens: number, private readonly hash: Hash) {
    super(index, blockTokens)
  }

  choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const preferredCount = countPreferredCandidates(candidates)
    const loadLimit = loadLimitOf(candidates, preferredCount)
    const firstBlock = request.promptBlocks[0]
    const cachedBlocks = this.index.cachedBlocks(request.promptBlocks)
    let best: { candidate: Candidate, blocks: number, score: number } | undefined
    for (let position = 0; position < preferredCount; position += 1) {
      const candidate = candidates[position]!
      const load = loadInStreams(candidate)
      if (load > loadLimit) continue
      const blocks = cachedBlocks.get(candidate.id) ?? 0
      if (best !== undefined && blocks < best.blocks) continue
      // A prompt without a full block has no prefix to reuse, so the least loaded worker is chosen.
      const score = firstBlock === undefined ? -load : this.hash.h32(`${firstBlock}/${candidate.id}`)
      if (best === undefined || blocks > best.blocks || score > best.score) best = { candidate, blocks, score }
    }
    return best?.candidate
  }
}

/** Maximum load, in streams, of a worker that may be chosen. */
function loadLimitOf (candidates: readonly RoutingCandidate[], count: number): number {
  let sum = 0
  for (let position = 0; position < count; position += 1) sum += loadInStreams(candidates[position]!)
  return sum / Math.max(1, count) * maxLoadRatio + 1
}
