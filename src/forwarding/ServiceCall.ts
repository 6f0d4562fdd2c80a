/**
 * One opaque call to a worker of a pool: the attempts, one after the other, until one is answered or no further one
 * is allowed. A call that may run once is sent again only if nothing of it was sent or the worker states that it did
 * not run; any other call also when its worker breaks off before the caller got any of the answer. A stream that may
 * be resumed goes on at another worker after its last whole event.
 */
import { Result } from 'true-myth'
import { Client, type Dispatcher } from 'undici'
import { isNotSent } from '../clients/HttpClient.js'
import { abortAfter, type AbortTimer, errorAnswers, type Failure, failure, type WorkerId } from '../common/index.js'
import type { RoutingRequest } from '../routing/index.js'
import { connectTimeoutMilliseconds, connectUpstream, type Upstream, type UpstreamWork } from '../upstreams/index.js'
import { abandon, type AnswerBody, endingWith, isRepeated } from './answerBodies.js'
import type { AnswerHead, KvSource } from './CallProtocol.js'
import { EventSplitter } from './EventSplitter.js'
import type { ServiceAnswer, ServiceContext, ServiceRequest } from './ServiceRequest.js'

/**
 * Why an attempt did not end the call: `not_sent`; `not_run`, stated by the worker; `broken`, it may have run.
 */
interface Tried { kind: 'not_sent' | 'not_run' | 'broken', failure: Failure }

/** An open answer of a worker. */
interface OpenAnswer {
  head: AnswerHead
  body: AnswerBody
  work: UpstreamWork
  /** The worker says that it could not do its work. */
  failed: boolean
  /** Closes a connection that was opened for this call alone. */
  close: () => void
}

/** Why a call is stopped. */
const deadlinePassed = new Error('the deadline passed')
const callerLeft = new Error('the caller left')

const emptyPrompt: RoutingRequest = { promptTokens: 0, promptBlocks: [] }

/** Workers that refuse a call are replaced by others this often at most; a pool that is full stays full for all. */
const maxRefusals = 2

/** One call to a worker of a pool. */
export class ServiceCall {
  private readonly tried = new Set<WorkerId>()
  private ranOn = 0
  /** A computed prompt that no worker has fetched yet. */
  private kvSource: KvSource | undefined
  private hasComputedPrompt = false
  private refusals = 0
  /** Time that the service spent on the call, in milliseconds. */
  upstreamMilliseconds = 0
  /** True if a service got the call and may have run it. */
  hasRun = false
  /** The worker of the latest attempt. */
  worker: WorkerId | undefined

  constructor (private readonly request: ServiceRequest, private readonly context: ServiceContext) {}

  /** Attempts so far. */
  get attempts (): number {
    return this.ranOn + this.refusals
  }

  /**
   * Makes the call. Errors: `not_run`, `outcome_unknown`, `upstream_failed`, `deadline_exceeded`, `cancelled`.
   * The signal says that the caller left; it does not stop a whole answer of a call that is not idempotent.
   */
  async run (signal?: AbortSignal): Promise<Result<ServiceAnswer, Failure>> {
    const { clock } = this.context
    const timer = abortAfter(clock, Math.max(0, this.request.deadline - clock.monotonic()), deadlinePassed)
    const stop = new AbortController()
    timer.signal.addEventListener('abort', () => stop.abort(deadlinePassed), { once: true })
    const leave = (): void => { stop.abort(callerLeft) }
    if (this.stopsWithCaller) signal?.addEventListener('abort', leave, { once: true })
    if (this.stopsWithCaller && signal?.aborted) leave()
    const result = (await this.runAttempts(stop.signal)).mapErr(failed => this.asRun(failed))
    this.releasePrompt()
    const finish = async (): Promise<void> => {
      timer.end()
      signal?.removeEventListener('abort', leave)
    }
    if (result.isOk && result.value.rest !== undefined) {
      return Result.ok({ ...result.value, rest: endingWith(result.value.rest, finish) })
    }
    await finish()
    return result
  }

  private get stopsWithCaller (): boolean {
    return this.request.idempotent || this.request.delivery === 'stream'
  }

  private async runAttempts (stop: AbortSignal): Promise<Result<ServiceAnswer, Failure>> {
    let last: Tried | undefined
    for (;;) {
      if (stop.aborted) return Result.err(this.stopFailure(stop, last))
      const upstream = await this.choose(stop)
      if (stop.aborted) return Result.err(this.stopFailure(stop, last))
      if (upstream === undefined) {
        return Result.err(this.failureWithoutWorker(last))
      }
      const tried = await this.attempt(upstream, stop)
      if (tried.isOk && !this.shouldTryElsewhere(tried.value)) return await this.deliver(tried.value, stop)
      if (tried.isOk) {
        this.discard(tried.value)
        continue
      }
      last = tried.error
      this.noteFailure(upstream, last)
      if (!this.mayTryAgain(last)) return Result.err(last.failure)
    }
  }

  private noteFailure (upstream: Upstream, { kind, failure: { message } }: Tried): void {
    const { requestId, deadline } = this.request
    this.context.events.warn('service_attempt_failed', {
      request: requestId,
      worker: upstream.id,
      kind,
      attempt: this.attempts,
      remaining: Math.round(deadline - this.context.clock.monotonic()),
      reason: message
    })
  }

  private mayTryAgain ({ kind }: Tried): boolean {
    if (kind === 'not_sent') return true
    if (kind === 'not_run') return this.refusals <= maxRefusals && this.context.budget.tryTake(this.request.pool)
    return this.mayRunAgain && this.context.budget.tryTake(this.request.pool)
  }

  /** True if one more worker may run the call. */
  private get mayRunAgain (): boolean {
    return this.request.idempotent && this.ranOn < (this.request.maxAttempts ?? Infinity)
  }

  private failureWithoutWorker (last: Tried | undefined): Failure {
    return last?.kind === 'broken' ? last.failure : failure('not_run', `no worker of pool ${this.request.pool} is available`)
  }

  /** After an attempt that may have run, the failure of a later one must not say that the call did not run. */
  private asRun (failed: Failure): Failure {
    if (!this.hasRun || !errorAnswers[failed.kind].notRun) return failed
    return failure('upstream_failed', `an attempt failed and no other could complete the call: ${failed.message}`)
  }

  /** A call that a worker could not serve is sent to another one, if it may run again and there is one. */
  private shouldTryElsewhere (answer: OpenAnswer): boolean {
    if (!answer.failed || !this.mayRunAgain) return false
    return this.untried().length > 0 && this.context.budget.tryTake(this.request.pool)
  }

  /**
   * A worker is not tried twice, since a call that failed on all workers has no better chance on one of them. The
   * choice comes after the computation of the prompt, which can take seconds: workers leave meanwhile.
   */
  private async choose (stop: AbortSignal): Promise<Upstream | undefined> {
    if (this.untried().length > 0) await this.computePrompt(stop)
    return this.context.servicePolicy.choose(this.request.prompt ?? emptyPrompt, this.untried())
  }

  private untried (): readonly Upstream[] {
    const candidates = this.context.upstreams.candidatesForPool(this.request.pool)
    return this.tried.size === 0 ? candidates : candidates.filter(({ id }) => !this.tried.has(id))
  }

  private async attempt (upstream: Upstream, stop: AbortSignal, resumeAfter?: string): Promise<Result<OpenAnswer, Tried>> {
    this.tried.add(upstream.id)
    this.worker = upstream.id
    const prompt = this.request.prompt ?? emptyPrompt
    const { kvSource } = this
    const { servicePolicy, upstreams } = this.context
    const { outstanding, runningDecodes, queuedPrefillTokens } = upstream.load
    this.context.events.info('service_attempt_started', {
      request: this.request.requestId,
      worker: upstream.id,
      own_zone: upstream.ownZone,
      outstanding,
      streams: runningDecodes,
      queued: queuedPrefillTokens,
      prompt_at: kvSource?.upstream.id,
      resumed_after: resumeAfter
    })
    const work = upstreams.begin(upstream, kvSource === undefined ? servicePolicy.prefillTokens(prompt, upstream) : 0)
    servicePolicy.sent(prompt, upstream)
    const sent = await this.send(upstream, work, stop, { resumeAfter, kvSource })
    const isLeft = sent.isErr && (sent.error.kind === 'not_sent' || (sent.error.kind === 'not_run' && this.refusals === 1))
    if (!isLeft) this.kvSource = undefined
    return sent
  }

  /** A worker that refuses a call has mostly not fetched its prompt, so the next one is told to fetch it. */
  private async computePrompt (stop: AbortSignal): Promise<void> {
    if (this.kvSource !== undefined) return
    const isFirst = !this.hasComputedPrompt
    this.hasComputedPrompt = true
    this.kvSource = await this.context.promptComputation?.compute(this.request, isFirst, stop)
  }

  /** Frees a computed prompt that was not fetched. */
  private releasePrompt (): void {
    const source = this.kvSource
    this.kvSource = undefined
    if (source !== undefined) this.context.promptComputation?.release(this.request, source).catch(() => {})
  }

  private async send (
    upstream: Upstream,
    work: UpstreamWork,
    stop: AbortSignal,
    { resumeAfter, kvSource }: { resumeAfter: string | undefined, kvSource: KvSource | undefined }
  ): Promise<Result<OpenAnswer, Tried>> {
    const { protocol, clock } = this.context
    const { request } = this
    const remainingMilliseconds = Math.max(1, Math.ceil(request.deadline - clock.monotonic()))
    const fresh = protocol.usesFreshConnection(request)
      ? new Client(upstream.origin, { connect: connectUpstream(connectTimeoutMilliseconds), headersTimeout: 0, bodyTimeout: 0 })
      : undefined
    const close = (): void => { fresh?.destroy().catch(() => {}) }
    const patience = this.patience()
    try {
      const answer = await (fresh ?? upstream.http).request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: protocol.requestHeaders({ request, upstream, remainingMilliseconds, resumeAfter, kvSource }),
        body: request.body ?? null,
        signal: patience === undefined ? stop : AbortSignal.any([stop, patience.signal])
      })
      patience?.end()
      const head = { status: answer.statusCode, headers: answer.headers }
      const verdict = protocol.judge(request, upstream, head)
      if (verdict === 'answered' || verdict === 'failed') {
        this.ranOn += 1
        return Result.ok({ head, body: answer.body, work, failed: verdict === 'failed', close })
      }
      if (verdict === 'not_run') {
        this.refusals += 1
        work.end('declined')
        answer.body.dump().catch(() => {})
        close()
        return Result.err({ kind: 'not_run', failure: failure('not_run', `the worker refused the call with status ${head.status}`) })
      }
      abandon(answer.body)
      throw new Error(`the answer with status ${head.status} does not belong to the call`)
    } catch (caught) {
      patience?.end()
      close()
      return Result.err(this.failedAttempt(caught as Error, work, stop))
    }
  }

  /** A timer for the start of the answer, where another worker could be asked instead. */
  private patience (): AbortTimer | undefined {
    const { patienceMilliseconds, maxAttempts = Infinity, idempotent } = this.request
    if (patienceMilliseconds === undefined || !idempotent || this.ranOn + 1 >= maxAttempts) return undefined
    if (this.untried().length === 0) return undefined
    return abortAfter(this.context.clock, patienceMilliseconds, new Error(`no answer within ${patienceMilliseconds} ms`))
  }

  private failedAttempt (caught: Error, work: UpstreamWork, stop: AbortSignal): Tried {
    const notSent = isNotSent(caught)
    const milliseconds = work.end(stop.aborted ? 'left' : notSent ? 'refused' : 'failed')
    if (notSent) return { kind: 'not_sent', failure: failure('not_run', `no connection to the worker: ${caught.message}`) }
    this.ranOn += 1
    this.ranFor(milliseconds)
    return { kind: 'broken', failure: this.failureOf(caught, stop) }
  }

  /** Reads an answer as far as its delivery wants; a call that may run again goes on elsewhere if it breaks meanwhile. */
  private async deliver (open: OpenAnswer, stop: AbortSignal): Promise<Result<ServiceAnswer, Failure>> {
    if (this.request.delivery === 'stream') return Result.ok(this.streamed(open, stop))
    try {
      return Result.ok(await this.readAnswer(open))
    } catch (caught) {
      const tried = this.failedAttempt(caught as Error, open.work, stop)
      // The attempt was counted when its head arrived.
      this.ranOn -= 1
      open.close()
      this.noteFailure(open.work.upstream, tried)
      if (!this.mayTryAgain(tried)) return Result.err(tried.failure)
      return await this.runAttempts(stop)
    }
  }

  private async readAnswer (open: OpenAnswer): Promise<ServiceAnswer> {
    const limit = this.request.idempotent ? this.context.maxBufferedBytes : this.context.maxOnceAnswerBytes
    const iterator = open.body[Symbol.asyncIterator]()
    const parts: Buffer[] = []
    let size = 0
    let done = false
    while (!done && size <= limit) {
      const read = await iterator.next()
      if (read.done === true) done = true
      else {
        parts.push(read.value)
        size += read.value.length
      }
    }
    if (!done && !this.request.idempotent) {
      abandon(open.body)
      throw new Error(`the answer is larger than ${limit} bytes`)
    }
    const end = async (): Promise<void> => { this.endWork(open) }
    if (done) await end()
    return {
      ...this.headOf(open),
      body: Buffer.concat(parts),
      rest: done ? undefined : endingWith({ [Symbol.asyncIterator]: () => iterator }, end)
    }
  }

  private headOf ({ head }: OpenAnswer): Pick<ServiceAnswer, 'status' | 'headers'> {
    return { status: head.status, headers: this.context.protocol.answerHeaders(head.headers) }
  }

  private endWork (open: OpenAnswer): void {
    this.ranFor(open.work.end(open.failed ? 'failed' : 'answered'))
    open.close()
  }

  private discard (open: OpenAnswer): void {
    this.endWork(open)
    abandon(open.body)
  }

  private streamed (open: OpenAnswer, stop: AbortSignal): ServiceAnswer {
    const resumable = this.request.idempotent && open.head.status === 200
    const body = resumable ? this.resumedEvents(open, stop) : this.pieces(open, stop)
    return { ...this.headOf(open), body: Buffer.alloc(0), rest: body }
  }

  /** The bytes of a streamed answer as they arrive. */
  private async * pieces (open: OpenAnswer, stop: AbortSignal): AsyncGenerator<Buffer> {
    let whole = false
    try {
      for await (const piece of open.body) {
        open.work.firstToken()
        yield piece
      }
      whole = true
    } finally {
      if (whole) this.endWork(open)
      else this.endBroken(open, stop)
    }
  }

  private endBroken (open: OpenAnswer, stop: AbortSignal): void {
    this.ranFor(open.work.end(stop.aborted ? 'left' : 'failed'))
    abandon(open.body)
    open.close()
  }

  /** The whole events of a stream; after a break it goes on at another worker behind the last event. */
  private async * resumedEvents (first: OpenAnswer, stop: AbortSignal): AsyncGenerator<Buffer> {
    let open = first
    let lastId: string | undefined
    for (;;) {
      const splitter = new EventSplitter()
      try {
        for await (const piece of this.pieces(open, stop)) {
          for (const event of splitter.add(piece)) {
            if (isRepeated(event.id, lastId)) continue
            lastId = event.id ?? lastId
            yield event.bytes
          }
        }
        if (!splitter.hasPartialEvent) return
        throw new Error('the stream ended inside an event')
      } catch (caught) {
        const tried: Tried = { kind: 'broken', failure: this.failureOf(caught as Error, stop) }
        this.noteFailure(open.work.upstream, tried)
        if (stop.aborted || !this.mayTryAgain(tried)) throw caught
        open = await this.resume(lastId, stop, caught as Error)
      }
    }
  }

  private async resume (lastId: string | undefined, stop: AbortSignal, cause: Error): Promise<OpenAnswer> {
    for (;;) {
      const upstream = await this.choose(stop)
      if (upstream === undefined || stop.aborted) throw cause
      const next = await this.attempt(upstream, stop, lastId)
      if (next.isOk && next.value.head.status === 200) return next.value
      if (next.isOk) {
        this.discard(next.value)
        throw cause
      }
      this.noteFailure(upstream, next.error)
      if (stop.aborted || !this.mayTryAgain(next.error)) throw cause
    }
  }

  private ranFor (milliseconds: number): void {
    this.hasRun = true
    this.upstreamMilliseconds += milliseconds
  }

  private failureOf (caught: Error, stop: AbortSignal): Failure {
    if (!this.request.idempotent) return failure('outcome_unknown', `the call was sent, but its outcome is unknown: ${caught.message}`)
    if (stop.aborted) return this.stopFailure(stop)
    return failure('upstream_failed', `the call failed: ${caught.message}`)
  }

  private stopFailure (stop: AbortSignal, last?: Tried): Failure {
    if (last?.kind === 'broken' && !this.request.idempotent) return last.failure
    if (!this.hasRun) return failure('not_run', 'the deadline passed or the caller left before the call was sent')
    return stop.reason === deadlinePassed
      ? failure('deadline_exceeded', 'the deadline passed before the call was answered')
      : failure('cancelled', 'the caller left')
  }
}
