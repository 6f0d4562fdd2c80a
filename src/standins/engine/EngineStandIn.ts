/**
 * Stand-in of a language-model engine: the HTTP interface to its batch, prefix cache, orders and KV cache transfer.
 */
import type { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { z } from 'zod'
import { type Failure, errorBodyOf, errorResponseOf, failure } from '../../common/index.js'
import type { EngineRole } from '../../configuration/index.js'
import { readJson, type StandInContext, type StandInOptions } from '../StandIn.js'
import { UpstreamStandIn } from '../UpstreamStandIn.js'
import { Batch, type BatchLoad } from './Batch.js'
import { CacheEventFeed } from './CacheEventFeed.js'
import { ChunkWriter } from './ChunkWriter.js'
import {
  completionOf, chatCompletionSchema, completionSchema, type CompletionKind, type CompletionRequest, lastChunkOf,
  textOfToken, tokenChunkOf, workOf
} from './completions.js'
import { EngineRequest, type EngineSink, type EngineWork } from './EngineRequest.js'
import { type EngineSettings, type EngineStandInSettings, engineStandInSettingsSchema } from './EngineSettings.js'
import { EngineStandInState } from './EngineStandInState.js'
import { kvExportSchema, kvImportSchema, StandInKvTransfer } from './StandInKvTransfer.js'
import { OrderExecutor } from './OrderExecutor.js'
import { standInOrderMessageSchema } from './orders.js'
import { WorkTimer } from './WorkTimer.js'
import { PrefixCache } from './PrefixCache.js'
import { describeRequest, RequestTable } from './RequestTable.js'

const cancelSchema = z.object({ attempt_id: z.string().optional() })
const eventStreamHeaders = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' }
const countQuerySchema = z.coerce.number().int().nonnegative()

interface EngineLoad extends BatchLoad {
  role: EngineRole
  models: string[]
  kvCapacityTokens: number
  leaving: boolean
}

/** The outcome of a submission: the request was queued, or rejected with the given failure. */
interface Submission {
  request: EngineRequest
  refusal: Failure | undefined
}

/** Serves the engine protocol with simulated work. */
export class EngineStandIn extends UpstreamStandIn<EngineLoad> {
  private readonly cacheEvents: CacheEventFeed
  private readonly cache: PrefixCache
  private readonly batch: Batch
  private readonly state: EngineStandInState
  private readonly orders: OrderExecutor
  private readonly requests: RequestTable
  private readonly kvTransfer: StandInKvTransfer

  private constructor (private readonly settings: EngineSettings, options: StandInOptions) {
    super(options, settings.loadLagMilliseconds * settings.timeScale)
    const { clock, incarnation } = this
    const onChange = () => this.recordLoad()
    this.cacheEvents = new CacheEventFeed({
      clock,
      incarnation,
      delayMilliseconds: settings.cacheEventDelayMilliseconds * settings.timeScale,
      gapEvery: settings.cacheEventGapEvery
    })
    this.cache = new PrefixCache({
      blockTokens: settings.blockTokens,
      capacityBlocks: settings.cacheCapacityBlocks,
      onChange: change => this.cacheEvents.add(change)
    })
    this.batch = new Batch({ clock, settings, timer: new WorkTimer(clock, settings.timeScale), cache: this.cache, onChange })
    this.state = new EngineStandInState({ clock, settings, batch: this.batch, cache: this.cache, onChange })
    this.orders = new OrderExecutor({
      clock, incarnation, checksFencing: settings.checksFencing, execute: order => this.state.execute(order)
    })
    this.requests = new RequestTable(settings.maxFinishedRequests)
    this.kvTransfer = new StandInKvTransfer({
      settings,
      timer: new WorkTimer(clock, settings.timeScale),
      cache: this.cache,
      requests: this.requests,
      models: this.state.models
    })
    this.recordLoad()
    this.addRoutes()
  }

  /** Starts an engine stand-in. */
  static async start (settings: EngineStandInSettings = {}, options: StandInOptions = {}): Promise<EngineStandIn> {
    const parsed = engineStandInSettingsSchema.parse(settings)
    return await new EngineStandIn(parsed, options).listen(parsed.listen)
  }

  protected override currentLoad (): EngineLoad {
    return {
      role: this.state.role,
      models: this.state.models.servedNames(),
      ...this.batch.load(),
      kvCapacityTokens: this.settings.kvCapacityTokens,
      leaving: this.isLeaving
    }
  }

  protected override async onStop (): Promise<void> {
    await this.batch.stop()
  }

  private addRoutes (): void {
    this.app.post('/v1/completions', async c => {
      const body = await readJson(c, completionSchema)
      return body.isErr ? errorResponseOf(body.error) : await this.complete(c, 'completion', body.value)
    })
    this.app.post('/v1/chat/completions', async c => {
      const body = await readJson(c, chatCompletionSchema)
      return body.isErr ? errorResponseOf(body.error) : await this.complete(c, 'chat', body.value)
    })
    this.app.get('/requests', c => c.json({ requests: this.requests.describeAll() }))
    this.app.get('/requests/:id', c => this.showRequest(c, c.req.param('id')))
    this.app.post('/requests/:id/cancel', c => this.cancelRequest(c, c.req.param('id')))
    this.app.get('/state', c => c.json(this.describeState()))
    this.app.post('/kv/export', async c => {
      const body = await readJson(c, kvExportSchema)
      return responseOf(c, body.isErr ? body : await this.kvTransfer.export(body.value))
    })
    this.app.post('/kv/import', async c => {
      const body = await readJson(c, kvImportSchema)
      return responseOf(c, body.isErr ? body : await this.kvTransfer.import(body.value))
    })
    this.app.get('/cache-events', c => {
      const from = countQuerySchema.catch(1).parse(c.req.query('from'))
      return c.body(this.cacheEvents.stream(from, this.closedSignal(c, 'wait')), 200, eventStreamHeaders)
    })
    this.app.post('/orders', c => this.receiveOrder(c))
    this.app.get('/orders', c => c.json(this.orders.listMessages()))
    this.app.get('/orders/:id', c => {
      const status = this.orders.status(c.req.param('id'))
      return status === undefined ? errorResponseOf(failure('not_found', 'unknown order')) : c.json(status)
    })
  }

  private describeState () {
    return {
      incarnation: this.incarnation,
      role: this.state.role,
      inService: this.state.isInService,
      ...this.state.models.describe(),
      ...this.orders.describe(),
      interruptedRequests: this.state.interruptedRequests,
      leaving: this.isLeaving
    }
  }

  private async complete (c: StandInContext, kind: CompletionKind, body: CompletionRequest): Promise<Response> {
    return body.stream
      ? await this.completeStreaming(c, kind, workOf(body))
      : await this.completeNonStreaming(c, kind, workOf(body))
  }

  /** The failure with which the engine rejects a request in its current state; undefined if it accepts it. */
  private refusalOf (request: EngineRequest): Failure | undefined {
    const { model, maxTokens, resumeFrom } = request.details
    if (this.state.models.baseModelOf(model) === undefined) return failure('unknown_model', `model "${model}" is not loaded`)
    if (!this.state.isInService) return failure('not_ready', 'the engine is changing its role')
    if (!this.settings.strictRole) return undefined
    return match(this.state.role)
      .with('mixed', () => undefined)
      .with('prefill', () => {
        const requestedTokens = maxTokens - resumeFrom
        return requestedTokens > 1 ? failure('not_run', `a prefill engine generates one token, not ${requestedTokens}`) : undefined
      })
      .with('decode', () => {
        const uncachedTokens = request.prefillLeft - this.cache.cachedTokens(request.blocks)
        if (uncachedTokens <= this.settings.blockTokens) return undefined
        return failure('not_run', `a decode engine computes at most one block of the prompt, not ${uncachedTokens} tokens`)
      })
      .exhaustive()
  }

  /** Queues a request, which is cancelled when the caller disconnects. */
  private submit (c: StandInContext, work: EngineWork, sink: EngineSink): Submission {
    const request: EngineRequest = new EngineRequest(work, {
      onToken: sink.onToken,
      onEnd: cause => {
        this.requests.recordEnd(request)
        sink.onEnd(cause)
      }
    }, this.clock.wall(), this.settings.blockTokens)
    const refusal = this.refusalOf(request) ?? this.batch.submit(request)
    if (refusal === undefined) {
      this.requests.add(request)
      this.closedSignal(c, 'work').addEventListener('abort', () => this.batch.cancel(request), { once: true })
    }
    return { request, refusal }
  }

  /** Sends a non-streaming response after the last token. */
  private async completeNonStreaming (c: StandInContext, kind: CompletionKind, work: EngineWork): Promise<Response> {
    let text = ''
    return await new Promise(resolve => {
      const { request, refusal } = this.submit(c, work, {
        onToken: (position, token) => { text += textOfToken(position, token) },
        onEnd: cause => resolve(cause === undefined ? c.json(completionOf(kind, request, text)) : errorResponseOf(cause))
      })
      if (refusal !== undefined) resolve(errorResponseOf(refusal))
    })
  }

  /**
   * Sends a streaming response. Its headers are sent with the first token, so that an earlier failure is reported with an
   * error status.
   */
  private async completeStreaming (c: StandInContext, kind: CompletionKind, work: EngineWork): Promise<Response> {
    return await new Promise(resolve => {
      const writer = new ChunkWriter({
        clock: this.clock,
        faults: this.faults,
        call: { method: c.req.method, path: c.req.path },
        onCancel: () => this.batch.cancel(request)
      })
      const sendHeaders = () => resolve(c.body(writer.body, 200, eventStreamHeaders))
      const { request, refusal } = this.submit(c, work, {
        onToken: (position, token) => {
          sendHeaders()
          writer.write(tokenChunkOf(kind, request, position, token))
        },
        onEnd: cause => {
          if (cause !== undefined) {
            resolve(errorResponseOf(cause))
            writer.fail(errorBodyOf(cause))
            return
          }
          sendHeaders()
          writer.write(lastChunkOf(kind, request))
          writer.end()
        }
      })
      if (refusal !== undefined) resolve(errorResponseOf(refusal))
    })
  }

  private showRequest (c: StandInContext, id: string): Response {
    const request = this.requests.get(id)
    if (request === undefined) return errorResponseOf(failure('not_found', `unknown request "${id}"`))
    return c.json(describeRequest(request))
  }

  private async cancelRequest (c: StandInContext, id: string): Promise<Response> {
    const body = await readJson(c, cancelSchema, {})
    if (body.isErr) return errorResponseOf(body.error)
    const request = this.requests.get(id, body.value.attempt_id)
    if (request === undefined) return errorResponseOf(failure('not_found', `unknown request "${id}"`))
    this.batch.cancel(request)
    return c.json(describeRequest(request))
  }

  private async receiveOrder (c: StandInContext): Promise<Response> {
    const body = await readJson(c, standInOrderMessageSchema)
    if (body.isErr) return errorResponseOf(body.error)
    const waitMilliseconds = countQuerySchema.max(60_000).catch(0).parse(c.req.query('wait-ms'))
    const received = this.orders.receive(body.value)
    if (received.isErr) return errorResponseOf(received.error)
    if (received.value.state === 'running' && waitMilliseconds > 0) {
      await this.orders.waitForEnd(body.value.orderId, waitMilliseconds, this.closedSignal(c, 'wait'))
    }
    return c.json(received.value, received.value.state === 'running' ? 202 : 200)
  }
}

function responseOf (c: StandInContext, result: Result<object, Failure>): Response {
  return result.isErr ? errorResponseOf(result.error) : c.json(result.value)
}
