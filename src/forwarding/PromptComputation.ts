/**
 * Computes the prompt of a call on a prefill worker before a decode worker generates the answer. A failed computation
 * costs only time, since the decode worker then computes the prompt itself.
 */
import type { Dispatcher } from 'undici'
import { abortAfter, type Clock } from '../common/index.js'
import { isNotSent } from '../clients/HttpClient.js'
import type { EventLog } from '../observability/index.js'
import type { PromptPlacement, PromptPlacementPolicy } from '../routing/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'
import type { CallProtocol, KvSource } from './CallProtocol.js'
import type { RetryBudget } from './RetryBudget.js'
import type { ServiceRequest } from './ServiceRequest.js'

/** Dependencies of `PromptComputation`. */
export interface PromptComputationContext {
  upstreams: UpstreamManager
  policy: PromptPlacementPolicy
  protocol: CallProtocol
  budget: RetryBudget
  clock: Clock
  events: EventLog
}

/**
 * Fraction of a call's remaining time that the computation may take; the rest is reserved for generating the answer.
 */
const maxRemainingTimeFraction = 0.5

/**
 * Result of a computation. `refused`: the worker may have received the call but returned no computed prompt;
 * `not_sent`: the call was not sent, or this host stopped it.
 */
interface ComputationResult { outcome: 'computed' | 'refused' | 'not_sent', source?: KvSource }

/** Computes prompts on prefill workers. */
export class PromptComputation {
  constructor (private readonly context: PromptComputationContext) {}

  /**
   * Returns the source of the computed prompt; undefined if the decode worker has to compute the prompt itself. The
   * first computation of a call takes a retry from the budget only if the result is `refused`, every further one in
   * advance.
   */
  async compute (request: ServiceRequest, isFirst: boolean, stop: AbortSignal): Promise<KvSource | undefined> {
    const { prompt } = request
    if (prompt === undefined) return undefined
    const prefillCandidates = this.context.upstreams.candidatesForPool(request.pool, 'prefill').filter(({ role }) => role === 'prefill')
    const decodeCandidates = this.context.upstreams.candidatesForPool(request.pool)
    const placement = this.context.policy.chooseForPrompt(prompt, prefillCandidates, decodeCandidates)
    if (placement === undefined) return undefined
    const { budget } = this.context
    const mayCompute = isFirst ? !budget.isOverdrawn(request.pool) : budget.tryTake(request.pool)
    if (!mayCompute) return undefined
    const computation = await this.send(request, placement, stop)
    if (computation.outcome === 'refused' && isFirst) budget.charge(request.pool)
    return computation.source
  }

  /** Frees a computed prompt that no worker will fetch. */
  async release (request: ServiceRequest, { upstream, handle }: KvSource): Promise<void> {
    const call = this.context.protocol.releaseCallOf(handle)
    if (call === undefined) return
    try {
      const response = await upstream.http.request(call)
      await response.body.dump()
    } catch (caught) {
      // Not retried, since the worker frees the prompt by itself a few seconds later.
      this.logFailure(request, upstream, `the computed prompt was not freed: ${(caught as Error).message}`)
    }
  }

  private async send (
    request: ServiceRequest,
    { worker: upstream, sharedPartsSource }: PromptPlacement<Upstream>,
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
    if (headers === undefined || request.prompt === undefined) return { outcome: 'not_sent' }
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
      const response = await upstream.http.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers,
        body: request.body ?? null,
        signal: AbortSignal.any([stop, timer.signal])
      })
      const body = Buffer.from(await response.body.arrayBuffer())
      const handle = response.statusCode === 200 ? protocol.promptHandle(body) : undefined
      tracker.end(handle === undefined ? 'declined' : 'answered')
      if (handle !== undefined) {
        events.info('prompt_computed', { ...placementFields, milliseconds: Math.round(clock.monotonic() - startedAt) })
        return { outcome: 'computed', source: { upstream, handle } }
      }
      this.logFailure(request, upstream, `the worker answered with status ${response.statusCode}`)
      return { outcome: 'refused' }
    } catch (caught) {
      tracker.end(stop.aborted ? 'left' : 'failed')
      this.logFailure(request, upstream, (caught as Error).message)
      return { outcome: stop.aborted || isNotSent(caught) ? 'not_sent' : 'refused' }
    } finally {
      timer.cancel()
    }
  }

  private logFailure (request: ServiceRequest, upstream: Upstream, reason: string): void {
    this.context.events.warn('prompt_computation_failed', { request: request.requestId, worker: upstream.id, reason })
  }
}
