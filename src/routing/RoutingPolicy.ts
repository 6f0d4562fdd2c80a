/**
 * The choice of an upstream for one attempt. A policy sees only candidates that may get work.
 */
import type { WorkerId, Zone } from '../common/index.js'
import type { AnalysedPrompt } from './PromptTokenizer.js'

/** What a policy knows about a request; without tokens and blocks for a call of a service. */
export type RoutingRequest = AnalysedPrompt

/** What a policy knows about a worker. */
export interface RoutingCandidate {
  readonly id: WorkerId
  readonly zone: Zone
  /** True if the worker is in this host's availability zone. */
  readonly ownZone: boolean
  readonly load: {
    /** Requests of this host on the worker. */
    readonly outstanding: number
    /** Prompt tokens that wait on the worker. */
    readonly queuedPrefillTokens: number
    /** Streams that generate tokens on the worker. */
    readonly runningDecodes: number
  }
}

/** Chooses one of the candidates. */
export abstract class RoutingPolicy {
  /** The chosen candidate; undefined if there is none. Candidates of the own zone come first. */
  abstract choose<Candidate extends RoutingCandidate> (
    request: RoutingRequest,
    candidates: readonly Candidate[]
  ): Candidate | undefined

  /** Called when a request is sent to a worker. */
  sent (_request: RoutingRequest, _worker: RoutingCandidate): void {}

  /** Prompt tokens that the worker will have to compute, without those that it probably has in its cache. */
  prefillTokens (request: RoutingRequest, _worker: RoutingCandidate): number {
    return request.promptTokens
  }
}

/** Prompt tokens whose computation takes an engine about as long as one more stream does over its life. */
const prefillTokensPerStream = 512

/** Load of a worker in streams: this host's requests, the reported streams and the queued prompts. */
export function pressureOf ({ load }: RoutingCandidate): number {
  return load.outstanding + load.runningDecodes + load.queuedPrefillTokens / prefillTokensPerStream
}

/** The leading candidates that are in the own zone; all candidates if there are none in it. */
export function preferOwnZone<Candidate extends RoutingCandidate> (candidates: readonly Candidate[]): number {
  let count = 0
  while (count < candidates.length && candidates[count]!.ownZone) count += 1
  return count === 0 ? candidates.length : count
}
