/**
 * One request to a model: runs attempts on engines one after the other and joins their tokens into one answer. `run`
 * writes events into a bounded queue, from which the caller's connection reads.
 */
import { match } from 'ts-pattern'
import {
  type AttemptId, attemptIdOf, type Clock, errorResponses, type Failure, failure, type Model, type Owner, type RequestId,
  type Team, type WorkerId
} from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { RoutingPolicy, RoutingRequest } from '../routing/index.js'
import type { RequestResult, Upstream, UpstreamManager } from '../upstreams/index.js'
import { BoundedQueue } from './BoundedQueue.js'
import { DeliveredText } from './DeliveredText.js'
import { type AttemptLimits, type AttemptOutcome, EngineAttempt } from './EngineAttempt.js'
import { cancelAttempt } from './engineControl.js'
import type { EngineCall, EngineUsage } from './engineProtocol.js'
import { KvTransfer } from './KvTransfer.js'
import type { RetryBudget } from './RetryBudget.js'

/** Urgency of a request. */
export type Priority = 'interactive' | 'batch'

/** A validated request to a model. */
export interface GenerationRequest {
  requestId: RequestId
  team: Team
  owner: Owner
  model: Model
  path: EngineCall['path']
  /** The caller's validated body. */
  body: Record<string, unknown>
  /** Token limit that the caller set; undefined if it set none. */
  maxTokens: number | undefined
  priority: Priority
  /** Monotonic time in milliseconds. */
  deadline: number
  routing: RoutingRequest
}

/** Token counts and engine time of a request, over all its attempts. */
export interface GenerationUsage {
  promptTokens: number
  cachedPromptTokens: number
  generatedTokens: number
  engineMilliseconds: number
}

/** An event for the caller's connection. The last one is `end` or `failed`. */
export type GenerationEvent =
  | { kind: 'token', text: string }
  | { kind: 'end', finishReason: string }
  | { kind: 'failed', failure: Failure }

/** Dependencies and limits of a generation. */
export interface GenerationContext {
  upstreams: UpstreamManager
  policy: RoutingPolicy
  clock: Clock
  events: EventLog
  budget: RetryBudget
  limits: AttemptLimits
  maxBufferedBytes: number
}

/** Memory that one queued event takes in addition to its text, in bytes. */
const eventOverheadBytes = 64

/** Delay before a retry if all available engines were already tried. */
const sameEngineRetryDelayMilliseconds = 100

/** Runs the attempts of a request and queues the events for the connection of the caller. */
export class Generation {
  private readonly queue: BoundedQueue<GenerationEvent>
  private readonly kvTransfer: KvTransfer
  private readonly stopController = new AbortController()
  private stopReason: 'cancelled' | 'deadline_exceeded' = 'cancelled'
  private readonly triedEngines = new Set<WorkerId>()
  private attemptCount = 0
  private readonly deliveredText = new DeliveredText()
  private position = 0
  private engineMilliseconds = 0
  private engineUsage: EngineUsage | undefined
  private attemptMayHaveRun = false

  constructor (readonly request: GenerationRequest, private readonly context: GenerationContext) {
    this.queue = new BoundedQueue(context.maxBufferedBytes)
    this.kvTransfer = new KvTransfer(context)
  }

  /** Waits for the next event; undefined after `cancel`. */
  async next (): Promise<GenerationEvent | undefined> {
    return await this.queue.next()
  }

  /** Size of the queued events that the caller has not read yet, in bytes. */
  get bufferedBytes (): number {
    return this.queue.queuedBytes
  }

  /** Stops the request because the caller disconnected. */
  cancel (): void {
    this.stopController.abort()
    this.queue.close()
  }

  /** True if an engine may have worked on the request. */
  get mayHaveRun (): boolean {
    return this.attemptMayHaveRun
  }

  /** Counts for the usage record; final once `run` has ended. */
  usage (): GenerationUsage {
    return {
      promptTokens: this.engineUsage?.prompt_tokens ?? (this.position > 0 ? this.request.routing.promptTokens : 0),
      cachedPromptTokens: this.engineUsage?.prompt_tokens_details?.cached_tokens ?? 0,
      generatedTokens: this.position,
      engineMilliseconds: Math.round(this.engineMilliseconds)
    }
  }

  /** Runs attempts until the answer is complete or cannot be completed, or the request is stopped. */
  async run (): Promise<void> {
    const endedController = new AbortController()
    const deadlineTask = this.stopAtDeadline(endedController.signal)
    const lastEvent = await this.runAttempts()
    endedController.abort()
    await deadlineTask
    this.queue.forcePush(lastEvent, eventOverheadBytes)
  }

  private async stopAtDeadline (signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(Math.max(0, this.request.deadline - this.context.clock.monotonic()), signal)
    if (signal.aborted) return
    this.stopReason = 'deadline_exceeded'
    this.stopController.abort()
  }

  private async runAttempts (): Promise<GenerationEvent> {
    let decodeEngine: Upstream | undefined
    for (;;) {
      const upstream: Upstream | undefined = decodeEngine ?? await this.choose()
      if (this.stopController.signal.aborted) return this.stoppedEvent()
      if (upstream === undefined) return this.failedEvent(failure('not_run', `no engine is available for model ${this.request.model}`))
      const computesPromptOnly = upstream.role === 'prefill'
      const outcome = await this.attempt(upstream, computesPromptOnly)
      if (outcome.kind === 'finished') {
        // Only the engine that computed the prompt reports how much of the prompt was cached; for the decode engine, the
        // whole prompt is cached.
        this.engineUsage ??= outcome.usage
        if (!computesPromptOnly || !this.needsDecode(outcome.finishReason)) return { kind: 'end', finishReason: outcome.finishReason }
        const transferResult = await this.kvTransfer.transfer(this.request, upstream, this.stopController.signal)
        decodeEngine = transferResult.isOk ? transferResult.value : undefined
        if (transferResult.isErr && !this.context.budget.tryTake()) return this.failedEvent(transferResult.error)
        continue
      }
      decodeEngine = undefined
      if (outcome.kind === 'stopped') return this.stoppedEvent()
      if (outcome.kind === 'rejected') return this.failedEvent(outcome.failure)
      // All requested tokens have arrived; only the finish reason is missing.
      if (this.position > 0 && this.position === this.request.maxTokens) return { kind: 'end', finishReason: 'length' }
      if (!this.tryTakeRetry(outcome)) return this.failedEvent(this.failureOfAttempt(outcome))
    }
  }

  private async choose (): Promise<Upstream | undefined> {
    const candidates = this.context.upstreams.candidatesForModel(this.request.model)
    if (this.triedEngines.size === 0) return this.context.policy.choose(this.request.routing, candidates)
    const untriedEngines = candidates.filter(({ id }) => !this.triedEngines.has(id))
    if (untriedEngines.length > 0) return this.context.policy.choose(this.request.routing, untriedEngines)
    await this.context.clock.sleep(sameEngineRetryDelayMilliseconds, this.stopController.signal)
    const lastTriedEngine = [...this.triedEngines].at(-1)
    const currentCandidates = this.context.upstreams.candidatesForModel(this.request.model)
    const otherCandidates = currentCandidates.filter(({ id }) => id !== lastTriedEngine)
    return this.context.policy.choose(this.request.routing, otherCandidates.length > 0 ? otherCandidates : currentCandidates)
  }

  /** True if the answer continues after the one token that an engine generates when it computes the prompt. */
  private needsDecode (finishReason: string): boolean {
    return finishReason === 'length' && (this.request.maxTokens === undefined || this.position < this.request.maxTokens)
  }

  private async attempt (upstream: Upstream, computesPromptOnly: boolean): Promise<AttemptOutcome> {
    this.attemptCount += 1
    this.triedEngines.delete(upstream.id)
    this.triedEngines.add(upstream.id)
    const { requestId, path, priority, routing } = this.request
    const body = computesPromptOnly ? oneTokenBodyOf(this.request.body, this.position) : this.request.body
    const attemptId = attemptIdOf(requestId, this.attemptCount)
    const resumeText = this.deliveredText.text()
    const call: EngineCall = { requestId, attemptId, path, body, priority, resumeFrom: this.position, resumeText }
    const prefillTokens = this.context.policy.prefillTokens(routing, upstream) + this.position
    const tracker = this.context.upstreams.begin(upstream, prefillTokens)
    this.context.policy.recordSent(routing, upstream)
    this.context.events.debug('attempt_started', { request: requestId, engine: upstream.id, position: this.position })
    const attempt = new EngineAttempt(upstream, call, this.context.clock, this.context.limits, async text => {
      tracker.recordFirstToken()
      await this.deliverToken(text)
    })
    const outcome = await attempt.run(this.stopController.signal)
    const milliseconds = tracker.end(requestResultOf(outcome))
    if (outcome.kind === 'finished' || outcome.kind === 'broken' || outcome.kind === 'stopped') {
      this.attemptMayHaveRun = true
      this.engineMilliseconds += milliseconds
    }
    this.logOutcome(upstream, outcome, attempt)
    await this.cancelOnEngine(upstream, attemptId, outcome)
    return outcome
  }

  private async deliverToken (text: string): Promise<void> {
    this.position += 1
    this.deliveredText.add(text)
    await this.queue.push({ kind: 'token', text }, Buffer.byteLength(text) + eventOverheadBytes)
  }

  /** Tells the engine to stop working on an attempt that this host has abandoned. */
  private async cancelOnEngine (upstream: Upstream, attemptId: AttemptId, outcome: AttemptOutcome): Promise<void> {
    if (outcome.kind !== 'broken' && outcome.kind !== 'stopped') return
    const cancelled = cancelAttempt(upstream.origin, this.request.requestId, attemptId).catch(() => {})
    const hasUntriedEngine = this.context.upstreams.candidatesForModel(this.request.model)
      .some(({ id }) => !this.triedEngines.has(id))
    // The next attempt may go to the same engine and must not arrive there before the cancellation of this one.
    if (outcome.kind === 'broken' && !hasUntriedEngine) await cancelled
  }

  private logOutcome (upstream: Upstream, outcome: AttemptOutcome, attempt: EngineAttempt): void {
    const fields = { request: this.request.requestId, engine: upstream.id, position: this.position }
    if (attempt.droppedChunks.foreign + attempt.droppedChunks.duplicate > 0) {
      this.context.events.warn('chunks_dropped', { ...fields, ...attempt.droppedChunks })
    }
    if (outcome.kind === 'finished' || outcome.kind === 'stopped') return
    const reason = 'reason' in outcome ? outcome.reason : outcome.failure.message
    this.context.events.warn('attempt_failed', { ...fields, outcome: outcome.kind, reason })
  }

  /**
   * Takes a retry from the budget; false if none is available. A `refused` attempt sent nothing and needs no retry;
   * `UpstreamHealth` bounds the number of such attempts.
   */
  private tryTakeRetry (outcome: AttemptOutcome): boolean {
    return outcome.kind === 'refused' || this.context.budget.tryTake()
  }

  private failureOfAttempt (outcome: AttemptOutcome): Failure {
    if (outcome.kind === 'busy') return outcome.failure
    const reason = 'reason' in outcome ? outcome.reason : outcome.kind
    return failure('upstream_failed', `the attempt failed and the retry budget is used up: ${reason}`)
  }

  /** Once tokens were delivered, any failure is reported as an interrupted stream. */
  private failedEvent (cause: Failure): GenerationEvent {
    if (this.position === 0) return { kind: 'failed', failure: this.attemptMayHaveRun ? failureAfterRun(cause) : cause }
    const detail = { cause: cause.kind, position: this.position }
    return { kind: 'failed', failure: failure('stream_interrupted', cause.message, detail) }
  }

  private stoppedEvent (): GenerationEvent {
    const message = this.stopReason === 'cancelled' ? 'the caller disconnected' : 'the deadline passed before the answer was complete'
    return this.failedEvent(failure(this.stopReason, message))
  }
}

function requestResultOf (outcome: AttemptOutcome): RequestResult {
  return match(outcome.kind)
    .returnType<RequestResult>()
    .with('finished', 'rejected', () => 'answered')
    .with('refused', () => 'refused')
    .with('broken', () => 'failed')
    .with('busy', 'stopped', () => 'left')
    .exhaustive()
}

/** The body for an engine that only computes the prompt, limited to the one token that the computation yields anyway. */
function oneTokenBodyOf (body: Record<string, unknown>, position: number): Record<string, unknown> {
  const { max_completion_tokens: _replaced, ...rest } = body
  return { ...rest, max_tokens: position + 1 }
}

/** Once an attempt may have run, a later failure must not state that the request did not run. */
function failureAfterRun (cause: Failure): Failure {
  if (!errorResponses[cause.kind].notRun) return cause
  return failure('upstream_failed', `an attempt failed and no other could complete the request: ${cause.message}`)
}
