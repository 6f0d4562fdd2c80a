/**
 * Computes the prompt of a call on a prefill worker before another worker generates the answer. A failed computation
 * costs nothing but time: the worker that generates the answer computes the prompt itself.
 */
import type { Dispatcher } from 'undici'
import { abortAfter, type Clock } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { PromptPlacement, PromptPlacementPolicy } from '../routing/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'
import type { CallProtocol, KvSource } from './CallProtocol.js'
import type { ServiceRequest } from './ServiceCall.js'

/** What the computation needs of its host. */
export interface PromptComputationContext {
  upstreams: UpstreamManager
  policy: PromptPlacementPolicy
  protocol: CallProtocol
  clock: Clock
  events: EventLog
}

/** Part of a call's remaining time that the computation may take; the rest is left for generating the answer. */
const longestPartOfRemainingTime = 0.5

/** Computes prompts on prefill workers. */
export class PromptComputation {
  constructor (private readonly context: PromptComputationContext) {}

  /** Where the computed prompt waits; undefined if the worker that generates the answer is to compute it. */
  async compute (request: ServiceRequest, stop: AbortSignal): Promise<KvSource | undefined> {
    const { prompt } = request
    if (prompt === undefined) return undefined
    const candidates = this.context.upstreams.candidatesForPool(request.pool, 'prefill').filter(({ role }) => role === 'prefill')
    const placement = this.context.policy.chooseForPrompt(prompt, candidates)
    if (placement === undefined) return undefined
    return await this.send(request, placement, stop)
  }

  private async send (
    request: ServiceRequest,
    { worker: upstream, partsFrom }: PromptPlacement<Upstream>,
    stop: AbortSignal
  ): Promise<KvSource | undefined> {
    const { clock, policy, protocol, upstreams } = this.context
    const remaining = request.deadline - clock.monotonic()
    const limit = remaining * longestPartOfRemainingTime
    const attempt = { request, upstream, remainingMilliseconds: Math.ceil(limit), resumeAfter: undefined, kvSource: undefined }
    const headers = protocol.promptHeaders(attempt, partsFrom)
    if (headers === undefined || request.prompt === undefined) return undefined
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
      const head = { status: answer.statusCode, headers: answer.headers }
      protocol.observe(upstream, head)
      const body = Buffer.from(await answer.body.arrayBuffer())
      const handle = head.status === 200 ? protocol.promptHandle(body) : undefined
      work.end(handle === undefined ? 'left' : 'answered')
      if (handle !== undefined) return { upstream, handle }
      this.note(request, upstream, `status ${head.status}`)
    } catch (caught) {
      work.end(stop.aborted ? 'left' : 'failed')
      this.note(request, upstream, (caught as Error).message)
    } finally {
      timer.end()
    }
    return undefined
  }

  private note (request: ServiceRequest, upstream: Upstream, reason: string): void {
    this.context.events.warn('prompt_computation_failed', { request: request.requestId, worker: upstream.id, reason })
  }
}
