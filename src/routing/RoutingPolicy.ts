/**
 * Routing policies, which choose the upstream for one attempt. Callers pass only candidates that may be sent work.
 */
import type { WorkerId, Zone } from '../common/index.js'
import type { AnalysedPrompt } from './PromptTokenizer.js'

/** What a policy knows about a request. A call of a service without a prompt has no tokens and no blocks. */
export type RoutingRequest = AnalysedPrompt

/** What a policy knows about a worker. */
export interface RoutingCandidate {
  readonly id: WorkerId
  readonly zone: Zone
  /** True if the worker is in this host's availability zone. */
  readonly isInOwnZone: boolean
  readonly load: {
    /** Open requests of this host on the worker. */
    readonly outstanding: number
    /** Prompt tokens that are queued on the worker. */
    readonly queuedPrefillTokens: number
    /** Streams that generate tokens on the worker. */
    readonly runningDecodes: number
  }
  /** What is known of how much work the worker handles well; undefined if nothing is measured. */
  readonly capacity?: RoutingCapacity
}

/** How much work a worker handles well. */
export interface RoutingCapacity {
  /** True if anything distinguishes the worker from one that is not known. */
  readonly isKnown: boolean
  /** Number of open requests that the worker handles well; infinite if it is not known. */
  readonly limit: number
  /** Factor on the time that the workers usually take. */
  readonly slowness: number
  /** Share of recent requests that failed. */
  readonly failureShare: number
  /** Requests of all hosts that are expected to be open at the worker, given those of this host. */
  openRequests: (ownOpen: number) => number
}

/** Chooses one of the candidates. */
export abstract class RoutingPolicy {
  /**
   * The chosen candidate; undefined if there are no candidates. The caller lists the candidates of this host's zone
   * before all others.
   */
  abstract choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined

  /** As `choose`, for a call that has failed at another worker. */
  chooseAfterFailure<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined {
    return this.choose(request, candidates)
  }

  /** Called when a request is sent to a worker. */
  recordSent (_request: RoutingRequest, _worker: RoutingCandidate): void {}

  /** Number of prompt tokens that the worker has to compute; tokens that are probably in its cache do not count. */
  prefillTokens (request: RoutingRequest, _worker: RoutingCandidate): number {
    return request.promptTokens
  }
}

/** Number of prompt tokens whose computation takes about as much engine time as one stream from start to end. */
const prefillTokensPerStream = 512

/** Load of a worker, in streams: the open requests of this host, the reported streams and the queued prompt tokens. */
export function loadInStreams ({ load }: RoutingCandidate): number {
  return load.outstanding + load.runningDecodes + load.queuedPrefillTokens / prefillTokensPerStream
}

/**
 * Number of leading candidates to choose from: those in this host's zone, or all candidates if that zone has none.
 */
export function countPreferredCandidates<Candidate extends RoutingCandidate> (candidates: readonly Candidate[]): number {
  let count = 0
  while (count < candidates.length && candidates[count]!.isInOwnZone) count += 1
  return count === 0 ? candidates.length : count
}
