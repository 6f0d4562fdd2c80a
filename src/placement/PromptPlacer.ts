/**
 * Chooses the worker that computes the prompt of a request, on the side of the host that sends it.
 */
import { Result } from 'true-myth'
import type { Failure, Pool, WorkerId } from '../common/index.js'
import type { PromptPlacementPolicy, RoutingRequest } from '../routing/index.js'
import type { Upstream } from '../upstreams/index.js'
import type { PromptOutcome } from './PromptTask.js'

/** A prompt to place, with the workers that this host may use. */
export interface PromptToPlace {
  /** Unique among the prompts of this host. */
  id: string
  pool: Pool
  /** Client account of the request; undefined without accounts. */
  account?: string | undefined
  prompt: RoutingRequest
  /** Monotonic time in milliseconds by which the answer has to start to be in time. */
  dueAt: number
  /** Monotonic time in milliseconds at which the caller gives up. */
  lostAt: number
  /** Workers that may compute the prompt at the moment; a worker may leave while the prompt waits for its place. */
  candidates: () => readonly Upstream[]
  /** Workers that generate answers at the moment, which may hold shared parts. */
  decodeCandidates: () => readonly Upstream[]
}

/** Workers for a prompt and its answer. */
export interface PlacedPrompt {
  /** Computes the prompt; undefined if the worker that generates the answer computes it. */
  worker: Upstream | undefined
  /** Worker from which `worker` fetches the shared parts that it does not hold. */
  sharedPartsSource: Upstream | undefined
  /** Worker that should generate the answer; undefined if the host chooses it. */
  answerWorker: WorkerId | undefined
  /** True if permits of both workers have been taken, so that they may be sent the prompt even if they state a limit. */
  hasPermits: boolean
  /** Must be called once when the computation has ended; not if there is no `worker`. */
  end: (outcome: PromptOutcome) => void
  /**
   * Must be called once when the answer has ended or will not be generated. `startMilliseconds`: time from the request to
   * the worker until the first event.
   */
  answered: (worker: WorkerId | undefined, startMilliseconds: number | undefined) => void
}

/** Places prompts on workers. */
export abstract class PromptPlacer {
  /**
   * Returns the worker for a prompt; undefined if no worker computes prompts. May wait until one has room. Errors:
   * `overloaded` if the prompt cannot be computed before its caller gives up, `cancelled` if the signal aborts.
   */
  abstract place (prompt: PromptToPlace, signal: AbortSignal): Promise<Result<PlacedPrompt | undefined, Failure>>
}

/** Places prompts by what this host alone knows. */
export class LocalPromptPlacer extends PromptPlacer {
  constructor (private readonly policy: PromptPlacementPolicy) {
    super()
  }

  async place ({ prompt, candidates, decodeCandidates }: PromptToPlace): Promise<Result<PlacedPrompt | undefined, Failure>> {
    const placement = this.policy.chooseForPrompt(prompt, candidates(), decodeCandidates())
    if (placement === undefined) return Result.ok(undefined)
    return Result.ok({ ...placement, answerWorker: undefined, hasPermits: false, end: () => {}, answered: () => {} })
  }
}
