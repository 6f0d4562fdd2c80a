/**
 * Places prompts through the scheduler of their cell, which knows the prompts of all hosts. While the scheduler is
 * unknown, silent or has no worker that this host may use, the host places its prompts by itself.
 */
import { Result } from 'true-myth'
import { type Clock, failure, type Failure, type WorkerId, type Zone } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { cellOf, type PlacementCell } from './PromptScheduler.js'
import { type PlacedPrompt, PromptPlacer, type PromptToPlace } from './PromptPlacer.js'
import type { PlacementDecision, PromptOutcome, PromptTask } from './PromptTask.js'

/** Connection to the schedulers of all cells. */
export abstract class SchedulerClient {
  /**
   * Asks the scheduler of a cell. Resolves early with an error if the scheduler falls silent. Errors: `not_ready` if no
   * scheduler is known or answers, `cancelled` if the signal aborts.
   */
  abstract place (cell: PlacementCell, task: PromptTask, signal: AbortSignal): Promise<Result<PlacementDecision, Failure>>
  /** Reports the end of a prompt. Not repeated: the scheduler forgets a prompt whose end does not arrive. */
  abstract end (cell: PlacementCell, id: string, outcome: PromptOutcome): void
  /** Reports the end of an answer; `startMilliseconds`: time until its first event. Not repeated either. */
  abstract answered (
    cell: PlacementCell,
    id: string,
    worker: WorkerId | undefined,
    startMilliseconds: number | undefined
  ): void
}

/** Options of a `ScheduledPromptPlacer`. */
export interface ScheduledPromptPlacerOptions {
  client: SchedulerClient
  /** Places prompts while the scheduler does not answer. */
  fallback: PromptPlacer
  zone: Zone
  clock: Clock
  events: EventLog
}

/** Time for which a scheduler that failed is not asked again, in milliseconds. */
const failedSchedulerMilliseconds = 500

/** Time between the end of a computation and the first event at the caller, in milliseconds. */
const startAfterPromptMilliseconds = 60

/** Asks the scheduler for each prompt. */
export class ScheduledPromptPlacer extends PromptPlacer {
  private avoidedUntil = -Infinity

  constructor (private readonly options: ScheduledPromptPlacerOptions) {
    super()
  }

  async place (prompt: PromptToPlace, signal: AbortSignal): Promise<Result<PlacedPrompt | undefined, Failure>> {
    const { clock, zone, fallback } = this.options
    const candidates = prompt.candidates()
    if (candidates.length === 0) return Result.ok(undefined)
    if (clock.monotonic() < this.avoidedUntil) return await fallback.place(prompt, signal)
    const cell = cellOf(prompt.pool, zone, candidates)
    const decision = await this.options.client.place(cell, taskOf(prompt), signal)
    if (signal.aborted) return Result.err(failure('cancelled', 'the call ended before its prompt was placed'))
    if (decision.isErr) {
      const isSchedulerFailed = decision.error.kind !== 'body_too_large'
      if (isSchedulerFailed) this.avoidedUntil = clock.monotonic() + failedSchedulerMilliseconds
      this.options.events.info('prompt_placed_alone', { request: prompt.id, kind: decision.error.kind, reason: decision.error.message })
      return await fallback.place(prompt, signal)
    }
    return await this.apply(decision.value, cell, prompt, signal)
  }

  private async apply (
    decision: PlacementDecision,
    cell: PlacementCell,
    prompt: PromptToPlace,
    signal: AbortSignal
  ): Promise<Result<PlacedPrompt | undefined, Failure>> {
    const { client, fallback } = this.options
    if (decision.kind === 'refused') {
      const { retryAfterMilliseconds } = decision
      return Result.err(failure('overloaded', 'the prompt cannot be computed before the caller gives up', { retryAfterMilliseconds }))
    }
    if (decision.kind === 'no_worker') return await fallback.place(prompt, signal)
    const { answerWorker } = decision
    const reports = {
      hasPermits: true,
      end: (outcome: PromptOutcome) => client.end(cell, prompt.id, outcome),
      answered: (worker: WorkerId | undefined, startMilliseconds: number | undefined) =>
        client.answered(cell, prompt.id, worker, startMilliseconds)
    }
    if (decision.kind === 'with_answer') {
      return Result.ok({ worker: undefined, sharedPartsSource: undefined, answerWorker, ...reports })
    }
    const candidates = prompt.candidates()
    const worker = candidates.find(({ id }) => id === decision.worker)
    if (worker === undefined) {
      // This host knows that the worker leaves, or its own requests to the worker fail.
      client.end(cell, prompt.id, 'abandoned')
      return await fallback.place(prompt, signal)
    }
    const sharedPartsSource = [...candidates, ...prompt.decodeCandidates()].find(({ id }) => id === decision.partsSource)
    return Result.ok({ worker, sharedPartsSource, answerWorker, ...reports })
  }
}

function taskOf ({ id, account, prompt, dueAt, lostAt }: PromptToPlace): PromptTask {
  return {
    id,
    account,
    parts: prompt.promptBlocks,
    partTokens: prompt.blockTokens ?? [],
    dueAt: dueAt - startAfterPromptMilliseconds,
    lostAt: lostAt - startAfterPromptMilliseconds
  }
}
