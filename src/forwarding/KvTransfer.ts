/**
 * Transfers the KV cache of a request from the engine that computed its prompt to one that generates the answer.
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

/** Most target engines that are tried; after that another engine computes the prompt again. */
const maxTargets = 2

/** What a target has to compute: nothing, since it receives the whole prompt as KV cache. */
const cachedPrompt = { promptTokens: 0, promptBlocks: [] }

/** Transfers KV caches between engines. */
export class KvTransfer {
  constructor (private readonly context: KvTransferContext) {}

  /** Transfers the cache of a request. Returns the engine that received it. Errors: `upstream_failed`, `not_run`. */
  async transfer (request: KvTransferRequest, from: Upstream, signal: AbortSignal): Promise<Result<Upstream, Failure>> {
    const exported = await this.callEngine(from, '/kv/export', { request_id: request.requestId }, request, signal)
    if (exported.isErr) return Result.err(exported.error)
    const targets = this.targetsOf(request.model, from)
    let last = failure('not_run', `no engine is available that generates answers of model ${request.model}`)
    for (let count = 0; count < maxTargets && !signal.aborted; count += 1) {
      const target = this.context.policy.choose(cachedPrompt, targets)
      if (target === undefined) break
      const imported = await this.callEngine(target, '/kv/import', exported.value, request, signal)
      if (imported.isOk) return Result.ok(target)
      last = imported.error
      targets.splice(targets.indexOf(target), 1)
    }
    return Result.err(last)
  }

  /** The candidates that only generate answers, or the mixed engines if there are none. */
  private targetsOf (model: Model, from: Upstream): Upstream[] {
    const candidates = this.context.upstreams.candidatesForModel(model, 'decode').filter(({ id }) => id !== from.id)
    const decoding = candidates.filter(({ role }) => role === 'decode')
    return decoding.length > 0 ? decoding : candidates
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
    const sent = await http.send({ method: 'POST', path, body, timeoutMilliseconds, signal })
    await http.close()
    if (sent.isOk && sent.value.status === 200) return Result.ok(sent.value.body)
    const reason = sent.isErr ? sent.error.message : `${path} was answered with status ${sent.value.status}`
    this.context.events.warn('kv_transfer_failed', { request: request.requestId, engine: engine.id, reason })
    return Result.err(failure('upstream_failed', `the KV cache could not be transferred: ${reason}`))
  }
}
