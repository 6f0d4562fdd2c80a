/**
 * Places prompts through the scheduler of their cell, which knows the prompts of all hosts. While the scheduler is
 * unknown, silent or has no worker that this host may use, the host places its prompts by itself.
 *
 * In a large pool each zone has a cell, and its workers need not match the prompts of its callers: workers are ordered where
 * they are cheap, taken away by zone, and cut off. A prompt that its own cell cannot compute in time is therefore offered to
 * other cells; if none can, it goes to the one with the shortest queue.
 */
import { Result } from 'true-myth'
import { type Clock, failure, type Failure, type WorkerId, type Zone } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { cellName, cellsOf, type PlacementCell } from './PromptScheduler.js'
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
  /** Returns numbers from 0 (inclusive) to 1 (exclusive). Default: `Math.random`. */
  random?: () => number
}

/** Time for which a scheduler that failed is not asked again, in milliseconds. */
const failedSchedulerMilliseconds = 500

/** Time for which a cell of another zone is not asked after its scheduler failed, in milliseconds; it may be cut off. */
const failedCellMilliseconds = 2000

/** Maximum number of cells that are asked about one prompt; each question takes a message to another zone and back. */
const maxAskedCells = 3

/** Time between the end of a computation and the first event at the caller, in milliseconds. */
const startAfterPromptMilliseconds = 60

/** Decision of the cell that takes a prompt on, or an error if none could be asked. */
interface CellDecision { cell: PlacementCell, decision: Result<PlacementDecision, Failure> }

/** Asks the schedulers about each prompt. */
export class ScheduledPromptPlacer extends PromptPlacer {
  private avoidedUntil = -Infinity
  /** Monotonic times until which the cells of other zones are not asked, by name. */
  private readonly failedCells = new Map<string, number>()

  constructor (private readonly options: ScheduledPromptPlacerOptions) {
    super()
  }

  async place (prompt: PromptToPlace, signal: AbortSignal): Promise<Result<PlacedPrompt | undefined, Failure>> {
    const { clock, zone, fallback, random = Math.random } = this.options
    const candidates = prompt.candidates()
    if (candidates.length === 0) return Result.ok(undefined)
    const [first, ...others] = cellsOf(prompt.pool, zone, candidates, random)
    if (first === undefined || clock.monotonic() < this.avoidedUntil) return await fallback.place(prompt, signal)
    const { cell, decision } = others.length === 0
      ? await this.ask(first, taskOf(prompt), signal)
      : await this.askInTurn(first, others, prompt, signal)
    if (signal.aborted) return Result.err(failure('cancelled', 'the call ended before its prompt was placed'))
    if (decision.isErr) {
      const isSchedulerFailed = decision.error.kind !== 'body_too_large'
      if (isSchedulerFailed) this.avoidedUntil = clock.monotonic() + failedSchedulerMilliseconds
      this.options.events.info('prompt_placed_alone', { request: prompt.id, kind: decision.error.kind, reason: decision.error.message })
      return await fallback.place(prompt, signal)
    }
    return await this.apply(decision.value, cell, prompt, signal)
  }

  private async ask (cell: PlacementCell, task: PromptTask, signal: AbortSignal): Promise<CellDecision> {
    return { cell, decision: await this.options.client.place(cell, task, signal) }
  }

  /**
   * Asks the first cell and then others whether they can compute the prompt in time. If none can, the one with the shortest
   * queue takes it on or refuses it. An error of the first cell is returned, errors of others are passed over.
   */
  private async askInTurn (
    first: PlacementCell,
    others: readonly PlacementCell[],
    prompt: PromptToPlace,
    signal: AbortSignal
  ): Promise<CellDecision> {
    const task = taskOf(prompt)
    let shortest: { cell: PlacementCell, waitMilliseconds: number } | undefined
    for (const cell of [first, ...this.workingCells(others)].slice(0, maxAskedCells)) {
      const asked = await this.ask(cell, { ...task, onlyInTime: true }, signal)
      const { decision } = asked
      if (signal.aborted || (decision.isErr && cell === first)) return asked
      if (decision.isErr) {
        this.recordFailedCell(cell, prompt.id, decision.error)
        continue
      }
      if (decision.value.kind === 'placed' || decision.value.kind === 'with_answer') return asked
      const waitMilliseconds = decision.value.kind === 'refused' ? decision.value.retryAfterMilliseconds : Infinity
      if (shortest === undefined || waitMilliseconds < shortest.waitMilliseconds) shortest = { cell, waitMilliseconds }
    }
    const taken = await this.ask(shortest?.cell ?? first, task, signal)
    if (taken.cell === first || taken.decision.isOk || signal.aborted) return taken
    this.recordFailedCell(taken.cell, prompt.id, taken.decision.error)
    return await this.ask(first, task, signal)
  }

  private workingCells (cells: readonly PlacementCell[]): PlacementCell[] {
    const now = this.options.clock.monotonic()
    return cells.filter(cell => now >= (this.failedCells.get(cellName(cell)) ?? -Infinity))
  }

  private recordFailedCell (cell: PlacementCell, request: string, { kind, message: reason }: Failure): void {
    const { clock, events } = this.options
    this.failedCells.set(cellName(cell), clock.monotonic() + failedCellMilliseconds)
    events.info('placement_cell_failed', { request, cell: cellName(cell), kind, reason })
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
