/**
 * Continuous batching of the engine stand-in, in real time. Each step generates one token for every sequence whose
 * prefill is complete, and spends the rest of its token budget on the prefill of other sequences. Requests of priority
 * `interactive` come before those of priority `batch`; within a priority they keep the order of arrival.
 */
import { type Clock, failure, type Failure, Task } from '../../common/index.js'
import type { EngineRequest } from './EngineRequest.js'
import type { EngineSettings } from './EngineSettings.js'
import type { WorkTimer } from './WorkTimer.js'
import type { PrefixCache } from './PrefixCache.js'

/** Options of `Batch`. */
export interface BatchOptions {
  clock: Clock
  settings: EngineSettings
  timer: WorkTimer
  cache: PrefixCache
  /** Called after each change of the load. */
  onChange: () => void
}

/** The work of one step. */
interface Step {
  decodes: EngineRequest[]
  prefills: Array<{ request: EngineRequest, tokens: number }>
  /** Duration in milliseconds, before scaling by `timeScale`. */
  cost: number
}

/** The figures that a batch contributes to the load report. */
export interface BatchLoad {
  runningDecodes: number
  queuedPrefillTokens: number
  kvUsedTokens: number
}

function isServedBefore (left: EngineRequest, right: EngineRequest): boolean {
  return left.details.priority === 'interactive' && right.details.priority === 'batch'
}

/** Inserts a request after all requests of the same or higher priority. */
function insertByPriority (requests: EngineRequest[], added: EngineRequest): void {
  const position = requests.findIndex(request => isServedBefore(added, request))
  requests.splice(position < 0 ? requests.length : position, 0, added)
}

/** The batch of running requests and the queue of waiting ones. */
export class Batch {
  private readonly waiting: EngineRequest[] = []
  private readonly running: EngineRequest[] = []
  private readonly task: Task
  private notifyTask: () => void = () => {}
  private kvUsedTokens = 0

  constructor (private readonly options: BatchOptions) {
    this.task = Task.start(signal => this.run(signal), error => { throw error })
  }

  /** Queues a request. Returns the failure if the request is rejected: `bad_request` or `overloaded`. */
  submit (request: EngineRequest): Failure | undefined {
    const { kvCapacityTokens, maxQueued } = this.options.settings
    if (request.kvTokens > kvCapacityTokens) return failure('bad_request', `the request needs KV memory for more than ${kvCapacityTokens} tokens`)
    if (this.waiting.length >= maxQueued) return failure('overloaded', 'the request queue is full')
    insertByPriority(this.waiting, request)
    this.options.onChange()
    this.notifyTask()
    return undefined
  }

  /** Cancels a request; does nothing if it has ended. */
  cancel (request: EngineRequest): void {
    if (request.hasEnded) return
    this.end(request, 'cancelled', failure('cancelled', 'the request was cancelled'))
    this.options.onChange()
  }

  /** Ends all matching requests with a failure; returns how many of them were running. */
  interrupt (reason: string, matches: (request: EngineRequest) => boolean = () => true): number {
    let startedCount = 0
    for (const request of [...this.running, ...this.waiting].filter(matches)) {
      const hasStarted = request.state !== 'queued'
      if (hasStarted) startedCount += 1
      this.end(request, 'failed', failure(hasStarted ? 'upstream_failed' : 'not_run', reason))
    }
    this.options.onChange()
    return startedCount
  }

  /** The figures for the load report, without lag. */
  load (): BatchLoad {
    const queued = [...this.running, ...this.waiting].reduce((sum, { prefillLeft }) => sum + prefillLeft, 0)
    return {
      runningDecodes: this.running.filter(({ prefillLeft }) => prefillLeft === 0).length,
      queuedPrefillTokens: queued,
      kvUsedTokens: this.kvUsedTokens
    }
  }

  /** Stops the task that runs the steps; requests that have not ended receive no response. */
  async stop (): Promise<void> {
    const stopped = this.task.stop()
    this.notifyTask()
    await stopped
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.admit()
      if (this.running.length === 0) {
        await new Promise<void>(resolve => { this.notifyTask = resolve })
        this.options.timer.restart()
        continue
      }
      const step = this.planStep()
      await this.options.timer.waitFor(step.cost, signal)
      this.finishStep(step)
      this.options.onChange()
    }
  }

  /** Moves waiting requests into the batch, in order, as long as a slot and enough KV memory are free. */
  private admit (): void {
    const { maxSequences, kvCapacityTokens } = this.options.settings
    for (;;) {
      const next = this.waiting[0]
      if (next === undefined || this.running.length >= maxSequences) return
      if (this.kvUsedTokens + next.kvTokens > kvCapacityTokens) return
      this.waiting.shift()
      insertByPriority(this.running, next)
      this.kvUsedTokens += next.kvTokens
      next.state = 'prefill'
      next.cachedTokens = this.options.cache.useCached(next.blocks)
      next.prefillLeft -= next.cachedTokens
    }
  }

  private planStep (): Step {
    const { stepTokenBudget, cost } = this.options.settings
    const decodes = this.running.filter(({ prefillLeft }) => prefillLeft === 0).slice(0, stepTokenBudget)
    const prefills: Step['prefills'] = []
    let budget = stepTokenBudget - decodes.length
    for (const request of this.running.filter(({ prefillLeft }) => prefillLeft > 0)) {
      const tokens = Math.min(budget, request.prefillLeft)
      if (tokens === 0) break
      prefills.push({ request, tokens })
      budget -= tokens
    }
    const prefillTokens = prefills.reduce((sum, { tokens }) => sum + tokens, 0)
    return {
      decodes,
      prefills,
      cost: cost.stepMilliseconds + decodes.length * cost.sequenceMilliseconds + prefillTokens * cost.prefillMilliseconds
    }
  }

  private finishStep (step: Step): void {
    for (const { request, tokens } of step.prefills) {
      if (request.hasEnded) continue
      request.prefillLeft -= tokens
      if (request.prefillLeft === 0) this.options.cache.store(request.blocks)
    }
    // The step that completes a prefill also generates the first output token.
    const prefilled = step.prefills.map(({ request }) => request).filter(({ prefillLeft }) => prefillLeft === 0)
    for (const request of [...step.decodes, ...prefilled]) {
      if (request.hasEnded) continue
      request.state = 'decode'
      if (!request.isComplete) request.generateToken()
      if (request.isComplete) this.end(request, 'finished')
    }
  }

  private end (request: EngineRequest, state: 'finished' | 'cancelled' | 'failed', cause?: Failure): void {
    const wasPrefilled = request.state === 'decode'
    this.remove(request)
    request.end(state, cause)
    if (wasPrefilled) this.options.cache.store(request.exportBlocks())
  }

  private remove (request: EngineRequest): void {
    const waitingPosition = this.waiting.indexOf(request)
    if (waitingPosition >= 0) this.waiting.splice(waitingPosition, 1)
    const position = this.running.indexOf(request)
    if (position < 0) return
    this.running.splice(position, 1)
    this.kvUsedTokens -= request.kvTokens
  }
}
