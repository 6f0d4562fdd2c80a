/**
 * Places prompts whose parts are named by the caller. Prompts are computed on prefill workers where there are any,
 * since each piece of a prompt delays the tokens of all streams of a generating worker. The prefill worker fetches
 * the parts that it lacks from another one that holds them, so load decides where a prompt is computed, not its parts.
 * Hosts do not tell each other what they sent: rendezvous hashing over the shared parts names for each part one
 * worker, its home, where all hosts expect it. There is a second home among the workers that generate answers, which
 * keep the parts that they fetched: from there the parts come back after the first home was lost or dropped them.
 */
import { type Hash, SeededRandom } from '../common/index.js'
import type { PrefixIndex } from './PrefixIndex.js'
import { type RoutingCandidate, RoutingPolicy, type RoutingRequest } from './RoutingPolicy.js'

/** Costs of a deployment's engines. */
export interface PlacementCosts {
  /** Prompt tokens that a prefill worker computes in a millisecond. */
  prefillTokensPerMillisecond: number
  /** Prompt tokens that a worker computes in a millisecond between the tokens that it generates. */
  interleavedTokensPerMillisecond: number
  /** Tokens of a prompt that are fetched from another worker in a millisecond. */
  fetchedTokensPerMillisecond: number
  /** What a further stream on a generating worker delays the first token of the next one, in milliseconds. */
  streamMilliseconds: number
  /** What a token of the prompt costs on the way to another zone, in milliseconds of waiting that it is worth. */
  otherZoneMillisecondsPerToken: number
}

/** Options of a `PromptPlacementPolicy`. */
export interface PlacementOptions {
  index: PrefixIndex
  hash: Hash
  costs: PlacementCosts
  /** Chooses workers for requests without a prompt. */
  withoutPrompt: RoutingPolicy
  /** Decides between workers of equal cost. Hosts need different seeds. */
  seed: number
}

/** Where a prompt is computed, and the worker from which missing parts are fetched. */
export interface PromptPlacement<Candidate> { worker: Candidate, partsFrom: Candidate | undefined }

/** Chooses workers for prompts and for their answers. */
export class PromptPlacementPolicy extends RoutingPolicy {
  private readonly costs: PlacementCosts
  private readonly random: SeededRandom

  constructor (private readonly options: PlacementOptions) {
    super()
    this.costs = options.costs
    this.random = new SeededRandom(options.seed)
  }

  /** The worker that generates the answer. It keeps the parts of the prompt, so those that share parts go to the same one. */
  choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    if (request.promptBlocks.length === 0) return this.options.withoutPrompt.choose(request, candidates)
    const home = this.homeOf(request, candidates)
    const fetch = this.fetchMilliseconds(request)
    return this.cheapest(candidates, worker => this.generationCost(request, worker) + (worker === home ? 0 : fetch))
  }

  /**
   * The worker that computes the prompt, undefined if there is none. `generating`: workers that generate answers and
   * so may hold parts of the prompt.
   */
  chooseForPrompt<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[],
    generating: readonly Candidate[]
  ): PromptPlacement<Candidate> | undefined {
    const home = this.homeOf(request, candidates)
    const shared = sharedTokens(request)
    const fetch = this.fetchMilliseconds(request)
    const worker = this.cheapest(candidates, candidate => {
      const computed = candidate.load.queuedPrefillTokens + request.promptTokens - shared
      const away = candidate === home ? 0 : fetch
      return computed / this.costs.prefillTokensPerMillisecond + away + this.zoneCost(request, candidate)
    })
    if (worker === undefined) return undefined
    if (worker !== home) return { worker, partsFrom: home }
    const holder = this.knownHolder(request, [...candidates, ...generating], worker)
    return { worker, partsFrom: holder ?? this.homeOf(request, generating) }
  }

  override sent (request: RoutingRequest, worker: RoutingCandidate): void {
    this.options.index.noteSent(worker.id, request.promptBlocks)
  }

  override prefillTokens (request: RoutingRequest, worker: RoutingCandidate): number {
    return Math.max(0, request.promptTokens - (this.cachedTokens(request).get(worker.id) ?? 0))
  }

  /** Tokens wait at a generating worker only while no prefill worker is there. */
  private generationCost (request: RoutingRequest, worker: RoutingCandidate): number {
    return worker.load.queuedPrefillTokens / this.costs.interleavedTokensPerMillisecond +
      worker.load.runningDecodes * this.costs.streamMilliseconds + this.zoneCost(request, worker)
  }

  /** Time for fetching the shared parts from another worker. */
  private fetchMilliseconds (request: RoutingRequest): number {
    return sharedTokens(request) / this.costs.fetchedTokensPerMillisecond
  }

  private zoneCost (request: RoutingRequest, worker: RoutingCandidate): number {
    return worker.ownZone ? 0 : request.promptTokens * this.costs.otherZoneMillisecondsPerToken
  }

  /**
   * One of the candidates with the lowest cost, at random: without knowledge of the load most costs are equal, and the
   * first of the own zone would get the requests of all hosts.
   */
  private cheapest<Candidate> (
    candidates: readonly Candidate[],
    costOf: (candidate: Candidate) => number
  ): Candidate | undefined {
    let best: Candidate[] = []
    let bestCost = Infinity
    for (const candidate of candidates) {
      const cost = costOf(candidate)
      if (cost > bestCost) continue
      if (cost < bestCost) best = []
      best.push(candidate)
      bestCost = cost
    }
    return best.length <= 1 ? best[0] : best[this.random.integer(0, best.length - 1)]
  }

  /** Tokens at the start of the prompt that each worker holds, as far as this host knows. */
  private cachedTokens ({ promptBlocks, blockTokens = [] }: RoutingRequest): Map<string, number> {
    const cached = this.options.index.cachedBlocks(promptBlocks)
    return new Map([...cached].map(([worker, blocks]) => [worker, sumOf(blockTokens.slice(0, blocks))]))
  }

  /** Another worker that is known to hold the start of the prompt. */
  private knownHolder<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[],
    except: Candidate
  ): Candidate | undefined {
    const cached = this.cachedTokens(request)
    return candidates
      .filter(candidate => candidate !== except && cached.has(candidate.id))
      .reduce<Candidate | undefined>((best, candidate) =>
        best === undefined || cached.get(candidate.id)! > cached.get(best.id)! ? candidate : best, undefined)
  }

  /** The home of the last shared part: the worker with the highest hash of both. */
  private homeOf<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    const part = request.promptBlocks.at(-2)
    if (part === undefined) return undefined
    return this.cheapest(candidates, candidate => -this.options.hash.h32(`${part}/${candidate.id}`))
  }
}

/** Tokens of all parts but the last, which belongs to the request alone. */
function sharedTokens ({ blockTokens = [] }: RoutingRequest): number {
  return sumOf(blockTokens.slice(0, -1))
}

function sumOf (values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0)
}
