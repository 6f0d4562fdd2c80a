/**
 * One call to a worker of a pool, whose content this host does not interpret: makes attempts one after the other until
 * a worker answers the call or no further attempt is allowed. A call that must run at most once is sent again only if
 * no part of it was sent or the worker states that it did not run the call. Any other call is also sent again if its
 * worker fails before the caller has received any part of the response. A resumable stream continues on another worker
 * after its last complete event.
 */
import { Result } from 'true-myth'
import type { Dispatcher } from 'undici'
import { isNotSent, NotSentError } from '../clients/index.js'
import { abortAfter, type AbortTimer, errorResponses, type Failure, failure, type WorkerId } from '../common/index.js'
import type { RoutingRequest } from '../routing/index.js'
import { isConnectionLost, type MeasuredRequest, type RequestTracker, type Upstream } from '../upstreams/index.js'
import { type ResponseBody, destroyBody, discardBody, isEventStream, isRepeatedEvent, withCleanup } from './responseBodies.js'
import { AnswerProgress } from './AnswerProgress.js'
import { CallPrompt } from './CallPrompt.js'
import type { ResponseHead, KvSource } from './CallProtocol.js'
import { EventScanner } from './EventScanner.js'
import { EventSplitter } from './EventSplitter.js'
import { ownBytesOf } from './ownBytesOf.js'
import { permitUseOf } from './permitUseOf.js'
import type { ServiceResponse, ServiceContext, ServiceRequest } from './ServiceRequest.js'

/**
 * An attempt that did not end the call. `not_sent`: nothing was sent; `not_run`: the worker states that it did not run
 * the call; `broken`: the call may have run.
 */
interface FailedAttempt { kind: 'not_sent' | 'not_run' | 'broken', failure: Failure }

/** A response whose body has not been read to its end. */
interface OpenResponse {
  head: ResponseHead
  body: ResponseBody
  tracker: RequestTracker
  progress: AnswerProgress
  /** True if bytes behind the body are not read, since its length ends the use of the connection. */
  isRestUnread: boolean
  /** True if the worker states that it could not handle the call. */
  isFailure: boolean
  /** Closes the connection if it was opened for this call alone. */
  close: () => void
}

/** Reasons for stopping a call. */
const deadlinePassed = new Error('the deadline passed')
const callerDisconnected = new Error('the caller disconnected')

/** A stream of events that ended inside an event: its worker was lost, even if the connection was closed regularly. */
class TruncatedStreamError extends Error {
  constructor () {
    super('the stream ended inside an event')
  }
}

/** A response that ended with its connection, which the operating system closed since the process of the worker ended. */
class CrashedWorkerError extends Error {
  constructor () {
    super('the worker crashed before the response was complete')
  }
}

const emptyPrompt: RoutingRequest = { promptTokens: 0, promptBlocks: [] }

/**
 * Maximum number of declined attempts after which a call is sent to another worker. In a full pool all workers decline,
 * so further attempts do not help.
 */
const maxDeclinedAttempts = 2

/** Shortest time that a connection to a worker may take while others could serve the call, in milliseconds. */
const minConnectMilliseconds = 100

/** Makes the attempts of one call and delivers the response. */
export class ServiceCall {
  private readonly triedWorkers = new Set<WorkerId>()
  private possibleRuns = 0
  private hasBegun = false
  private hasFirstEvent = false
  private readonly prompt: CallPrompt
  private declinedAttempts = 0
  /** Software version of the workers that may go on with the stream; undefined if it has no event yet. */
  private boundVersion: string | undefined
  /** Time that workers spent on the call, over all attempts, in milliseconds. */
  upstreamMilliseconds = 0
  /** True if a worker received the call and may have run it. */
  mayHaveRun = false
  /** The worker of the latest attempt. */
  worker: WorkerId | undefined

  constructor (private readonly request: ServiceRequest, private readonly context: ServiceContext) {
    this.prompt = new CallPrompt(request, context)
  }

  /** Attempts so far that reached a worker. */
  get attempts (): number {
    return this.possibleRuns + this.declinedAttempts
  }

  /**
   * Makes the call. Errors: `not_run`, `overloaded`, `outcome_unknown`, `upstream_failed`, `deadline_exceeded`,
   * `cancelled`. The signal aborts when the caller disconnects; it does not stop a non-idempotent call, unless its
   * response is streamed.
   */
  async run (signal?: AbortSignal): Promise<Result<ServiceResponse, Failure>> {
    const { clock } = this.context
    const timer = abortAfter(clock, Math.max(0, this.request.deadline - clock.monotonic()), deadlinePassed)
    const stop = new AbortController()
    timer.signal.addEventListener('abort', () => stop.abort(deadlinePassed), { once: true })
    const stopOnDisconnect = (): void => { stop.abort(callerDisconnected) }
    if (this.stopsOnDisconnect) signal?.addEventListener('abort', stopOnDisconnect, { once: true })
    if (this.stopsOnDisconnect && signal?.aborted) stopOnDisconnect()
    const bound = await this.bindResumption()
    const result = bound.isErr
      ? Result.err<ServiceResponse, Failure>(bound.error)
      : (await this.runAttempts(stop.signal)).mapErr(cause => this.failureAfterRun(cause))
    const cleanUp = async (): Promise<void> => {
      this.prompt.close()
      timer.cancel()
      signal?.removeEventListener('abort', stopOnDisconnect)
    }
    if (result.isOk && result.value.remainingBody !== undefined) {
      return Result.ok({ ...result.value, remainingBody: withCleanup(result.value.remainingBody, cleanUp) })
    }
    await cleanUp()
    return result
  }

  private get stopsOnDisconnect (): boolean {
    return this.request.idempotent || this.request.delivery === 'stream'
  }

  /** Binds a call that takes up a stream to the version that began it. Errors: `not_run` if that is not known. */
  private async bindResumption (): Promise<Result<void, Failure>> {
    const { streamVersions, events } = this.context
    const { resumption, pool, requestId } = this.request
    if (streamVersions === undefined || resumption === undefined) return Result.ok(undefined)
    const version = await streamVersions.versionOf(pool, resumption.firstRequest)
    events.info('stream_taken_up', {
      request: requestId,
      first: resumption.firstRequest,
      pool,
      version: version.isOk ? version.value : undefined,
      reason: version.isErr ? version.error.message : undefined
    })
    if (version.isErr) return Result.err(version.error)
    this.boundVersion = version.value
    return Result.ok(undefined)
  }

  private async runAttempts (stop: AbortSignal): Promise<Result<ServiceResponse, Failure>> {
    let lastFailedAttempt: FailedAttempt | undefined
    for (;;) {
      if (stop.aborted) return Result.err(this.stopFailure(stop, lastFailedAttempt))
      const chosen = await this.choose(stop)
      if (stop.aborted) return Result.err(this.stopFailure(stop, lastFailedAttempt))
      if (chosen.isErr) return Result.err(chosen.error)
      const upstream = chosen.value
      if (upstream === undefined) return Result.err(this.failureWithoutWorker(lastFailedAttempt))
      const result = await this.attempt(upstream, stop)
      if (result.isOk && !this.tryTakeRetryAfterResponse(result.value)) return await this.deliver(result.value, stop)
      if (result.isOk) {
        this.discard(result.value)
        continue
      }
      lastFailedAttempt = result.error
      this.logFailure(upstream, lastFailedAttempt)
      if (!this.tryTakeRetry(lastFailedAttempt)) return Result.err(lastFailedAttempt.failure)
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
    if (kind === 'not_run') return this.declinedAttempts <= maxDeclinedAttempts && this.context.budget.tryTake(this.request.pool)
    return this.mayRunAgain && this.context.budget.tryTake(this.request.pool)
  }

  /** True if one more worker may run the call. */
  private get mayRunAgain (): boolean {
    return this.request.idempotent && this.possibleRuns < (this.request.maxAttempts ?? Infinity)
  }

  private failureWithoutWorker (lastFailedAttempt: FailedAttempt | undefined): Failure {
    if (lastFailedAttempt?.kind === 'broken') return lastFailedAttempt.failure
    const { pool } = this.request
    const retryAfterMilliseconds = this.context.upstreams.millisecondsUntilAvailable(pool)
    const detail = retryAfterMilliseconds === undefined ? undefined : { retryAfterMilliseconds }
    return failure('not_run', `no worker of pool ${pool} is available`, detail)
  }

  /** Once an attempt may have run, a later failure must not state that the call did not run. */
  private failureAfterRun (cause: Failure): Failure {
    if (!this.mayHaveRun || !errorResponses[cause.kind].notRun) return cause
    return failure('upstream_failed', `an attempt failed and no other could complete the call: ${cause.message}`)
  }

  /** Takes a retry if the worker could not handle the call, the call may run again and an untried worker is available. */
  private tryTakeRetryAfterResponse (response: OpenResponse): boolean {
    if (!response.isFailure || !this.mayRunAgain) return false
    return this.untriedWorkers().length > 0 && this.context.budget.tryTake(this.request.pool)
  }

  /**
   * Chooses a worker. No worker is tried twice, since a call that failed on all workers has no better chance on one of
   * them. The prompt is computed before the choice, since workers may leave during the seconds that the computation can
   * take. Errors: those of `PromptComputation.compute` and `RequestPermits.choose`, and `quarantined`.
   */
  private async choose (stop: AbortSignal): Promise<Result<Upstream | undefined, Failure>> {
    const refusal = this.refusalOfPrompt()
    if (refusal !== undefined) return Result.err(refusal)
    const computed = this.untriedWorkers().length > 0 ? await this.prompt.compute(stop) : Result.ok<void, Failure>(undefined)
    const refusalAfterWait = this.refusalOfPrompt()
    if (refusalAfterWait !== undefined) return Result.err(refusalAfterWait)
    if (computed.isErr) return Result.err(computed.error)
    const candidates = this.untriedWorkers()
    const scheduled = this.prompt.preferredOf(candidates)
    if (scheduled !== undefined && this.prompt.takePermit()) return Result.ok(scheduled)
    return await this.choosePermitted(scheduled ?? this.chooseAmong(candidates), stop)
  }

  private chooseAmong (candidates: readonly Upstream[]): Upstream | undefined {
    const { context: { servicePolicy }, request: { prompt = emptyPrompt } } = this
    if (this.triedWorkers.size === 0) return servicePolicy.choose(prompt, candidates)
    return servicePolicy.chooseAfterFailure(prompt, candidates)
  }

  /** Returns the preferred worker, or another one if that states a limit and no permit is available. */
  private async choosePermitted (
    preferred: Upstream | undefined,
    stop: AbortSignal
  ): Promise<Result<Upstream | undefined, Failure>> {
    const { permits } = this.context
    if (preferred === undefined || permits === undefined) return Result.ok(preferred)
    return await permits.choose({
      ...permitUseOf(this.request),
      candidates: () => this.untriedWorkers(),
      choose: unlimited => this.chooseAmong(unlimited)
    }, preferred, stop)
  }

  private refusalOfPrompt (): Failure | undefined {
    const { prompt } = this.request
    return prompt === undefined ? undefined : this.context.quarantine?.refusalOf(prompt)
  }

  private untriedWorkers (): readonly Upstream[] {
    const candidates = this.workersOfVersion(this.context.upstreams.candidatesForPool(this.request.pool))
    return this.triedWorkers.size === 0 ? candidates : candidates.filter(({ id }) => !this.triedWorkers.has(id))
  }

  /** The workers that may send the next event of the stream; all of them if the call is no stream that may go on. */
  private workersOfVersion (candidates: readonly Upstream[]): readonly Upstream[] {
    const { streamVersions } = this.context
    if (streamVersions === undefined) return candidates
    const { boundVersion } = this
    if (boundVersion !== undefined) return candidates.filter(({ softwareVersion }) => softwareVersion === boundVersion)
    return this.isResumable ? streamVersions.eligible(this.request.pool, candidates) : candidates
  }

  private get isResumable (): boolean {
    return this.request.idempotent && this.request.delivery === 'stream'
  }

  private async attempt (
    upstream: Upstream,
    stop: AbortSignal,
    resumeAfter?: string
  ): Promise<Result<OpenResponse, FailedAttempt>> {
    this.triedWorkers.add(upstream.id)
    this.worker = upstream.id
    const prompt = this.request.prompt ?? emptyPrompt
    const kvSource = this.prompt.source
    const { servicePolicy, upstreams } = this.context
    const { outstanding, runningDecodes, queuedPrefillTokens } = upstream.load
    this.context.events.info('service_attempt_started', {
      request: this.request.requestId,
      worker: upstream.id,
      own_zone: upstream.isInOwnZone,
      outstanding,
      streams: runningDecodes,
      queued: queuedPrefillTokens,
      limit: upstream.limit.perSecond,
      prompt_at: kvSource?.upstream.id,
      resumed_after: resumeAfter
    })
    const prefillTokens = kvSource === undefined ? servicePolicy.prefillTokens(prompt, upstream) : 0
    const tracker = upstreams.begin(upstream, prefillTokens, this.measuredRequest())
    servicePolicy.recordSent(prompt, upstream)
    this.prompt.attemptStarted(upstream.id)
    const result = await this.send(upstream, tracker, stop, { resumeAfter, kvSource })
    const isPromptUnfetched = result.isErr && (result.error.kind === 'not_sent' || (result.error.kind === 'not_run' && this.declinedAttempts === 1))
    if (!isPromptUnfetched) this.prompt.markFetched()
    return result
  }

  /** What the attempt tells about its worker; nothing if it computes a prompt or continues a stream. */
  private measuredRequest (): MeasuredRequest | undefined {
    const { kind, pool, prompt, startDueAt } = this.request
    if (kind === undefined || prompt !== undefined) return undefined
    // An attempt after another one began late, which is not due to its worker.
    const isFirst = this.triedWorkers.size === 1 && startDueAt !== undefined
    return { kind: `${pool}/${kind}`, dueMilliseconds: isFirst ? startDueAt - this.context.clock.monotonic() : undefined }
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
    const dedicatedClient = protocol.usesDedicatedConnection(request) ? upstream.openConnection() : undefined
    const close = (): void => { dedicatedClient?.destroy().catch(() => {}) }
    const responseTimer = this.startResponseTimer()
    const connectTimer = this.startConnectTimer()
    const isFurtherCall = upstream.hasCarried(request.requestId)
    let sentAt = clock.wall()
    const timers = [responseTimer, connectTimer].flatMap(timer => timer === undefined ? [] : [timer.signal])
    try {
      const response = await upstream.request({
        requestId: request.requestId,
        method: request.method as Dispatcher.HttpMethod,
        path: request.path,
        headers: protocol.requestHeaders({ request, upstream, remainingMilliseconds, resumeAfter, kvSource }),
        body: request.body ?? null,
        signal: timers.length === 0 ? stop : AbortSignal.any([stop, ...timers]),
        onSent: () => {
          sentAt = clock.wall()
          connectTimer?.cancel()
        }
      }, dedicatedClient)
      responseTimer?.cancel()
      const head = { status: response.statusCode, reason: response.statusText, headers: response.headers }
      const responseClass = protocol.classifyResponse(request, upstream, head)
      if (responseClass === 'answered' || responseClass === 'failed') {
        this.possibleRuns += 1
        const isClosed = isFurtherCall || /\bclose\b/i.test(String(head.headers.connection ?? ''))
        const isRestUnread = isClosed && head.headers['content-length'] !== undefined
        const progress = new AnswerProgress(clock)
        const isFailure = responseClass === 'failed'
        if (!isEventStream(head)) this.recordBegin(sentAt)
        return Result.ok({ head, body: response.body, tracker, progress, isRestUnread, isFailure, close })
      }
      if (responseClass === 'not_run') {
        this.declinedAttempts += 1
        tracker.end('declined')
        discardBody(response.body)
        close()
        return Result.err({ kind: 'not_run', failure: failure('not_run', `the worker declined the call with status ${head.status}`) })
      }
      destroyBody(response.body)
      if (!protocol.isResponseTo(request, head)) this.context.upstreams.doubtConnections(upstream, 'foreign_response')
      throw new Error(protocol.foreignReason(head))
    } catch (caught) {
      responseTimer?.cancel()
      connectTimer?.cancel()
      close()
      this.recordLoss(caught, upstream, stop)
      return Result.err(this.endFailedAttempt(caught as Error, tracker, stop))
    }
  }

  /** Starts the timeout for the start of the response; returns undefined if the call may be sent to no other worker. */
  private startResponseTimer (): AbortTimer | undefined {
    const { attemptTimeoutMilliseconds, maxAttempts = Infinity, idempotent } = this.request
    if (attemptTimeoutMilliseconds === undefined || !idempotent || this.possibleRuns + 1 >= maxAttempts) return undefined
    if (this.untriedWorkers().length === 0) return undefined
    return abortAfter(this.context.clock, attemptTimeoutMilliseconds, new Error(`no response within ${attemptTimeoutMilliseconds} ms`))
  }

  /**
   * Starts the timeout for the connection to the worker; returns undefined if there is no other worker. Half of the time
   * until the response is due is left to the others.
   */
  private startConnectTimer (): AbortTimer | undefined {
    if (this.untriedWorkers().length === 0) return undefined
    const { clock } = this.context
    const untilDue = (this.request.startDueAt ?? this.request.deadline) - clock.monotonic()
    const milliseconds = Math.max(minConnectMilliseconds, untilDue / 2)
    return abortAfter(clock, milliseconds, new Error(`no connection within ${Math.round(milliseconds)} ms`))
  }

  private endFailedAttempt (caught: Error, tracker: RequestTracker, stop: AbortSignal): FailedAttempt {
    const notSent = isNotSent(caught)
    const isRefused = notSent && !(caught instanceof NotSentError)
    const milliseconds = tracker.end(stop.aborted ? 'left' : isRefused ? 'refused' : 'failed')
    if (notSent) return { kind: 'not_sent', failure: failure('not_run', `could not connect to the worker: ${caught.message}`) }
    this.possibleRuns += 1
    this.recordRun(milliseconds)
    return { kind: 'broken', failure: this.failureOf(caught, stop) }
  }

  /**
   * Reads the response as `delivery` requires. If a response that is buffered breaks off, a call that may run again is
   * sent to another worker.
   */
  private async deliver (openResponse: OpenResponse, stop: AbortSignal): Promise<Result<ServiceResponse, Failure>> {
    if (this.request.delivery === 'stream') return Result.ok(this.createStreamedResponse(openResponse, stop))
    try {
      return Result.ok(await this.readResponse(openResponse, stop))
    } catch (caught) {
      this.recordLoss(caught, openResponse.tracker.upstream, stop, openResponse.progress)
      const failedAttempt = this.endFailedAttempt(caught as Error, openResponse.tracker, stop)
      // This attempt was already counted when the head of its response arrived.
      this.possibleRuns -= 1
      openResponse.close()
      this.logFailure(openResponse.tracker.upstream, failedAttempt)
      if (!this.tryTakeRetry(failedAttempt)) return Result.err(failedAttempt.failure)
      return await this.runAttempts(stop)
    }
  }

  private async readResponse (openResponse: OpenResponse, stop: AbortSignal): Promise<ServiceResponse> {
    const limit = this.request.idempotent ? this.context.maxBufferedBytes : this.context.maxNonIdempotentResponseBytes
    const iterator = this.bytesOf(openResponse, stop)
    const parts: Buffer[] = []
    let size = 0
    let done = false
    let hasRoom = true
    while (!done && size <= limit && (hasRoom || !this.request.idempotent)) {
      const read = await iterator.next()
      if (read.done === true) done = true
      else {
        parts.push(read.value)
        size += read.value.length
        hasRoom = this.request.holdResponse?.(read.value.length) ?? true
      }
    }
    if (!done && !this.request.idempotent) {
      destroyBody(openResponse.body)
      throw new Error(`the response is larger than ${limit} bytes`)
    }
    const end = async (): Promise<void> => { this.endRequest(openResponse) }
    if (done) {
      this.recordAnswer(openResponse)
      await end()
    }
    return {
      ...this.headOf(openResponse),
      body: Buffer.concat(parts),
      remainingBody: done ? undefined : withCleanup({ [Symbol.asyncIterator]: () => iterator }, end)
    }
  }

  /**
   * The bytes of a response as they arrive. Throws if the response ended with its connection and its worker has crashed: the
   * close of the connection is then no sign that the response is complete.
   */
  private async * bytesOf (
    { head, body, tracker: { upstream }, progress, isRestUnread }: OpenResponse,
    stop: AbortSignal
  ): AsyncGenerator<Buffer> {
    for await (const piece of ownBytesOf({ body, upstream, isRestUnread }, this.context)) {
      progress.recordPart()
      if (isEventStream(head)) this.recordBegin(this.context.clock.wall())
      yield piece
    }
    if (!endsWithConnection(this.request.method, head)) return
    const hasCrashed = await this.context.upstreams.hasCrashed(upstream, stop)
    stop.throwIfAborted()
    if (hasCrashed) throw new CrashedWorkerError()
  }

  private headOf ({ head }: OpenResponse): Pick<ServiceResponse, 'status' | 'headers'> {
    return { status: head.status, headers: this.context.protocol.responseHeaders(head.headers) }
  }

  private endRequest (openResponse: OpenResponse): void {
    this.recordRun(openResponse.tracker.end(openResponse.isFailure ? 'failed' : 'answered'))
    openResponse.close()
  }

  private discard (openResponse: OpenResponse): void {
    this.endRequest(openResponse)
    destroyBody(openResponse.body)
  }

  private createStreamedResponse (openResponse: OpenResponse, stop: AbortSignal): ServiceResponse {
    const resumable = this.request.idempotent && isEventStream(openResponse.head)
    const body = resumable ? this.streamEvents(openResponse, stop) : this.streamUnchanged(openResponse, stop)
    return { ...this.headOf(openResponse), body: Buffer.alloc(0), remainingBody: body }
  }

  /**
   * The bytes of a response that is not resumed, as they arrive. Throws if a stream of events ends inside an event: its
   * worker stopped, although the end of the connection may look like that of a complete response.
   */
  private async * streamUnchanged (openResponse: OpenResponse, stop: AbortSignal): AsyncGenerator<Buffer> {
    const scanner = isEventStream(openResponse.head) ? new EventScanner() : undefined
    try {
      for await (const piece of this.streamBytes(openResponse, stop, scanner)) {
        scanner?.add(piece)
        yield piece
      }
    } catch (caught) {
      if (!stop.aborted) this.logFailure(openResponse.tracker.upstream, { kind: 'broken', failure: this.failureOf(caught as Error, stop) })
      throw caught
    }
  }

  /** The bytes of a streamed response as they arrive. Throws if the response ends inside an event. */
  private async * streamBytes (
    openResponse: OpenResponse,
    stop: AbortSignal,
    events?: { readonly isInsideEvent: boolean }
  ): AsyncGenerator<Buffer> {
    let isComplete = false
    try {
      for await (const piece of this.bytesOf(openResponse, stop)) {
        openResponse.tracker.recordFirstToken()
        this.prompt.answerStarted()
        yield piece
      }
      if (events?.isInsideEvent === true) throw new TruncatedStreamError()
      isComplete = true
      this.recordAnswer(openResponse)
    } catch (caught) {
      this.recordLoss(caught, openResponse.tracker.upstream, stop, openResponse.progress)
      throw caught
    } finally {
      if (isComplete) this.endRequest(openResponse)
      else this.endInterrupted(openResponse, stop)
    }
  }

  /**
   * Records a complete answer. One that ends with its connection may have been cut by a worker that has already restarted,
   * unless it is an event stream that went on for longer than a prompt needs to crash its worker.
   */
  private recordAnswer ({ head, progress }: OpenResponse): void {
    const { prompt } = this.request
    const wentOn = isEventStream(head) && !progress.isBeginning
    if (prompt !== undefined && head.status === 200 && (hasLength(head) || wentOn)) this.context.quarantine?.recordAnswer(prompt)
  }

  /** Records an error that shows the loss of a worker which has just begun to answer the prompt, or has not begun. */
  private recordLoss (caught: unknown, upstream: Upstream, stop: AbortSignal, progress?: AnswerProgress): void {
    const { prompt, requestId } = this.request
    const { quarantine } = this.context
    const hasCrashed = caught instanceof CrashedWorkerError
    const isLost = hasCrashed || caught instanceof TruncatedStreamError || isConnectionLost(caught)
    if (!isLost || quarantine === undefined || prompt === undefined || stop.aborted) return
    if (progress?.isBeginning === false) return
    const { id: worker, description: { worker: { address } } } = upstream
    if (hasCrashed) quarantine.recordCrash(prompt, worker, requestId)
    else quarantine.recordConnectionLoss(prompt, { worker, address }, requestId)
  }

  private endInterrupted (openResponse: OpenResponse, stop: AbortSignal): void {
    this.recordRun(openResponse.tracker.end(stop.aborted ? 'left' : 'failed'))
    destroyBody(openResponse.body)
    openResponse.close()
  }

  /**
   * The complete events of a stream. A stream that breaks continues on another worker after the last complete event.
   */
  private async * streamEvents (firstResponse: OpenResponse, stop: AbortSignal): AsyncGenerator<Buffer> {
    let openResponse = firstResponse
    let lastId: string | undefined
    for (;;) {
      const splitter = new EventSplitter()
      try {
        for await (const piece of this.streamBytes(openResponse, stop, splitter)) {
          for (const event of splitter.add(piece)) {
            if (isRepeatedEvent(event.id, lastId)) continue
            lastId = event.id ?? lastId
            this.recordFirstEvent(openResponse.tracker.upstream)
            yield event.bytes
          }
        }
        return
      } catch (caught) {
        const failedAttempt: FailedAttempt = { kind: 'broken', failure: this.failureOf(caught as Error, stop) }
        this.logFailure(openResponse.tracker.upstream, failedAttempt)
        if (stop.aborted || !this.mayGoOn(openResponse.tracker.upstream) || !this.tryTakeRetry(failedAttempt)) throw caught
        openResponse = await this.resume(lastId, stop, caught as Error)
      }
    }
  }

  /** Binds the stream to the version of the worker that sent its first event, and makes that version known. */
  private recordFirstEvent (upstream: Upstream): void {
    const { streamVersions } = this.context
    if (streamVersions === undefined || this.hasFirstEvent) return
    this.hasFirstEvent = true
    if (this.request.resumption !== undefined) return
    this.boundVersion = upstream.softwareVersion
    const { pool, requestId: request } = this.request
    streamVersions.recordBegin({ pool, request }, upstream)
  }

  /** True if the version of the events so far is known, so that another worker may send the rest. */
  private mayGoOn (upstream: Upstream): boolean {
    const { streamVersions } = this.context
    if (streamVersions === undefined || !this.hasFirstEvent) return true
    return this.boundVersion !== undefined && streamVersions.isCertain(upstream.id, this.boundVersion)
  }

  private async resume (lastId: string | undefined, stop: AbortSignal, cause: Error): Promise<OpenResponse> {
    for (;;) {
      const chosen = await this.choose(stop)
      if (chosen.isErr || chosen.value === undefined || stop.aborted) throw cause
      const upstream = chosen.value
      const result = await this.attempt(upstream, stop, lastId)
      // Anything else would appear in the middle of the caller's stream.
      if (result.isOk && isEventStream(result.value.head)) return result.value
      if (result.isOk) {
        this.discard(result.value)
        throw cause
      }
      this.logFailure(upstream, result.error)
      if (stop.aborted || !this.tryTakeRetry(result.error)) throw cause
    }
  }

  /** Records that a worker began to run the call, at a Unix time in milliseconds. Further runs do not count. */
  private recordBegin (at: number): void {
    if (this.hasBegun) return
    this.hasBegun = true
    this.context.runObserver?.runBegan(this.request, at)
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

  private stopFailure (stop: AbortSignal, lastFailedAttempt?: FailedAttempt): Failure {
    if (lastFailedAttempt?.kind === 'broken' && !this.request.idempotent) return lastFailedAttempt.failure
    if (!this.mayHaveRun) return failure('not_run', 'the deadline passed or the caller disconnected before the call was sent')
    return stop.reason === deadlinePassed
      ? failure('deadline_exceeded', 'the deadline passed before the call was answered')
      : failure('cancelled', 'the caller disconnected')
  }
}

/** Statuses of responses without a body (RFC 9112, section 6.3). */
const bodylessStatuses: ReadonlySet<number> = new Set([204, 304])

/** True if nothing but the close of the connection marks the end of the response. */
function endsWithConnection (method: string, head: ResponseHead): boolean {
  return !hasLength(head) && method !== 'HEAD' && !bodylessStatuses.has(head.status)
}

/** True if the response states where it ends, by its length or in chunks. */
function hasLength ({ headers }: ResponseHead): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
