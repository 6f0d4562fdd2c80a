/**
 * Chooses workers for prompts that callers divide into named parts, of which several requests may share the first ones.
 *
 * Prompts are computed on prefill workers if there are any, because each chunk of a prompt that a decode worker
 * computes delays the next token of all streams on it. A prefill worker fetches the parts that it does not hold from
 * another worker. Load, rather than the location of the parts, therefore decides where a prompt is computed.
 *
 * Hosts do not exchange the prompts that they sent. Instead, rendezvous hashing assigns each shared part a home: one
 * prefill worker on which all hosts expect the part. Each part has a second home among the decode workers, which keep
 * the parts that they fetched. The second home provides the part after the first home was lost or evicted the part.
 */
import { type Hash, SeededRandom } from '../common/index.js'
import type { PrefixIndex } from './PrefixIndex.js'
import { type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Costs and speeds of the engines of a deployment. */
export interface PlacementCosts {
  /** Prompt tokens that a prefill worker computes per millisecond. */
  prefillTokensPerMillisecond: number
  /** Prompt tokens that a worker computes per millisecond while it also generates tokens. */
  interleavedTokensPerMillisecond: number
  /** Prompt tokens that a worker fetches from another worker per millisecond. */
  fetchedTokensPerMillisecond: number
  /** Delay of a request's first token caused by each stream on the decode worker, in milliseconds. */
  millisecondsPerStream: number
  /** Cost of sending one prompt token to another zone, expressed as an equivalent delay in milliseconds. */
  otherZoneMillisecondsPerToken: number
}

/** Options of a `PromptPlacementPolicy`. */
export interface PlacementOptions {
  index: PrefixIndex
  hash: Hash
  costs: PlacementCosts
  /** Chooses workers for requests without a prompt. */
  policyWithoutPrompt: RoutingPolicy
  /** Seed of the random choice between workers of equal cost. Each host needs its own. */
  seed: number
}

/** The worker that computes a prompt, and the worker from which it fetches the parts that it does not hold. */
export interface PromptPlacement<Candidate> { worker: Candidate, sharedPartsSource: Candidate | undefined }

/** Chooses the workers that compute prompts and the decode workers that generate the answers. */
export class PromptPlacementPolicy extends RoutingPolicy {
  private readonly costs: PlacementCosts
  private readonly random: SeededRandom

  constructor (private readonly options: PlacementOptions) {
    super()
    this.costs = options.costs
    this.random = new SeededRandom(options.seed)
  }

  /**
   * Chooses the decode worker, which keeps the parts of the prompt. Requests that share parts therefore go to the same
   * worker unless another one is cheaper even with the cost of fetching the parts.
   */
  choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    if (request.promptBlocks.length === 0) return this.options.policyWithoutPrompt.choose(request, candidates)
    const home = this.homeOf(request, candidates)
    const fetchMilliseconds = this.fetchMilliseconds(request)
    return this.chooseCheapest(candidates, worker =>
      this.generationCost(request, worker) + (worker === home ? 0 : fetchMilliseconds))
  }

  override chooseAfterFailure<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const { policyWithoutPrompt } = this.options
    return request.promptBlocks.length === 0
      ? policyWithoutPrompt.chooseAfterFailure(request, candidates)
      : this.choose(request, candidates)
  }

  /**
   * Chooses the worker that computes the prompt; undefined if there are no candidates. `decodeCandidates` are the
   * workers that generate answers and therefore may hold parts of the prompt.
   */
  chooseForPrompt<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[],
    decodeCandidates: readonly Candidate[]
  ): PromptPlacement<Candidate> | undefined {
    const home = this.homeOf(request, candidates)
    const sharedPromptTokens = sharedTokens(request)
    const fetchMilliseconds = this.fetchMilliseconds(request)
    const worker = this.chooseCheapest(candidates, candidate => {
      const pendingTokens = candidate.load.queuedPrefillTokens + request.promptTokens - sharedPromptTokens
      const fetchCost = candidate === home ? 0 : fetchMilliseconds
      return pendingTokens / this.costs.prefillTokensPerMillisecond + fetchCost + this.otherZoneCost(request, candidate)
    })
    if (worker === undefined) return undefined
    if (worker !== home) return { worker, sharedPartsSource: home }
    const holder = this.findKnownHolder(request, [...candidates, ...decodeCandidates], worker)
    return { worker, sharedPartsSource: holder ?? this.homeOf(request, decodeCandidates) }
  }

  override recordSent (request: RoutingRequest, worker: RoutingCandidate): void {
    this.options.index.recordSent(worker.id, request.promptBlocks)
  }

  override prefillTokens (request: RoutingRequest, worker: RoutingCandidate): number {
    return Math.max(0, request.promptTokens - (this.cachedTokens(request).get(worker.id) ?? 0))
  }

  /**
   * Cost of generating the answer on a worker, in milliseconds. Prompt tokens are queued on a decode worker only if no
   * prefill worker is available.
   */
  private generationCost (request: RoutingRequest, worker: RoutingCandidate): number {
    return worker.load.queuedPrefillTokens / this.costs.interleavedTokensPerMillisecond +
      worker.load.runningDecodes * this.costs.millisecondsPerStream + this.otherZoneCost(request, worker)
  }

  /** Time to fetch the shared parts from another worker, in milliseconds. */
  private fetchMilliseconds (request: RoutingRequest): number {
    return sharedTokens(request) / this.costs.fetchedTokensPerMillisecond
  }

  private otherZoneCost (request: RoutingRequest, worker: RoutingCandidate): number {
    return worker.isInOwnZone ? 0 : request.promptTokens * this.costs.otherZoneMillisecondsPerToken
  }

  /**
   * Chooses at random among the candidates with the lowest cost. Without load reports most costs are equal, and a fixed
   * choice would send the requests of all hosts to the first worker of the zone.
   */
  private chooseCheapest<Candidate> (
    candidates: readonly Candidate[],
    costOf: (candidate: Candidate) => number
  ): Candidate | undefined {
    let cheapest: Candidate[] = []
    let lowestCost = Infinity
    for (const candidate of candidates) {
      const cost = costOf(candidate)
      if (cost > lowestCost) continue
      if (cost < lowestCost) cheapest = []
      cheapest.push(candidate)
      lowestCost = cost
    }
    return cheapest.length <= 1 ? cheapest[0] : cheapest[this.random.integer(0, cheapest.length - 1)]
  }

  /** Number of leading prompt tokens that each worker holds according to the `PrefixIndex` of this host. */
  private cachedTokens ({ promptBlocks, blockTokens = [] }: RoutingRequest): Map<string, number> {
    const cachedBlocks = this.options.index.cachedBlocks(promptBlocks)
    return new Map([...cachedBlocks].map(([worker, blocks]) => [worker, sumOf(blockTokens.slice(0, blocks))]))
  }

  /** The worker other than `excluded` with the longest known prefix of the prompt; undefined if none is known. */
  private findKnownHolder<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[],
    excluded: Candidate
  ): Candidate | undefined {
    const cachedTokens = this.cachedTokens(request)
    return candidates
      .filter(candidate => candidate !== excluded && cachedTokens.has(candidate.id))
      .reduce<Candidate | undefined>((best, candidate) =>
        best === undefined || cachedTokens.get(candidate.id)! > cachedTokens.get(best.id)! ? candidate : best, undefined)
  }

  /** The home of the last shared part: the candidate for which the hash of the part and the worker's id is highest. */
  private homeOf<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const lastSharedPart = request.promptBlocks.at(-2)
    if (lastSharedPart === undefined) return undefined
    return this.chooseCheapest(candidates, candidate => -this.options.hash.h32(`${lastSharedPart}/${candidate.id}`))
  }
}

/** Number of tokens in all parts but the last, which no other request shares. */
function sharedTokens ({ blockTokens = [] }: RoutingRequest): number {
  return sumOf(blockTokens.slice(0, -1))
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
