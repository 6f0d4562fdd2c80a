/**
 * One request to a model: the attempts on engines, one after the other, whose tokens form one answer. The
 * task writes events into a bounded queue, from which the caller's connection reads.
 */
import { match } from 'ts-pattern'
import {
  type AttemptId, attemptIdOf, type Clock, errorAnswers, type Failure, failure, type Model, type Owner, type RequestId,
  type Team, type WorkerId
} from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { RoutingPolicy, RoutingRequest } from '../routing/index.js'
import type { Upstream, UpstreamManager, WorkResult } from '../upstreams/index.js'
import { BoundedQueue } from './BoundedQueue.js'
import { DeliveredText } from './DeliveredText.js'
import { type AttemptLimits, type AttemptOutcome, EngineAttempt } from './EngineAttempt.js'
import { cancelAttempt } from './EngineConnection.js'
import type { EngineCall, EngineUsage } from './engineProtocol.js'
import { KvHandover } from './KvHandover.js'
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
  /** Most tokens that the caller wants; undefined if it set no limit. */
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

/** What the caller's connection gets. `end` or `failed` is the last event. */
export type GenerationEvent =
  | { kind: 'token', text: string }
  | { kind: 'end', finishReason: string }
  | { kind: 'failed', failure: Failure }

/** What a generation needs of its host. */
export interface GenerationContext {
  upstreams: UpstreamManager
  policy: RoutingPolicy
  clock: Clock
  events: EventLog
  budget: RetryBudget
  limits: AttemptLimits
  maxBufferedBytes: number
}

/** Bytes that one queued event costs beside its text. */
const eventOverheadBytes = 64

/** Wait before an upstream is tried again when there is no other. */
const sameUpstreamPauseMilliseconds = 100

/** One request to a model. */
export class Generation {
  private readonly queue: BoundedQueue<GenerationEvent>
  private readonly handover: KvHandover
  private readonly stop = new AbortController()
  private stopKind: 'cancelled' | 'deadline_exceeded' = 'cancelled'
  private readonly tried = new Set<WorkerId>()
  private attempts = 0
  private readonly delivered = new DeliveredText()
  private position = 0
  private engineMilliseconds = 0
  private engineUsage: EngineUsage | undefined
  private ran = false

  constructor (readonly request: GenerationRequest, private readonly context: GenerationContext) {
    this.queue = new BoundedQueue(context.maxBufferedBytes)
    this.handover = new KvHandover(context)
  }

  /** The next event; undefined after `cancel`. */
  async next (): Promise<GenerationEvent | undefined> {
    return await this.queue.next()
  }

  /** Bytes that wait for the caller. */
  get bufferedBytes (): number {
    return this.queue.heldBytes
  }

  /** Ends the request, because the caller left. */
  cancel (): void {
    this.stop.abort()
    this.queue.close()
  }

  /** True if an engine worked on the request. */
  get hasRun (): boolean {
    return this.ran
  }

  /** Counts for the usage record; complete once `run` has ended. */
  usage (): GenerationUsage {
    return {
      promptTokens: this.engineUsage?.prompt_tokens ?? (this.position > 0 ? this.request.routing.promptTokens : 0),
      cachedPromptTokens: this.engineUsage?.prompt_tokens_details?.cached_tokens ?? 0,
      generatedTokens: this.position,
      engineMilliseconds: Math.round(this.engineMilliseconds)
    }
  }

  /** Runs attempts until the answer is complete, cannot be completed, or nobody waits for it. */
  async run (): Promise<void> {
    const ended = new AbortController()
    const deadline = this.watchDeadline(ended.signal)
    const last = await this.runAttempts()
    ended.abort()
    await deadline
    this.queue.put(last, eventOverheadBytes)
  }

  private async watchDeadline (signal: AbortSignal): Promise<void> {
    await this.context.clock.sleep(Math.max(0, this.request.deadline - this.context.clock.monotonic()), signal)
    if (signal.aborted) return
    this.stopKind = 'deadline_exceeded'
    this.stop.abort()
  }

  private async runAttempts (): Promise<GenerationEvent> {
    let handedTo: Upstream | undefined
    for (;;) {
      const upstream: Upstream | undefined = handedTo ?? await this.choose()
      if (this.stop.signal.aborted) return this.stopped()
      if (upstream === undefined) return this.failed(failure('not_run', `no engine serves model ${this.request.model} now`))
      const computesPromptOnly = upstream.role === 'prefill'
      const outcome = await this.attempt(upstream, computesPromptOnly)
      if (outcome.kind === 'finished') {
        // The engine that computed the prompt knows what was cached; at the next one all of it is.
        this.engineUsage ??= outcome.usage
        if (!computesPromptOnly || !this.wantsMore(outcome.finishReason)) return { kind: 'end', finishReason: outcome.finishReason }
        const moved = await this.handover.move(this.request, upstream, this.stop.signal)
        handedTo = moved.isOk ? moved.value : undefined
        if (moved.isErr && !this.context.budget.tryTake()) return this.failed(moved.error)
        continue
      }
      handedTo = undefined
      if (outcome.kind === 'stopped') return this.stopped()
      if (outcome.kind === 'rejected') return this.failed(outcome.failure)
      // The engine has sent all tokens, only the end mark is missing.
      if (this.position > 0 && this.position === this.request.maxTokens) return { kind: 'end', finishReason: 'length' }
      if (!this.mayTryAgain(outcome)) return this.failed(this.failureOfAttempt(outcome))
    }
  }

  private async choose (): Promise<Upstream | undefined> {
    const candidates = this.context.upstreams.candidatesForModel(this.request.model)
    if (this.tried.size === 0) return this.context.policy.choose(this.request.routing, candidates)
    const untried = candidates.filter(({ id }) => !this.tried.has(id))
    if (untried.length > 0) return this.context.policy.choose(this.request.routing, untried)
    await this.context.clock.sleep(sameUpstreamPauseMilliseconds, this.stop.signal)
    const last = [...this.tried].at(-1)
    const usable = this.context.upstreams.candidatesForModel(this.request.model)
    const others = usable.filter(({ id }) => id !== last)
    return this.context.policy.choose(this.request.routing, others.length > 0 ? others : usable)
  }

  /** True if the answer goes on after the one token that an engine generated with the prompt. */
  private wantsMore (finishReason: string): boolean {
    return finishReason === 'length' && (this.request.maxTokens === undefined || this.position < this.request.maxTokens)
  }

  private async attempt (upstream: Upstream, computesPromptOnly: boolean): Promise<AttemptOutcome> {
    this.attempts += 1
    this.tried.delete(upstream.id)
    this.tried.add(upstream.id)
    const { requestId, path, priority, routing } = this.request
    const body = computesPromptOnly ? oneTokenBodyOf(this.request.body, this.position) : this.request.body
    const attemptId = attemptIdOf(requestId, this.attempts)
    const resumeText = this.delivered.text()
    const call: EngineCall = { requestId, attemptId, path, body, priority, resumeFrom: this.position, resumeText }
    const prefillTokens = this.context.policy.prefillTokens(routing, upstream) + this.position
    const work = this.context.upstreams.begin(upstream, prefillTokens)
    this.context.policy.sent(routing, upstream)
    this.context.events.debug('attempt_started', { request: requestId, engine: upstream.id, position: this.position })
    const attempt = new EngineAttempt(upstream, call, this.context.clock, this.context.limits, async text => {
      work.firstToken()
      await this.receive(text)
    })
    const outcome = await attempt.run(this.stop.signal)
    const milliseconds = work.end(workResultOf(outcome))
    if (outcome.kind === 'finished' || outcome.kind === 'broken' || outcome.kind === 'stopped') {
      this.ran = true
      this.engineMilliseconds += milliseconds
    }
    this.note(upstream, outcome, attempt)
    await this.cancelRest(upstream, attemptId, outcome)
    return outcome
  }

  private async receive (text: string): Promise<void> {
    this.position += 1
    this.delivered.add(text)
    await this.queue.push({ kind: 'token', text }, Buffer.byteLength(text) + eventOverheadBytes)
  }

  /** Stops what an engine may still do for an attempt that this host has given up. */
  private async cancelRest (upstream: Upstream, attemptId: AttemptId, outcome: AttemptOutcome): Promise<void> {
    if (outcome.kind !== 'broken' && outcome.kind !== 'stopped') return
    const cancelled = cancelAttempt(upstream.origin, this.request.requestId, attemptId).catch(() => {})
    const others = this.context.upstreams.candidatesForModel(this.request.model).some(({ id }) => !this.tried.has(id))
    // A next attempt on the same engine must not overtake the order to stop this one.
    if (outcome.kind === 'broken' && !others) await cancelled
  }

  private note (upstream: Upstream, outcome: AttemptOutcome, attempt: EngineAttempt): void {
    const fields = { request: this.request.requestId, engine: upstream.id, position: this.position }
    if (attempt.dropped.foreign + attempt.dropped.duplicate > 0) {
      this.context.events.warn('chunks_dropped', { ...fields, ...attempt.dropped })
    }
    if (outcome.kind === 'finished' || outcome.kind === 'stopped') return
    const reason = 'reason' in outcome ? outcome.reason : outcome.failure.message
    this.context.events.warn('attempt_failed', { ...fields, outcome: outcome.kind, reason })
  }

  /** Nothing was sent in a refused attempt, so it costs no budget; the health of the upstream bounds their number. */
  private mayTryAgain (outcome: AttemptOutcome): boolean {
    return outcome.kind === 'refused' || this.context.budget.tryTake()
  }

  private failureOfAttempt (outcome: AttemptOutcome): Failure {
    if (outcome.kind === 'busy') return outcome.failure
    const reason = 'reason' in outcome ? outcome.reason : outcome.kind
    return failure('upstream_failed', `the attempt failed and the retry budget is used up: ${reason}`)
  }

  /** Once tokens went out, whatever ends the answer early is an interrupted stream. */
  private failed (failed: Failure): GenerationEvent {
    if (this.position === 0) return { kind: 'failed', failure: this.ran ? asRun(failed) : failed }
    const detail = { cause: failed.kind, position: this.position }
    return { kind: 'failed', failure: failure('stream_interrupted', failed.message, detail) }
  }

  private stopped (): GenerationEvent {
    const message = this.stopKind === 'cancelled' ? 'the caller left' : 'the deadline passed before the answer was complete'
    return this.failed(failure(this.stopKind, message))
  }
}

function workResultOf (outcome: AttemptOutcome): WorkResult {
  return match(outcome.kind)
    .returnType<WorkResult>()
    .with('finished', 'rejected', () => 'answered')
    .with('refused', () => 'refused')
    .with('broken', () => 'failed')
    .with('busy', 'stopped', () => 'left')
    .exhaustive()
}

/** The body for an engine that computes prompts: it generates the one token that the computation gives anyway. */
function oneTokenBodyOf (body: Record<string, unknown>, position: number): Record<string, unknown> {
  const { max_completion_tokens: _replaced, ...rest } = body
  return { ...rest, max_tokens: position + 1 }
}

/** After an attempt that may have run, the failure of a later one must not say that the request did not run. */
function asRun (failed: Failure): Failure {
  if (!errorAnswers[failed.kind].notRun) return failed
  return failure('upstream_failed', `an attempt failed and no other could complete the request: ${failed.message}`)
}
