/**
 * Stand-in of a model engine: the HTTP interface over batch, prefix cache, orders and KV transfer.
 */
import type { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { z } from 'zod'
import { type Failure, errorBodyOf, errorResponseOf, failure } from '../../common/index.js'
import type { EngineRole } from '../../configuration/index.js'
import { readJson, type StandInContext, type StandInOptions } from '../StandIn.js'
import { UpstreamStandIn } from '../UpstreamStandIn.js'
import { Batch, type BatchFigures } from './Batch.js'
import { CacheEventFeed } from './CacheEventFeed.js'
import { ChunkWriter } from './ChunkWriter.js'
import {
  answerOf, chatCompletionSchema, completionSchema, type CompletionKind, type CompletionRequest, lastChunkOf,
  textAt, tokenChunkOf, workOf
} from './completions.js'
import { EngineRequest, type EngineSink, type EngineWork } from './EngineRequest.js'
import { type EngineSettings, type EngineStandInSettings, engineStandInSettingsSchema } from './EngineSettings.js'
import { EngineState } from './EngineState.js'
import { kvExportSchema, kvImportSchema, KvTransfer } from './KvTransfer.js'
import { OrderExecutor } from './OrderExecutor.js'
import { orderMessageSchema } from './orders.js'
import { Pace } from './Pace.js'
import { PrefixCache } from './PrefixCache.js'
import { describeRequest, RequestTable } from './RequestTable.js'

const cancelSchema = z.object({ attempt_id: z.string().optional() })
const eventStreamHeaders = { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' }
const countQuerySchema = z.coerce.number().int().nonnegative()

interface EngineLoad extends BatchFigures {
  role: EngineRole
  models: string[]
  kvCapacityTokens: number
  leaving: boolean
}

/** A request that was queued, or refused. */
interface Submission {
  request: EngineRequest
  refused: Failure | undefined
}

/** The engine stand-in. */
export class EngineStandIn extends UpstreamStandIn<EngineLoad> {
  private readonly feed: CacheEventFeed
  private readonly cache: PrefixCache
  private readonly batch: Batch
  private readonly state: EngineState
  private readonly orders: OrderExecutor
  private readonly requests: RequestTable
  private readonly kv: KvTransfer

  private constructor (private readonly settings: EngineSettings, options: StandInOptions) {
    super(options, settings.loadLagMilliseconds * settings.timeScale)
    const { clock, incarnation } = this
    const onChange = () => this.noteLoad()
    this.feed = new CacheEventFeed({
      clock,
      incarnation,
      delayMilliseconds: settings.cacheEventDelayMilliseconds * settings.timeScale,
      gapEvery: settings.cacheEventGapEvery
    })
    this.cache = new PrefixCache({
      blockTokens: settings.blockTokens,
      capacityBlocks: settings.cacheCapacityBlocks,
      onChange: change => this.feed.add(change)
    })
    this.batch = new Batch({ clock, settings, pace: new Pace(clock, settings.timeScale), cache: this.cache, onChange })
    this.state = new EngineState({ clock, settings, batch: this.batch, cache: this.cache, onChange })
    this.orders = new OrderExecutor({
      clock, incarnation, checksFencing: settings.checksFencing, execute: order => this.state.execute(order)
    })
    this.requests = new RequestTable(settings.maxFinishedRequests)
    this.kv = new KvTransfer({
      settings, pace: new Pace(clock, settings.timeScale), cache: this.cache, requests: this.requests, models: this.state.models
    })
    this.noteLoad()
    this.addRoutes()
  }

  /** Starts an engine. */
  static async start (settings: EngineStandInSettings = {}, options: StandInOptions = {}): Promise<EngineStandIn> {
    const parsed = engineStandInSettingsSchema.parse(settings)
    return await new EngineStandIn(parsed, options).listen(parsed.listen)
  }

  protected override loadFigures (): EngineLoad {
    return {
      role: this.state.role,
      models: this.state.models.names(),
      ...this.batch.figures(),
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
    this.app.get('/state', c => c.json(this.describe()))
    this.app.post('/kv/export', async c => {
      const body = await readJson(c, kvExportSchema)
      return answerOfResult(c, body.isErr ? body : await this.kv.export(body.value))
    })
    this.app.post('/kv/import', async c => {
      const body = await readJson(c, kvImportSchema)
      return answerOfResult(c, body.isErr ? body : await this.kv.import(body.value))
    })
    this.app.get('/cache-events', c => {
      const from = countQuerySchema.catch(1).parse(c.req.query('from'))
      return c.body(this.feed.stream(from, this.closedSignal(c, 'wait')), 200, eventStreamHeaders)
    })
    this.app.post('/orders', c => this.receiveOrder(c))
    this.app.get('/orders', c => c.json(this.orders.record()))
    this.app.get('/orders/:id', c => {
      const status = this.orders.status(c.req.param('id'))
      return status === undefined ? errorResponseOf(failure('not_found', 'unknown order')) : c.json(status)
    })
  }

  private describe () {
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
    return body.stream ? await this.stream(c, kind, workOf(body)) : await this.collect(c, kind, workOf(body))
  }

  /** Why the engine does not take a request now. */
  private refusalOf (request: EngineRequest): Failure | undefined {
    const { model, maxTokens, resumeFrom } = request.details
    if (this.state.models.modelOf(model) === undefined) return failure('unknown_model', `model "${model}" is not loaded`)
    if (!this.state.isInService) return failure('not_ready', 'the engine changes its role')
    if (!this.settings.strictRole) return undefined
    return match(this.state.role)
      .with('mixed', () => undefined)
      .with('prefill', () => {
        const wanted = maxTokens - resumeFrom
        return wanted > 1 ? failure('not_run', `a prefill engine generates one token, not ${wanted}`) : undefined
      })
      .with('decode', () => {
        const missing = request.prefillLeft - this.cache.cachedTokens(request.blocks)
        if (missing <= this.settings.blockTokens) return undefined
        return failure('not_run', `a decode engine computes at most one block of the prompt, not ${missing} tokens`)
      })
      .exhaustive()
  }

  /** Queues a request that is cancelled when its connection closes. */
  private submit (c: StandInContext, work: EngineWork, sink: EngineSink): Submission {
    const request: EngineRequest = new EngineRequest(work, {
      token: sink.token,
      end: failed => {
        this.requests.noteEnd(request)
        sink.end(failed)
      }
    }, this.clock.wall(), this.settings.blockTokens)
    const refused = this.refusalOf(request) ?? this.batch.submit(request)
    if (refused === undefined) {
      this.requests.add(request)
      this.closedSignal(c, 'work').addEventListener('abort', () => this.batch.cancel(request), { once: true })
    }
    return { request, refused }
  }

  private async collect (c: StandInContext, kind: CompletionKind, work: EngineWork): Promise<Response> {
    let text = ''
    return await new Promise(resolve => {
      const { request, refused } = this.submit(c, work, {
        token: (position, token) => { text += textAt(position, token) },
        end: failed => resolve(failed === undefined ? c.json(answerOf(kind, request, text)) : errorResponseOf(failed))
      })
      if (refused !== undefined) resolve(errorResponseOf(refused))
    })
  }

  /** Streams an answer. The head is sent with the first token, so that a request that fails before gets an error status. */
  private async stream (c: StandInContext, kind: CompletionKind, work: EngineWork): Promise<Response> {
    return await new Promise(resolve => {
      const writer = new ChunkWriter({
        clock: this.clock,
        faults: this.faults,
        call: { method: c.req.method, path: c.req.path },
        onCancel: () => this.batch.cancel(request)
      })
      const begin = () => resolve(c.body(writer.body, 200, eventStreamHeaders))
      const { request, refused } = this.submit(c, work, {
        token: (position, token) => {
          begin()
          writer.write(tokenChunkOf(kind, request, position, token))
        },
        end: failed => {
          if (failed !== undefined) {
            resolve(errorResponseOf(failed))
            writer.fail(errorBodyOf(failed))
            return
          }
          begin()
          writer.write(lastChunkOf(kind, request))
          writer.end()
        }
      })
      if (refused !== undefined) resolve(errorResponseOf(refused))
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
    const body = await readJson(c, orderMessageSchema)
    if (body.isErr) return errorResponseOf(body.error)
    const waitMilliseconds = countQuerySchema.max(60_000).catch(0).parse(c.req.query('wait-ms'))
    const received = this.orders.receive(body.value)
    if (received.isErr) return errorResponseOf(received.error)
    if (received.value.state === 'running' && waitMilliseconds > 0) {
      await this.orders.ended(body.value.orderId, waitMilliseconds, this.closedSignal(c, 'wait'))
    }
    return c.json(received.value, received.value.state === 'running' ? 202 : 200)
  }
}

function answerOfResult (c: StandInContext, result: Result<object, Failure>): Response {
  return result.isErr ? errorResponseOf(result.error) : c.json(result.value)
}
