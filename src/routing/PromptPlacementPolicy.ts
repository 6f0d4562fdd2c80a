/**
 * Places prompts whose parts are named by the caller. The estimate of the time to the first token decides: tokens
 * that wait at a worker, tokens of the prompt that it does not hold, and the way to another zone. Hosts do not tell
 * each other what they sent. Rendezvous hashing over the shared parts makes all of them read a part first on the
 * same worker, so that each finds there what another host has sent.
 */
import type { Hash } from '../common/index.js'
import type { PrefixIndex } from './PrefixIndex.js'
import { type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Costs of a deployment's engines. */
export interface PlacementCosts {
  /** Prompt tokens that a prefill worker computes in a millisecond. */
  prefillTokensPerMillisecond: number
  /** Prompt tokens that a worker computes in a millisecond between the tokens that it generates. */
  interleavedTokensPerMillisecond: number
  /** Fetching a computed prompt and the further call for it, in milliseconds. */
  handoverMilliseconds: number
  /** What a call to another zone costs, in milliseconds of waiting that it is worth. */
  otherZoneMilliseconds: number
  /** Share of the shared parts that a part's first worker is expected to hold before this host knows it. */
  expectedShare: number
}

/** Options of a `PromptPlacementPolicy`. */
export interface PlacementOptions {
  index: PrefixIndex
  hash: Hash
  costs: PlacementCosts
  /** Chooses workers for requests without a prompt. */
  withoutPrompt: RoutingPolicy
}

/** Chooses workers for prompts and for their answers. */
export class PromptPlacementPolicy extends RoutingPolicy {
  private readonly index: PrefixIndex
  private readonly costs: PlacementCosts

  constructor (private readonly options: PlacementOptions) {
    super()
    this.index = options.index
    this.costs = options.costs
  }

  choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    if (request.promptBlocks.length === 0) return this.options.withoutPrompt.choose(request, candidates)
    return this.best(request, candidates, this.costs.interleavedTokensPerMillisecond)?.candidate
  }

  /** A worker that computes the prompt sooner than `target` would, the handover included; undefined if there is none. */
  chooseForPrompt<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[],
    { target, targets }: { target: RoutingCandidate, targets: readonly RoutingCandidate[] }
  ): Candidate | undefined {
    const best = this.best(request, candidates, this.costs.prefillTokensPerMillisecond)
    if (best === undefined) return undefined
    const own = this.estimate(request, target, this.expectedTokens(request, targets), this.costs.interleavedTokensPerMillisecond)
    return best.milliseconds + this.costs.handoverMilliseconds < own ? best.candidate : undefined
  }

  override sent (request: RoutingRequest, worker: RoutingCandidate): void {
    this.index.noteSent(worker.id, request.promptBlocks)
  }

  override prefillTokens (request: RoutingRequest, worker: RoutingCandidate): number {
    return Math.max(0, request.promptTokens - (this.cachedTokens(request).get(worker.id) ?? 0))
  }

  private best<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[],
    tokensPerMillisecond: number
  ): { candidate: Candidate, milliseconds: number } | undefined {
    const cached = this.expectedTokens(request, candidates)
    let best: { candidate: Candidate, milliseconds: number } | undefined
    for (const candidate of candidates) {
      const milliseconds = this.estimate(request, candidate, cached, tokensPerMillisecond)
      if (best === undefined || milliseconds < best.milliseconds) best = { candidate, milliseconds }
    }
    return best
  }

  private estimate (
    request: RoutingRequest,
    candidate: RoutingCandidate,
    cached: ReadonlyMap<string, number>,
    tokensPerMillisecond: number
  ): number {
    const uncached = Math.max(0, request.promptTokens - (cached.get(candidate.id) ?? 0))
    return (candidate.load.queuedPrefillTokens + uncached) / tokensPerMillisecond +
      (candidate.ownZone ? 0 : this.costs.otherZoneMilliseconds)
  }

  /** Tokens at the start of the prompt that each worker holds, as far as this host knows. */
  private cachedTokens ({ promptBlocks, blockTokens = [] }: RoutingRequest): Map<string, number> {
    const cached = this.index.cachedBlocks(promptBlocks)
    return new Map([...cached].map(([worker, blocks]) => [worker, sumOf(blockTokens.slice(0, blocks))]))
  }

  /** The known tokens, and those that the first worker of the shared parts probably got from other hosts. */
  private expectedTokens (request: RoutingRequest, candidates: readonly RoutingCandidate[]): Map<string, number> {
    const tokens = this.cachedTokens(request)
    const lastShared = request.promptBlocks.at(-2)
    const first = lastShared === undefined ? undefined : this.firstWorker(lastShared, candidates)
    if (first === undefined) return tokens
    const expected = this.costs.expectedShare * sumOf((request.blockTokens ?? []).slice(0, -1))
    return tokens.set(first.id, Math.max(expected, tokens.get(first.id) ?? 0))
  }

  /** The worker that all hosts prefer for a part that none of them has sent yet. */
  private firstWorker (part: string, candidates: readonly RoutingCandidate[]): RoutingCandidate | undefined {
    let first: RoutingCandidate | undefined
    let highest = -1
    for (const candidate of candidates) {
      const score = this.options.hash.h32(`${part}/${candidate.id}`)
      if (score <= highest) continue
      first = candidate
      highest = score
    }
    return first
  }
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
