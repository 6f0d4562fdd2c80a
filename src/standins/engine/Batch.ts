/**
 * Continuous batching of the engine stand-in, in real time. Each step generates one token for every sequence
 * whose prompt is computed, and computes prompt tokens with what is left of the step's token budget. Interactive
 * requests come before batch ones; within a priority the order is that of arrival.
 */
import { type Clock, failure, type Failure, Task } from '../../common/index.js'
import type { EngineRequest } from './EngineRequest.js'
import type { EngineSettings } from './EngineSettings.js'
import type { Pace } from './Pace.js'
import type { PrefixCache } from './PrefixCache.js'

/** Options of a batch. */
export interface BatchOptions {
  clock: Clock
  settings: EngineSettings
  pace: Pace
  cache: PrefixCache
  /** Called after each change of the figures. */
  onChange: () => void
}

/** What one step computes. */
interface Step {
  decodes: EngineRequest[]
  prefills: Array<{ request: EngineRequest, tokens: number }>
  /** Duration in unscaled milliseconds. */
  cost: number
}

/** Figures of a batch. */
export interface BatchFigures {
  runningDecodes: number
  queuedPrefillTokens: number
  kvUsedTokens: number
}

function comesBefore (left: EngineRequest, right: EngineRequest): boolean {
  return left.details.priority === 'interactive' && right.details.priority === 'batch'
}

/** Inserts behind all requests that do not come after the new one. */
function insertByPriority (requests: EngineRequest[], added: EngineRequest): void {
  const position = requests.findIndex(request => comesBefore(added, request))
  requests.splice(position < 0 ? requests.length : position, 0, added)
}

/** The batch and its queue. */
export class Batch {
  private readonly waiting: EngineRequest[] = []
  private readonly running: EngineRequest[] = []
  private readonly task: Task
  private wake: () => void = () => {}
  private kvUsedTokens = 0

  constructor (private readonly options: BatchOptions) {
    this.task = Task.start(signal => this.run(signal), error => { throw error })
  }

  /** Queues a request, or says why it is refused. */
  submit (request: EngineRequest): Failure | undefined {
    const { kvCapacityTokens, maxQueued } = this.options.settings
    if (request.kvTokens > kvCapacityTokens) return failure('bad_request', `the request needs more than ${kvCapacityTokens} tokens`)
    if (this.waiting.length >= maxQueued) return failure('overloaded', 'too many requests wait')
    insertByPriority(this.waiting, request)
    this.options.onChange()
    this.wake()
    return undefined
  }

  /** Cancels a request that has not ended. */
  cancel (request: EngineRequest): void {
    if (request.hasEnded) return
    this.end(request, 'cancelled', failure('cancelled', 'the request was cancelled'))
    this.options.onChange()
  }

  /** Ends all requests that fit; returns how many of them had begun. */
  interrupt (reason: string, fits: (request: EngineRequest) => boolean = () => true): number {
    let begun = 0
    for (const request of [...this.running, ...this.waiting].filter(fits)) {
      const hasBegun = request.state !== 'queued'
      if (hasBegun) begun += 1
      this.end(request, 'failed', failure(hasBegun ? 'upstream_failed' : 'not_run', reason))
    }
    this.options.onChange()
    return begun
  }

  /** The figures for the load report. */
  figures (): BatchFigures {
    const queued = [...this.running, ...this.waiting].reduce((sum, { prefillLeft }) => sum + prefillLeft, 0)
    return {
      runningDecodes: this.running.filter(({ prefillLeft }) => prefillLeft === 0).length,
      queuedPrefillTokens: queued,
      kvUsedTokens: this.kvUsedTokens
    }
  }

  /** Ends the steps. */
  async stop (): Promise<void> {
    const stopped = this.task.stop()
    this.wake()
    await stopped
  }

  private async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      this.admit()
      if (this.running.length === 0) {
        await new Promise<void>(resolve => { this.wake = resolve })
        this.options.pace.restart()
        continue
      }
      const step = this.planStep()
      await this.options.pace.spend(step.cost, signal)
      this.finishStep(step)
      this.options.onChange()
    }
  }

  /** Moves waiting requests into the batch while places and KV memory last. */
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
      next.cachedTokens = this.options.cache.use(next.blocks)
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
    // The step that computes the end of a prompt also generates the first token after it.
    const computed = step.prefills.map(({ request }) => request).filter(({ prefillLeft }) => prefillLeft === 0)
    for (const request of [...step.decodes, ...computed]) {
      if (request.hasEnded) continue
      request.state = 'decode'
      if (!request.isComplete) request.generate()
      if (request.isComplete) this.end(request, 'finished')
    }
  }

  private end (request: EngineRequest, state: 'finished' | 'cancelled' | 'failed', failed?: Failure): void {
    const wasComputed = request.state === 'decode'
    this.remove(request)
    request.end(state, failed)
    if (wasComputed) this.options.cache.store(request.exportBlocks())
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
