/**
 * Computes the prompt of a call on a prefill worker before another worker generates the answer. A failed computation
 * costs nothing but time: the worker that generates the answer computes the prompt itself.
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

/** What the computation needs of its host. */
export interface PromptComputationContext {
  upstreams: UpstreamManager
  policy: PromptPlacementPolicy
  protocol: CallProtocol
  budget: RetryBudget
  clock: Clock
  events: EventLog
}

/** Part of a call's remaining time that the computation may take; the rest is left for generating the answer. */
const longestPartOfRemainingTime = 0.5

/** How a computation ended. `refused`: a worker got the call and did not compute the prompt. */
interface Computation { outcome: 'computed' | 'refused' | 'not_sent', source?: KvSource }

/** Computes prompts on prefill workers. */
export class PromptComputation {
  constructor (private readonly context: PromptComputationContext) {}

  /**
   * Where the computed prompt waits; undefined if the worker that generates the answer is to compute it. The first
   * computation of a call that a worker accepts is free, all others draw on the retry budget.
   */
  async compute (request: ServiceRequest, isFirst: boolean, stop: AbortSignal): Promise<KvSource | undefined> {
    const { prompt } = request
    if (prompt === undefined) return undefined
    const candidates = this.context.upstreams.candidatesForPool(request.pool, 'prefill').filter(({ role }) => role === 'prefill')
    const generating = this.context.upstreams.candidatesForPool(request.pool)
    const placement = this.context.policy.chooseForPrompt(prompt, candidates, generating)
    if (placement === undefined) return undefined
    const { budget } = this.context
    const mayCompute = isFirst ? !budget.isOverdrawn(request.pool) : budget.tryTake(request.pool)
    if (!mayCompute) return undefined
    const sent = await this.send(request, placement, stop)
    if (sent.outcome === 'refused' && isFirst) budget.charge(request.pool)
    return sent.source
  }

  /** Frees a computed prompt that no worker will fetch. */
  async release (request: ServiceRequest, { upstream, handle }: KvSource): Promise<void> {
    const call = this.context.protocol.releaseOf(handle)
    if (call === undefined) return
    try {
      const answer = await upstream.http.request(call)
      await answer.body.dump()
    } catch (caught) {
      // The worker frees it by itself a few seconds later.
      this.note(request, upstream, `the computed prompt was not freed: ${(caught as Error).message}`)
    }
  }

  private async send (
    request: ServiceRequest,
    { worker: upstream, partsFrom }: PromptPlacement<Upstream>,
    stop: AbortSignal
  ): Promise<Computation> {
    const { clock, events, policy, protocol, upstreams } = this.context
    const remaining = request.deadline - clock.monotonic()
    const limit = remaining * longestPartOfRemainingTime
    const attempt = { request, upstream, remainingMilliseconds: Math.ceil(limit), resumeAfter: undefined, kvSource: undefined }
    const headers = protocol.promptHeaders(attempt, partsFrom)
    if (headers === undefined || request.prompt === undefined) return { outcome: 'not_sent' }
    const placed = {
      request: request.requestId,
      worker: upstream.id,
      parts_from: partsFrom?.id,
      own_zone: upstream.ownZone,
      queued: upstream.load.queuedPrefillTokens
    }
    const startedAt = clock.monotonic()
    const work = upstreams.begin(upstream, policy.prefillTokens(request.prompt, upstream))
    policy.sent(request.prompt, upstream)
    const timer = abortAfter(clock, limit, new Error(`the prompt was not computed within ${Math.round(limit)} ms`))
    try {
      const answer = await upstream.http.request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers,
        body: request.body ?? null,
        signal: AbortSignal.any([stop, timer.signal])
      })
      const body = Buffer.from(await answer.body.arrayBuffer())
      const handle = answer.statusCode === 200 ? protocol.promptHandle(body) : undefined
      work.end(handle === undefined ? 'declined' : 'answered')
      if (handle !== undefined) {
        events.info('prompt_computed', { ...placed, milliseconds: Math.round(clock.monotonic() - startedAt) })
        return { outcome: 'computed', source: { upstream, handle } }
      }
      this.note(request, upstream, `status ${answer.statusCode}`)
      return { outcome: 'refused' }
    } catch (caught) {
      work.end(stop.aborted ? 'left' : 'failed')
      this.note(request, upstream, (caught as Error).message)
      return { outcome: stop.aborted || isNotSent(caught) ? 'not_sent' : 'refused' }
    } finally {
      timer.end()
    }
  }

  private note (request: ServiceRequest, upstream: Upstream, reason: string): void {
    this.context.events.warn('prompt_computation_failed', { request: request.requestId, worker: upstream.id, reason })
  }
}
