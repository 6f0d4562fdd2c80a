/**
 * Transfers the KV cache of a request from the engine that computed the prompt to a decode engine, or to a mixed engine
 * if no decode engine is available.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, type Model, type RequestId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { HttpClient } from '../clients/index.js'
import type { RoutingPolicy } from '../routing/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'

/** Dependencies of `KvTransfer`. */
export interface KvTransferContext {
  upstreams: UpstreamManager
  policy: RoutingPolicy
  clock: Clock
  events: EventLog
}

/** The request whose KV cache is transferred. */
export interface KvTransferRequest {
  requestId: RequestId
  model: Model
  /** Monotonic time in milliseconds. */
  deadline: number
}

/** Maximum number of target engines that are tried; if all fail, another engine computes the prompt again. */
const maxTargets = 2

/**
 * Routing request for a target, which computes no prompt tokens since it receives the KV cache of the complete prompt.
 */
const cachedPrompt = { promptTokens: 0, promptBlocks: [] }

/** Transfers KV caches between engines. */
export class KvTransfer {
  constructor (private readonly context: KvTransferContext) {}

  /**
   * Transfers the cache of a request and returns the engine that received the cache. Errors: `upstream_failed` if the
   * export or the last import failed, `not_run` if no import was tried.
   */
  async transfer (request: KvTransferRequest, from: Upstream, signal: AbortSignal): Promise<Result<Upstream, Failure>> {
    const exportResult = await this.callEngine(from, '/kv/export', { request_id: request.requestId }, request, signal)
    if (exportResult.isErr) return Result.err(exportResult.error)
    const targets = this.targetsOf(request.model, from)
    let lastFailure = failure('not_run', `no engine is available that generates answers of model ${request.model}`)
    for (let count = 0; count < maxTargets && !signal.aborted; count += 1) {
      const target = this.context.policy.choose(cachedPrompt, targets)
      if (target === undefined) break
      const importResult = await this.callEngine(target, '/kv/import', exportResult.value, request, signal)
      if (importResult.isOk) return Result.ok(target)
      lastFailure = importResult.error
      targets.splice(targets.indexOf(target), 1)
    }
    return Result.err(lastFailure)
  }

  /** The decode engines, or the mixed engines if there are none. */
  private targetsOf (model: Model, from: Upstream): Upstream[] {
    const candidates = this.context.upstreams.candidatesForModel(model, 'decode').filter(({ id }) => id !== from.id)
    const decodeEngines = candidates.filter(({ role }) => role === 'decode')
    return decodeEngines.length > 0 ? decodeEngines : candidates
  }

  private async callEngine (
    engine: Upstream,
    path: string,
    body: unknown,
    request: KvTransferRequest,
    signal: AbortSignal
  ): Promise<Result<unknown, Failure>> {
    const http = new HttpClient(engine.origin)
    const timeoutMilliseconds = Math.max(1, Math.ceil(request.deadline - this.context.clock.monotonic()))
    const response = await http.send({ method: 'POST', path, body, timeoutMilliseconds, signal })
    await http.close()
    if (response.isOk && response.value.status === 200) return Result.ok(response.value.body)
    const reason = response.isErr ? response.error.message : `${path} was answered with status ${response.value.status}`
    this.context.events.warn('kv_transfer_failed', { request: request.requestId, engine: engine.id, reason })
    return Result.err(failure('upstream_failed', `the KV cache could not be transferred: ${reason}`))
  }
}
