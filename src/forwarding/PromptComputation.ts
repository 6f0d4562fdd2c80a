/**
 * Computes the prompt of a call on a prefill worker before a decode worker generates the answer. A failed computation
 * costs only time, since the decode worker then computes the prompt itself.
 */
import { Result } from 'true-myth'
import type { Dispatcher } from 'undici'
import { abortAfter, type Clock, type Failure, type Pool } from '../common/index.js'
import { isNotSent, readBounded } from '../clients/index.js'
import type { RequestPermits } from '../limits/index.js'
import type { EventLog } from '../observability/index.js'
import type { PlacedPrompt, PromptOutcome, PromptPlacer } from '../placement/index.js'
import type { PartQuarantine } from '../quarantine/index.js'
import type { PromptPlacementPolicy } from '../routing/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'
import type { CallProtocol, KvSource } from './CallProtocol.js'
import { destroyBody } from './responseBodies.js'
import { permitUseOf } from './permitUseOf.js'
import type { RetryBudget } from './RetryBudget.js'
import type { ServiceRequest } from './ServiceRequest.js'

/** Dependencies of `PromptComputation`. */
export interface PromptComputationContext {
  upstreams: UpstreamManager
  policy: PromptPlacementPolicy
  placer: PromptPlacer
  protocol: CallProtocol
  budget: RetryBudget
  clock: Clock
  events: EventLog
  /** Keeps the prompts that the scheduler has not placed within the limits that workers state. */
  permits?: RequestPermits
  /** Refuses prompts that crash workers; undefined if nothing does so. */
  quarantine?: PartQuarantine
  /** Learns how many prompts were computed, or refused for lack of workers; undefined if nothing counts them. */
  recordPrompt?: (pool: Pool, outcome: 'computed' | 'refused') => void
}

/**
 * Fraction of a call's remaining time that the computation may take; the rest is reserved for generating the answer.
 */
const maxRemainingTimeFraction = 0.5

/**
 * Result of a computation. `takesRetry`: the worker may have received the call although it returned no computed prompt.
 */
interface ComputationResult { outcome: PromptOutcome, source?: KvSource, takesRetry: boolean }

/** Time limit for the response to a call that frees a computed prompt, in milliseconds. */
const releaseTimeoutMilliseconds = 2000

/** Maximum size of the response to a computation, in bytes; it only contains a handle. */
const maxResponseBytes = 65_536

/** Statuses with which a worker declines a prompt: it is another worker, full, or has another role now. */
const declinedStatuses: ReadonlySet<number> = new Set([421, 429, 503])

/** A computed prompt, if it was computed before the answer, and its placement, if it was placed. */
export interface PromptResult { source: KvSource | undefined, placement: PlacedPrompt | undefined }

/** The result if the decode worker computes the prompt and no placer has to be told about the answer. */
const noComputation: PromptResult = { source: undefined, placement: undefined }

/** Computes prompts on prefill workers. */
export class PromptComputation {
  private computations = 0

  constructor (private readonly context: PromptComputationContext) {}

  /**
   * Returns the source of the computed prompt; without a source, the decode worker has to compute the prompt itself. The
   * first computation of a call takes a retry from the budget only if the worker may have received it in vain, every
   * further one in advance. Errors: those of `PromptPlacer.place`, and `quarantined` if the prompt must not be sent any more.
   */
  async compute (request: ServiceRequest, isFirst: boolean, stop: AbortSignal): Promise<Result<PromptResult, Failure>> {
    const { prompt, pool, account, requestId, deadline } = request
    const { upstreams, budget, placer } = this.context
    if (prompt === undefined) return Result.ok(noComputation)
    const candidates = (): readonly Upstream[] => upstreams.candidatesForPool(pool, 'prefill').filter(({ role }) => role === 'prefill')
    if (candidates().length === 0) return Result.ok(noComputation)
    const mayCompute = isFirst ? !budget.isOverdrawn(pool) : budget.tryTake(pool)
    if (!mayCompute) return Result.ok(noComputation)
    this.computations += 1
    const placed = await placer.place({
      id: `${requestId}.${this.computations}`,
      pool,
      account,
      prompt,
      dueAt: request.startDueAt ?? deadline,
      lostAt: request.startLostAt ?? deadline,
      candidates,
      decodeCandidates: () => upstreams.candidatesForPool(pool)
    }, stop)
    if (placed.isErr) {
      if (placed.error.kind === 'overloaded') this.context.recordPrompt?.(pool, 'refused')
      return Result.err(placed.error)
    }
    const placement = placed.value
    const refusal = this.context.quarantine?.refusalOf(prompt)
    if (refusal !== undefined) {
      if (placement?.worker !== undefined) placement.end('abandoned')
      placement?.answered(undefined, undefined)
      return Result.err(refusal)
    }
    if (placement?.worker === undefined) return Result.ok({ source: undefined, placement })
    const worker = placement.hasPermits
      ? placement.worker
      : await this.choosePermitted(request, placement.worker, candidates, stop)
    if (worker === undefined) return Result.ok({ source: undefined, placement })
    const computation = await this.send(request, { ...placement, worker }, stop)
    placement.end(computation.outcome)
    if (computation.outcome === 'computed') this.context.recordPrompt?.(pool, 'computed')
    if (computation.takesRetry && isFirst) budget.charge(pool)
    return Result.ok({ source: computation.source, placement })
  }

  /** Returns a worker that may be sent the prompt; undefined if all state a limit and no permit is available. */
  private async choosePermitted (
    request: ServiceRequest,
    preferred: Upstream,
    candidates: () => readonly Upstream[],
    stop: AbortSignal
  ): Promise<Upstream | undefined> {
    const { permits, policy } = this.context
    const { prompt } = request
    if (permits === undefined || prompt === undefined) return preferred
    const chosen = await permits.choose({
      ...permitUseOf(request),
      candidates,
      choose: unlimited => policy.chooseForPrompt(prompt, unlimited, [])?.worker
    }, preferred, stop)
    return chosen.unwrapOr(undefined)
  }

  /**
   * Frees a computed prompt that no worker will fetch. The call bears no id by which its response could be told from a late
   * copy of another, so it has a connection of its own.
   */
  async release (request: ServiceRequest, { upstream, handle }: KvSource): Promise<void> {
    const call = this.context.protocol.releaseCallOf(handle)
    if (call === undefined) return
    const connection = upstream.openConnection()
    try {
      const response = await upstream.request({ ...call, signal: AbortSignal.timeout(releaseTimeoutMilliseconds) }, connection)
      destroyBody(response.body)
    } catch (caught) {
      // Not retried, since the worker frees the prompt by itself a few seconds later.
      this.logFailure(request, upstream, `the computed prompt was not freed: ${(caught as Error).message}`)
    } finally {
      connection.destroy().catch(() => {})
    }
  }

  private async send (
    request: ServiceRequest,
    { worker: upstream, sharedPartsSource }: { worker: Upstream, sharedPartsSource: Upstream | undefined },
    stop: AbortSignal
  ): Promise<ComputationResult> {
    const { clock, events, policy, protocol, upstreams } = this.context
    const remaining = request.deadline - clock.monotonic()
    const maxMilliseconds = remaining * maxRemainingTimeFraction
    const attempt = {
      request,
      upstream,
      remainingMilliseconds: Math.ceil(maxMilliseconds),
      resumeAfter: undefined,
      kvSource: undefined
    }
    const headers = protocol.promptHeaders(attempt, sharedPartsSource)
    if (headers === undefined || request.prompt === undefined) return { outcome: 'abandoned', takesRetry: false }
    const placementFields = {
      request: request.requestId,
      worker: upstream.id,
      parts_from: sharedPartsSource?.id,
      own_zone: upstream.isInOwnZone,
      queued: upstream.load.queuedPrefillTokens
    }
    const startedAt = clock.monotonic()
    const tracker = upstreams.begin(upstream, policy.prefillTokens(request.prompt, upstream))
    policy.recordSent(request.prompt, upstream)
    const timer = abortAfter(clock, maxMilliseconds, new Error(`the prompt was not computed within ${Math.round(maxMilliseconds)} ms`))
    try {
      const response = await upstream.request({
        requestId: request.requestId,
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers,
        body: request.body ?? null,
        signal: AbortSignal.any([stop, timer.signal])
      })
      const head = { status: response.statusCode, reason: response.statusText, headers: response.headers }
      if (!protocol.isResponseTo(request, head)) {
        destroyBody(response.body)
        upstreams.doubtConnections(upstream, 'foreign_response')
        throw new Error(protocol.foreignReason(head))
      }
      const body = await readBounded(response.body, maxResponseBytes)
      const handle = response.statusCode === 200 ? protocol.promptHandle(body) : undefined
      tracker.end(handle === undefined ? 'declined' : 'answered')
      if (handle !== undefined) {
        events.info('prompt_computed', { ...placementFields, milliseconds: Math.round(clock.monotonic() - startedAt) })
        return { outcome: 'computed', source: { upstream, handle }, takesRetry: false }
      }
      this.logFailure(request, upstream, `the worker answered with status ${response.statusCode}`)
      return { outcome: declinedStatuses.has(response.statusCode) ? 'declined' : 'failed', takesRetry: true }
    } catch (caught) {
      tracker.end(stop.aborted ? 'left' : 'failed')
      this.logFailure(request, upstream, (caught as Error).message)
      return { outcome: stop.aborted ? 'abandoned' : 'failed', takesRetry: !stop.aborted && !isNotSent(caught) }
    } finally {
      timer.cancel()
    }
  }

  private logFailure (request: ServiceRequest, upstream: Upstream, reason: string): void {
    this.context.events.warn('prompt_computation_failed', { request: request.requestId, worker: upstream.id, reason })
  }
}
