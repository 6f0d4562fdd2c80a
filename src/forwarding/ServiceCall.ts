/**
 * One call to a worker of a pool, whose content this host does not interpret: makes attempts one after the other until
 * one is answered or no further one is allowed. A call that must run at most once is sent again only if nothing of it
 * was sent or the worker states that it did not run it. Any other call is also sent again if its worker fails before
 * the caller has received any of the answer. A resumable stream continues at another worker after its last complete
 * event.
 */
import { Result } from 'true-myth'
import { Client, type Dispatcher } from 'undici'
import { isNotSent } from '../clients/HttpClient.js'
import { abortAfter, type AbortTimer, errorResponses, type Failure, failure, type WorkerId } from '../common/index.js'
import type { RoutingRequest } from '../routing/index.js'
import { connectTimeoutMilliseconds, connectUpstream, type RequestTracker, type Upstream } from '../upstreams/index.js'
import { type ResponseBody, destroyBody, isRepeatedEvent, withCleanup } from './responseBodies.js'
import type { ResponseHead, KvSource } from './CallProtocol.js'
import { EventSplitter } from './EventSplitter.js'
import type { ServiceResponse, ServiceContext, ServiceRequest } from './ServiceRequest.js'

/**
 * An attempt that did not end the call. `not_sent`: nothing was sent; `not_run`: the worker states that it did not run
 * the call; `broken`: the call may have run.
 */
interface FailedAttempt { kind: 'not_sent' | 'not_run' | 'broken', failure: Failure }

/** An answer of a worker whose body has not been read to its end. */
interface OpenResponse {
  head: ResponseHead
  body: ResponseBody
  tracker: RequestTracker
  /** True if the worker states that it could not handle the call. */
  failed: boolean
  /** Closes the connection if it was opened for this call alone. */
  close: () => void
}

/** Reasons for stopping a call. */
const deadlinePassed = new Error('the deadline passed')
const callerDisconnected = new Error('the caller disconnected')

const emptyPrompt: RoutingRequest = { promptTokens: 0, promptBlocks: [] }

/** Refusals up to which a call is sent to another worker; in a full pool all workers refuse, so more do not help. */
const maxRefusals = 2

/** One call to a worker of a pool. */
export class ServiceCall {
  private readonly triedWorkers = new Set<WorkerId>()
  private possibleRuns = 0
  /** A computed prompt that no worker has fetched yet. */
  private kvSource: KvSource | undefined
  private hasComputedPrompt = false
  private refusals = 0
  /** Time that workers spent on the call, over all attempts, in milliseconds. */
  upstreamMilliseconds = 0
  /** True if a worker received the call and may have run it. */
  mayHaveRun = false
  /** The worker of the latest attempt. */
  worker: WorkerId | undefined

  constructor (private readonly request: ServiceRequest, private readonly context: ServiceContext) {}

  /** Attempts so far that reached a worker. */
  get attempts (): number {
    return this.possibleRuns + this.refusals
  }

  /**
   * Makes the call. Errors: `not_run`, `outcome_unknown`, `upstream_failed`, `deadline_exceeded`, `cancelled`.
   * The signal aborts when the caller disconnects; it does not stop a non-idempotent call, unless its answer is streamed.
   */
  async run (signal?: AbortSignal): Promise<Result<ServiceResponse, Failure>> {
    const { clock } = this.context
    const timer = abortAfter(clock, Math.max(0, this.request.deadline - clock.monotonic()), deadlinePassed)
    const stop = new AbortController()
    timer.signal.addEventListener('abort', () => stop.abort(deadlinePassed), { once: true })
    const stopOnDisconnect = (): void => { stop.abort(callerDisconnected) }
    if (this.stopsOnDisconnect) signal?.addEventListener('abort', stopOnDisconnect, { once: true })
    if (this.stopsOnDisconnect && signal?.aborted) stopOnDisconnect()
    const result = (await this.runAttempts(stop.signal)).mapErr(failed => this.failureAfterRun(failed))
    this.releaseUnfetchedPrompt()
    const cleanUp = async (): Promise<void> => {
      timer.cancel()
      signal?.removeEventListener('abort', stopOnDisconnect)
    }
    if (result.isOk && result.value.remainingBody !== undefined) {
      return Result.ok({ ...result.value, rest: withCleanup(result.value.remainingBody, cleanUp) })
    }
    await cleanUp()
    return result
  }

  private get stopsOnDisconnect (): boolean {
    return this.request.idempotent || this.request.delivery === 'stream'
  }

  private async runAttempts (stop: AbortSignal): Promise<Result<ServiceResponse, Failure>> {
    let last: FailedAttempt | undefined
    for (;;) {
      if (stop.aborted) return Result.err(this.stopFailure(stop, last))
      const upstream = await this.choose(stop)
      if (stop.aborted) return Result.err(this.stopFailure(stop, last))
      if (upstream === undefined) {
        return Result.err(this.failureWithoutWorker(last))
      }
      const attempted = await this.attempt(upstream, stop)
      if (attempted.isOk && !this.tryTakeRetryAfterResponse(attempted.value)) return await this.deliver(attempted.value, stop)
      if (attempted.isOk) {
        this.discard(attempted.value)
        continue
      }
      last = attempted.error
      this.logFailure(upstream, last)
      if (!this.tryTakeRetry(last)) return Result.err(last.failure)
    }
  }

  private logFailure (upstream: Upstream, { kind, failure: { message } }: FailedAttempt): void {
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

  /** True if the call may be sent to another worker; takes a retry from the budget unless nothing was sent. */
  private tryTakeRetry ({ kind }: FailedAttempt): boolean {
    if (kind === 'not_sent') return true
    if (kind === 'not_run') return this.refusals <= maxRefusals && this.context.budget.tryTake(this.request.pool)
    return this.mayRunAgain && this.context.budget.tryTake(this.request.pool)
  }

  /** True if one more worker may run the call. */
  private get mayRunAgain (): boolean {
    return this.request.idempotent && this.possibleRuns < (this.request.maxAttempts ?? Infinity)
  }

  private failureWithoutWorker (last: FailedAttempt | undefined): Failure {
    return last?.kind === 'broken' ? last.failure : failure('not_run', `no worker of pool ${this.request.pool} is available`)
  }

  /** Once an attempt may have run, a later failure must not state that the call did not run. */
  private failureAfterRun (failed: Failure): Failure {
    if (!this.mayHaveRun || !errorResponses[failed.kind].notRun) return failed
    return failure('upstream_failed', `an attempt failed and no other could complete the call: ${failed.message}`)
  }

  /** Takes a retry if the worker could not handle the call, the call may run again and an untried worker is available. */
  private tryTakeRetryAfterResponse (answer: OpenResponse): boolean {
    if (!answer.failed || !this.mayRunAgain) return false
    return this.untried().length > 0 && this.context.budget.tryTake(this.request.pool)
  }

  /**
   * Chooses a worker. No worker is tried twice, since a call that failed on all workers has no better chance on one of
   * them. The prompt is computed before the choice, since that can take seconds and workers may leave meanwhile.
   */
  private async choose (stop: AbortSignal): Promise<Upstream | undefined> {
    if (this.untried().length > 0) await this.computePrompt(stop)
    return this.context.servicePolicy.choose(this.request.prompt ?? emptyPrompt, this.untried())
  }

  private untried (): readonly Upstream[] {
    const candidates = this.context.upstreams.candidatesForPool(this.request.pool)
    return this.triedWorkers.size === 0 ? candidates : candidates.filter(({ id }) => !this.triedWorkers.has(id))
  }

  private async attempt (
    upstream: Upstream,
    stop: AbortSignal,
    resumeAfter?: string
  ): Promise<Result<OpenResponse, FailedAttempt>> {
    this.triedWorkers.add(upstream.id)
    this.worker = upstream.id
    const prompt = this.request.prompt ?? emptyPrompt
    const { kvSource } = this
    const { servicePolicy, upstreams } = this.context
    const { outstanding, runningDecodes, queuedPrefillTokens } = upstream.load
    this.context.events.info('service_attempt_started', {
      request: this.request.requestId,
      worker: upstream.id,
      own_zone: upstream.isInOwnZone,
      outstanding,
      streams: runningDecodes,
      queued: queuedPrefillTokens,
      prompt_at: kvSource?.upstream.id,
      resumed_after: resumeAfter
    })
    const tracker = upstreams.begin(upstream, kvSource === undefined ? servicePolicy.prefillTokens(prompt, upstream) : 0)
    servicePolicy.recordSent(prompt, upstream)
    const sent = await this.send(upstream, tracker, stop, { resumeAfter, kvSource })
    const isPromptUnfetched = sent.isErr && (sent.error.kind === 'not_sent' || (sent.error.kind === 'not_run' && this.refusals === 1))
    if (!isPromptUnfetched) this.kvSource = undefined
    return sent
  }

  /**
   * Computes the prompt unless a computed one is still unfetched: a worker that refuses a call has mostly not fetched its
   * prompt, so the next worker is told to fetch it.
   */
  private async computePrompt (stop: AbortSignal): Promise<void> {
    if (this.kvSource !== undefined) return
    const isFirst = !this.hasComputedPrompt
    this.hasComputedPrompt = true
    this.kvSource = await this.context.promptComputation?.compute(this.request, isFirst, stop)
  }

  /** Frees a computed prompt that no worker has fetched. */
  private releaseUnfetchedPrompt (): void {
    const source = this.kvSource
    this.kvSource = undefined
    if (source !== undefined) this.context.promptComputation?.release(this.request, source).catch(() => {})
  }

  private async send (
    upstream: Upstream,
    tracker: RequestTracker,
    stop: AbortSignal,
    { resumeAfter, kvSource }: { resumeAfter: string | undefined, kvSource: KvSource | undefined }
  ): Promise<Result<OpenResponse, FailedAttempt>> {
    const { protocol, clock } = this.context
    const { request } = this
    const remainingMilliseconds = Math.max(1, Math.ceil(request.deadline - clock.monotonic()))
    const freshClient = protocol.usesDedicatedConnection(request)
      ? new Client(upstream.origin, { connect: connectUpstream(connectTimeoutMilliseconds), headersTimeout: 0, bodyTimeout: 0 })
      : undefined
    const close = (): void => { freshClient?.destroy().catch(() => {}) }
    const responseTimer = this.startResponseTimer()
    try {
      const answer = await (freshClient ?? upstream.http).request({
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: protocol.requestHeaders({ request, upstream, remainingMilliseconds, resumeAfter, kvSource }),
        body: request.body ?? null,
        signal: responseTimer === undefined ? stop : AbortSignal.any([stop, responseTimer.signal])
      })
      responseTimer?.cancel()
      const head = { status: answer.statusCode, headers: answer.headers }
      const responseClass = protocol.classifyResponse(request, upstream, head)
      if (responseClass === 'answered' || responseClass === 'failed') {
        this.possibleRuns += 1
        return Result.ok({ head, body: answer.body, tracker, failed: responseClass === 'failed', close })
      }
      if (responseClass === 'not_run') {
        this.refusals += 1
        tracker.end('declined')
        answer.body.dump().catch(() => {})
        close()
        return Result.err({ kind: 'not_run', failure: failure('not_run', `the worker refused the call with status ${head.status}`) })
      }
      destroyBody(answer.body)
      throw new Error(`the answer with status ${head.status} does not belong to the call`)
    } catch (caught) {
      responseTimer?.cancel()
      close()
      return Result.err(this.endFailedAttempt(caught as Error, tracker, stop))
    }
  }

  /** Starts a timer for the start of the answer; none if no other worker may be asked instead. */
  private startResponseTimer (): AbortTimer | undefined {
    const { attemptTimeoutMilliseconds, maxAttempts = Infinity, idempotent } = this.request
    if (attemptTimeoutMilliseconds === undefined || !idempotent || this.possibleRuns + 1 >= maxAttempts) return undefined
    if (this.untried().length === 0) return undefined
    return abortAfter(this.context.clock, attemptTimeoutMilliseconds, new Error(`no answer within ${attemptTimeoutMilliseconds} ms`))
  }

  private endFailedAttempt (caught: Error, tracker: RequestTracker, stop: AbortSignal): FailedAttempt {
    const notSent = isNotSent(caught)
    const milliseconds = tracker.end(stop.aborted ? 'left' : notSent ? 'refused' : 'failed')
    if (notSent) return { kind: 'not_sent', failure: failure('not_run', `could not connect to the worker: ${caught.message}`) }
    this.possibleRuns += 1
    this.recordRun(milliseconds)
    return { kind: 'broken', failure: this.failureOf(caught, stop) }
  }

  /** Reads the answer as `delivery` requires. If it breaks off, a call that may run again is sent to another worker. */
  private async deliver (open: OpenResponse, stop: AbortSignal): Promise<Result<ServiceResponse, Failure>> {
    if (this.request.delivery === 'stream') return Result.ok(this.streamedAnswer(open, stop))
    try {
      return Result.ok(await this.readResponse(open))
    } catch (caught) {
      const failedAttempt = this.endFailedAttempt(caught as Error, open.tracker, stop)
      // This attempt was already counted when the head of its answer arrived.
      this.possibleRuns -= 1
      open.close()
      this.logFailure(open.tracker.upstream, failedAttempt)
      if (!this.tryTakeRetry(failedAttempt)) return Result.err(failedAttempt.failure)
      return await this.runAttempts(stop)
    }
  }

  private async readResponse (open: OpenResponse): Promise<ServiceResponse> {
    const limit = this.request.idempotent ? this.context.maxBufferedBytes : this.context.maxNonIdempotentResponseBytes
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
      destroyBody(open.body)
      throw new Error(`the answer is larger than ${limit} bytes`)
    }
    const end = async (): Promise<void> => { this.endRequest(open) }
    if (done) await end()
    return {
      ...this.headOf(open),
      body: Buffer.concat(parts),
      remainingBody: done ? undefined : withCleanup({ [Symbol.asyncIterator]: () => iterator }, end)
    }
  }

  private headOf ({ head }: OpenResponse): Pick<ServiceResponse, 'status' | 'headers'> {
    return { status: head.status, headers: this.context.protocol.responseHeaders(head.headers) }
  }

  private endRequest (open: OpenResponse): void {
    this.recordRun(open.tracker.end(open.failed ? 'failed' : 'answered'))
    open.close()
  }

  private discard (open: OpenResponse): void {
    this.endRequest(open)
    destroyBody(open.body)
  }

  private streamedAnswer (open: OpenResponse, stop: AbortSignal): ServiceResponse {
    const resumable = this.request.idempotent && open.head.status === 200
    const body = resumable ? this.streamEvents(open, stop) : this.streamBytes(open, stop)
    return { ...this.headOf(open), body: Buffer.alloc(0), remainingBody: body }
  }

  /** The bytes of a streamed answer as they arrive. */
  private async * streamBytes (open: OpenResponse, stop: AbortSignal): AsyncGenerator<Buffer> {
    let isComplete = false
    try {
      for await (const piece of open.body) {
        open.tracker.recordFirstToken()
        yield piece
      }
      isComplete = true
    } finally {
      if (isComplete) this.endRequest(open)
      else this.endInterrupted(open, stop)
    }
  }

  private endInterrupted (open: OpenResponse, stop: AbortSignal): void {
    this.recordRun(open.tracker.end(stop.aborted ? 'left' : 'failed'))
    destroyBody(open.body)
    open.close()
  }

  /** The complete events of a stream. If the stream breaks, it continues at another worker after the last event. */
  private async * streamEvents (first: OpenResponse, stop: AbortSignal): AsyncGenerator<Buffer> {
    let open = first
    let lastId: string | undefined
    for (;;) {
      const splitter = new EventSplitter()
      try {
        for await (const piece of this.streamBytes(open, stop)) {
          for (const event of splitter.add(piece)) {
            if (isRepeatedEvent(event.id, lastId)) continue
            lastId = event.id ?? lastId
            yield event.bytes
          }
        }
        if (!splitter.hasPartialEvent) return
        throw new Error('the stream ended inside an event')
      } catch (caught) {
        const failedAttempt: FailedAttempt = { kind: 'broken', failure: this.failureOf(caught as Error, stop) }
        this.logFailure(open.tracker.upstream, failedAttempt)
        if (stop.aborted || !this.tryTakeRetry(failedAttempt)) throw caught
        open = await this.resume(lastId, stop, caught as Error)
      }
    }
  }

  private async resume (lastId: string | undefined, stop: AbortSignal, cause: Error): Promise<OpenResponse> {
    for (;;) {
      const upstream = await this.choose(stop)
      if (upstream === undefined || stop.aborted) throw cause
      const next = await this.attempt(upstream, stop, lastId)
      if (next.isOk && next.value.head.status === 200) return next.value
      if (next.isOk) {
        this.discard(next.value)
        throw cause
      }
      this.logFailure(upstream, next.error)
      if (stop.aborted || !this.tryTakeRetry(next.error)) throw cause
    }
  }

  private recordRun (milliseconds: number): void {
    this.mayHaveRun = true
    this.upstreamMilliseconds += milliseconds
  }

  private failureOf (caught: Error, stop: AbortSignal): Failure {
    if (!this.request.idempotent) return failure('outcome_unknown', `the call was sent, but its outcome is unknown: ${caught.message}`)
    if (stop.aborted) return this.stopFailure(stop)
    return failure('upstream_failed', `the call failed: ${caught.message}`)
  }

  private stopFailure (stop: AbortSignal, last?: FailedAttempt): Failure {
    if (last?.kind === 'broken' && !this.request.idempotent) return last.failure
    if (!this.mayHaveRun) return failure('not_run', 'the deadline passed or the caller disconnected before the call was sent')
    return stop.reason === deadlinePassed
      ? failure('deadline_exceeded', 'the deadline passed before the call was answered')
      : failure('cancelled', 'the caller disconnected')
  }
}
