/**
 * HTTP listener for callers. Request targets and header fields have to reach the workers unchanged, so the listener
 * uses Node's message objects: the `Request` object of the web platform would change both.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Result } from 'true-myth'
import { type AccountName, type Clock, errorResponses, errorBodyOf, type Failure, failure, type Hash } from '../common/index.js'
import { type ConnectionCounts, GracefulServer } from '../entry/index.js'
import type { RequestManager, ServiceResponse, ServiceCall } from '../forwarding/index.js'
import { type ClientIntake, headerBytesOf, type RequestIntake, sendBody } from '../intake/index.js'
import type { EventLog } from '../observability/index.js'
import { decodeRequest, type DecodedRequest } from './decodeRequest.js'
import type { CallerLimits, RouteTable } from './RouteConfiguration.js'
import { type InterruptionCause, RequestInterruption } from './RequestInterruption.js'
import type { RequestMetrics } from './RequestMetrics.js'
import { headerNames } from './WorkerProtocol.js'

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  /** `ip:port` */
  address: string
  routes: () => RouteTable | undefined
  /** False if the store may contain a newer configuration. */
  isConfigurationCurrent: () => boolean
  requests: RequestManager
  clock: Clock
  events: EventLog
  hash: Hash
  metrics: RequestMetrics
  /** Average delay of the event loop, in milliseconds. */
  eventLoopDelay: () => number
  /** Limits on what the callers may take of the host. */
  intake: ClientIntake
}

/**
 * Delay of the event loop above which requests are refused, in milliseconds. With more, most responses would miss their
 * latency target, and requests would be sent on long after their callers have left.
 */
const maxEventLoopDelayMilliseconds = 200

/** Delay of the event loop above which a request is held until connections that closed meanwhile are known. */
const busyEventLoopDelayMilliseconds = 20

/** Size in bytes above which Node itself rejects a header; `decode` checks the operators' lower limit. */
const maxHeaderBytes = 131_072

/**
 * Maximum number of connections that wait for `accept`; in a larger burst, callers would wait for TCP's retry after one
 * second.
 */
const listenBacklog = 1024

/** Interval at which Node checks for callers that send their headers too slowly, in milliseconds. */
const timeoutCheckMilliseconds = 500

/** Time limit for receiving a request with its body, in milliseconds; Node then closes the connection. */
const bodyTimeoutMilliseconds = 60_000

/**
 * Value of `retry-after` in error responses to requests that may be retried, in seconds; by then most causes (a full
 * pool, a worker that has just left) are over.
 */
const retryAfterSeconds = 0.3

/** Number of values of the 32-bit hash; divides a hash into a fraction from 0 (inclusive) to 1 (exclusive). */
const hashRange = 2 ** 32

/** Result and timing of a request, for its log line. */
interface RequestSummary {
  /** Status of the response, `broken` if it ended early, or `left` if the caller disconnected. */
  outcome: string
  result: Result<ServiceResponse, Failure>
  /** Monotonic time in milliseconds. */
  startedAt: number
  firstByteMilliseconds: number
  longestPauseMilliseconds: number
  /** Reason for which the response was not completed, if there is one. */
  interruption: InterruptionCause | undefined
}

/** Ends of a stop, as monotonic times in milliseconds. */
export interface StopLimits {
  /** Requests whose response has not begun receive a final answer. */
  finalAnswerAt: number
  /** The process exits. */
  exitAt: number
}

/** What a stop left open or took on late. */
export interface StopSummary extends ConnectionCounts {
  /** Number of requests that were read after the listener had closed. */
  lateRequests: number
  /** Time from the start of the stop to the latest request that was read, in milliseconds. */
  lastRequestMilliseconds: number | undefined
}

/** Accepts connections of callers and forwards their requests to workers. */
export class CallerListener {
  private readonly server: GracefulServer
  private limits: CallerLimits | undefined
  /** Monotonic time in milliseconds of the start of the stop. */
  private stoppingSince: number | undefined
  private stopLimits: StopLimits | undefined
  private isClosed = false
  /** Requests whose response has not begun. */
  private readonly unanswered = new Set<RequestInterruption>()
  /** Requests whose response has begun. */
  private readonly answered = new Set<RequestInterruption>()
  private lateRequests = 0
  private lastRequestMilliseconds: number | undefined

  constructor (private readonly options: CallerListenerOptions) {
    this.server = new GracefulServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: timeoutCheckMilliseconds,
      requestTimeout: bodyTimeoutMilliseconds,
      noDelay: true
    })
    options.intake.serve(this.server, (message, response, intake) => {
      this.handle(message, response, intake).catch(error => {
        options.events.error('request_handler_failed', { reason: error instanceof Error ? error.stack : String(error) })
        response.destroy()
      })
    })
  }

  /** Starts to accept connections. Rejects if the listener cannot bind to the address. */
  async listen (): Promise<void> {
    const separator = this.options.address.lastIndexOf(':')
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      const host = this.options.address.slice(0, separator)
      this.server.listen({ host, port: Number(this.options.address.slice(separator + 1)), backlog: listenBacklog }, () => {
        this.server.off('error', reject)
        resolve()
      })
    })
  }

  /** Address to which the listener is bound. */
  get address (): string {
    const { address, port } = this.server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Applies the operators' limits. */
  configure (limits: CallerLimits): void {
    this.limits = limits
    this.server.headersTimeout = limits.headerTimeoutMilliseconds
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds
    this.options.intake.configure(this.server, limits.idleTimeoutMilliseconds)
  }

  /** Announces with each response from now on that its connection closes; new connections are still accepted. */
  startStop (limits: StopLimits = { finalAnswerAt: Infinity, exitAt: Infinity }): void {
    this.stoppingSince ??= this.options.clock.monotonic()
    this.stopLimits = limits
  }

  /** State of the connections and requests since the start of the stop. */
  get stopSummary (): StopSummary {
    const { lateRequests, lastRequestMilliseconds } = this
    return { ...this.server.connectionCounts(), lateRequests, lastRequestMilliseconds }
  }

  /** Stops accepting connections, closes each open one after its open requests, and resolves when all have closed. */
  async close (): Promise<void> {
    this.isClosed = true
    await this.server.closeGracefully()
  }

  /**
   * Ends the requests whose response has not begun with a final answer: `draining` if it is certain that no worker runs
   * them, and `outcome_unknown` otherwise. Returns their number.
   */
  answerOpenRequests (): number {
    const requests = [...this.unanswered]
    for (const interruption of requests) interruption.interrupt('host_stopped')
    return requests.length
  }

  /** Closes the listener and all connections at once. */
  async closeAll (): Promise<void> {
    for (const interruption of [...this.unanswered, ...this.answered]) interruption.interrupt('host_stopped')
    const closed = this.close()
    this.server.closeAllConnections()
    await closed
    await this.options.intake.stop()
  }

  private async handle (message: IncomingMessage, response: ServerResponse, intake: RequestIntake): Promise<void> {
    const { clock, metrics } = this.options
    const startedAt = intake.receivedAt
    this.countRequestOfStop(startedAt)
    if (!this.server.canRespond(response)) {
      // The caller sends it again, since it was told that the connection closes.
      this.options.events.info('request_ignored', { request: String(message.headers[headerNames.requestId] ?? '') })
      return
    }
    const interruption = this.track(message, response)
    const decoded = this.admit().andThen(() => this.decode(message, startedAt))
    if (decoded.isErr) return this.refuse(message, response, decoded.error, startedAt)
    const bodyRead = intake.readBody(this.limits?.maxBodyBytes ?? Infinity)
    const body = await interruption.unlessHostStops(bodyRead, () => Result.err(refusalOfStop))
    const { account } = decoded.value.call
    if (body.isErr) return this.refuse(message, response, body.error, startedAt, account)
    if (this.options.eventLoopDelay() > busyEventLoopDelayMilliseconds) await pendingEvents()
    // A stream that is being sent on the connection may last until the exit, and then this response would never be sent.
    if (this.stoppingSince !== undefined) await interruption.unlessHostStops(this.server.whenNoEarlierStream(response), () => {})
    if (interruption.cause === 'caller_disconnected' || message.socket.destroyed) return
    if (this.isClosed) return this.refuse(message, response, refusalOfStop, startedAt, account)
    const current = this.decodeAgain(decoded.value, message, startedAt)
    if (current.isErr) return this.refuse(message, response, current.error, startedAt, account)
    const { route, call: head } = current.value
    const call = this.options.requests.serviceCall({ ...head, body: body.value, holdResponse: intake.holdResponse })
    const endRequest = this.options.requests.begin({ requestId: head.requestId, kind: 'service' })
    try {
      const result = await this.runCall(call, head, interruption)
      this.unanswered.delete(interruption)
      this.answered.add(interruption)
      const timing = new ResponseTiming(clock)
      const outcome = result.isOk
        ? await this.sendResponse(response, result.value, timing, intake)
        : this.sendError(message, response, result.error)
      const firstByteMilliseconds = timing.firstByteAt - startedAt
      metrics.recordResponse(route.name, head.pool, outcome, firstByteMilliseconds)
      const { longestPauseMilliseconds } = timing
      this.logEnd(current.value, call, {
        outcome, result, startedAt, firstByteMilliseconds, longestPauseMilliseconds, interruption: interruption.cause
      })
    } finally {
      endRequest()
    }
  }

  /** Records a request as open until its response is complete or its connection has closed. */
  private track (message: IncomingMessage, response: ServerResponse): RequestInterruption {
    const interruption = new RequestInterruption(message, response)
    this.unanswered.add(interruption)
    response.once('close', () => {
      this.unanswered.delete(interruption)
      this.answered.delete(interruption)
    })
    return interruption
  }

  private async runCall (
    call: ServiceCall,
    { idempotent, delivery }: DecodedRequest['call'],
    interruption: RequestInterruption
  ): Promise<Result<ServiceResponse, Failure>> {
    const ran = call.run(interruption.signal)
    // Any other call goes on when its signal aborts, and may still be sent to a worker.
    const endsWhenAborted = idempotent || delivery === 'stream'
    const result = await (endsWhenAborted ? ran : interruption.unlessHostStops(ran, () => Result.err(unknownOutcomeOfStop)))
    return interruption.cause === 'host_stopped' ? result.mapErr(failureOfStop) : result
  }

  private countRequestOfStop (now: number): void {
    const { stoppingSince } = this
    if (stoppingSince === undefined) return
    this.lastRequestMilliseconds = Math.round(now - stoppingSince)
    if (this.isClosed) this.lateRequests += 1
  }

  /** Time from the start of the stop to the reading of a request; undefined if it was read before. */
  private millisecondsAfterStop (readAt: number): number | undefined {
    const { stoppingSince } = this
    return stoppingSince === undefined || readAt < stoppingSince ? undefined : Math.round(readAt - stoppingSince)
  }

  /** Refuses requests that this host would only hold up, since its processor is used up. */
  private admit (): Result<void, Failure> {
    const refusal = this.options.intake.refusal()
    if (refusal !== undefined) return Result.err(refusal)
    const delay = this.options.eventLoopDelay()
    if (delay <= maxEventLoopDelayMilliseconds) return Result.ok(undefined)
    return Result.err(failure('overloaded', `the event loop of this host is ${Math.round(delay)} ms late`))
  }

  private decode (message: IncomingMessage, now: number): Result<DecodedRequest, Failure> {
    const routes = this.options.routes()
    if (routes === undefined) return Result.err(failure('not_ready', 'the host has not read a configuration yet'))
    if (this.limits !== undefined && headerBytesOf(message) > this.limits.maxHeaderBytes) {
      return Result.err(failure('headers_too_large', `the header is larger than ${this.limits.maxHeaderBytes} bytes`))
    }
    const { hash, isConfigurationCurrent } = this.options
    const hashToFraction = (id: string): number => hash.h32(id) / hashRange
    const decoded = decodeRequest(message, { routes, now, hashToFraction, isConfigurationCurrent })
    const { stopLimits } = this
    return stopLimits === undefined ? decoded : decoded.map(request => limitedByStop(request, stopLimits))
  }

  /**
   * The request according to the configuration in force. While its body arrived, the key may have been removed or given to
   * another account. Without accounts, the configuration at the time of the head applies.
   */
  private decodeAgain (request: DecodedRequest, message: IncomingMessage, now: number): Result<DecodedRequest, Failure> {
    const routes = this.options.routes()
    const hasAccounts = request.routes.accounts !== undefined || routes?.accounts !== undefined
    return routes === request.routes || !hasAccounts ? Result.ok(request) : this.decode(message, now)
  }

  /** Sends a worker's response to the caller. Returns its status, or `broken` if it ended early. */
  private async sendResponse (
    response: ServerResponse,
    workerResponse: ServiceResponse,
    timing: ResponseTiming,
    intake: RequestIntake
  ): Promise<string> {
    this.closeConnectionIfStopping(response)
    if (workerResponse.remainingBody === undefined) {
      response.writeHead(workerResponse.status, { ...workerResponse.headers, 'content-length': workerResponse.body.length })
      await sendBody(response, workerResponse.body, intake)
      response.end()
      return String(workerResponse.status)
    }
    response.writeHead(workerResponse.status, workerResponse.headers)
    response.flushHeaders()
    try {
      await sendBody(response, workerResponse.body, intake)
      for await (const chunk of workerResponse.remainingBody) {
        timing.recordChunk()
        await sendBody(response, chunk, intake)
      }
      response.end()
      return String(workerResponse.status)
    } catch {
      // Once the head is sent, only the end of the connection tells the caller that the response is incomplete. Without chunks,
      // as in HTTP/1.0, a regular close would look like the end of the response.
      if (response.useChunkedEncodingByDefault) response.destroy()
      else response.socket?.resetAndDestroy()
      return 'broken'
    }
  }

  private refuse (
    message: IncomingMessage,
    response: ServerResponse,
    failed: Failure,
    startedAt: number,
    account?: AccountName
  ): void {
    const status = this.sendError(message, response, failed)
    if (failed.kind === 'unauthenticated') this.options.metrics.recordRefusedKey()
    this.options.metrics.recordResponse('', '', status, this.options.clock.monotonic() - startedAt)
    const omitted = this.options.intake.refusals.takeLine()
    if (omitted !== undefined) {
      this.options.events.info('request_refused', {
        request: String(message.headers[headerNames.requestId] ?? ''),
        account,
        status,
        kind: failed.kind,
        version: this.options.routes()?.configuration.version,
        after_stop: this.millisecondsAfterStop(startedAt),
        omitted: omitted === 0 ? undefined : omitted,
        reason: failed.message
      })
    }
    // The unread rest of the body would be taken for the next request, so the connection is closed.
    const { socket } = message
    if (!message.complete) response.once('finish', () => socket.destroySoon())
  }

  /** Sends a failure as the response. Returns its status, or `left` if the caller has disconnected. */
  private sendError (message: IncomingMessage, response: ServerResponse, failed: Failure): string {
    const { status, retryAfterSeconds: retryAfterOfKind } = errorResponses[failed.kind]
    if (response.destroyed || response.writableEnded) return 'left'
    this.closeConnectionIfStopping(response)
    const body = JSON.stringify(errorBodyOf(failed))
    const id = message.headers[headerNames.requestId]
    const spread = this.options.hash.h32(`${String(id)}/retry`) / hashRange
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(failed.kind === 'unauthenticated' ? { 'www-authenticate': 'Bearer' } : {}),
      ...(typeof id === 'string' ? { [headerNames.requestId]: id } : {}),
      ...(retryAfterOfKind === undefined ? {} : { [headerNames.retryAfter]: String(retryAfterSecondsOf(failed, spread)) }),
      ...(message.complete ? {} : { connection: 'close' })
    }).end(body)
    return String(status)
  }

  private closeConnectionIfStopping (response: ServerResponse): void {
    if (this.stoppingSince !== undefined) this.server.announceClose(response)
  }

  private logEnd (
    { route, call: { requestId, account, pool, prompt } }: DecodedRequest,
    call: ServiceCall,
    summary: RequestSummary
  ): void {
    const { outcome, interruption } = summary
    const failed = summary.result.isErr ? summary.result.error : undefined
    this.options.events.info('request_ended', {
      request: requestId,
      account,
      route: route.name,
      pool,
      version: this.options.routes()?.configuration.version,
      worker: call.worker,
      attempts: call.attempts,
      outcome: interruption === 'caller_disconnected' && outcome !== '200' ? 'left' : outcome,
      kind: failed?.kind,
      reason: failed?.message ?? (interruption === 'host_stopped' ? 'the process exits' : undefined),
      tokens: prompt?.promptTokens,
      after_stop: this.millisecondsAfterStop(summary.startedAt),
      first: Math.round(summary.firstByteMilliseconds),
      pause: Math.round(summary.longestPauseMilliseconds),
      total: Math.round(this.options.clock.monotonic() - summary.startedAt)
    })
  }
}

/** Arrival times of the parts of a response: its head and the chunks of its body. */
class ResponseTiming {
  private firstChunkAt: number | undefined
  /** Monotonic time in milliseconds of the latest part, which is the head until a chunk arrives. */
  private lastPartAt: number
  longestPauseMilliseconds = 0

  constructor (private readonly clock: Clock) {
    this.lastPartAt = clock.monotonic()
  }

  /** Monotonic time in milliseconds of the first chunk of the body, or of the head if no chunk follows it. */
  get firstByteAt (): number {
    return this.firstChunkAt ?? this.lastPartAt
  }

  /** Records that a chunk of the body has arrived. */
  recordChunk (): void {
    const now = this.clock.monotonic()
    if (this.firstChunkAt !== undefined) {
      this.longestPauseMilliseconds = Math.max(this.longestPauseMilliseconds, now - this.lastPartAt)
    }
    this.firstChunkAt ??= now
    this.lastPartAt = now
  }
}

/**
 * The request with no more time than the stop leaves, so that a worker or the queue for prompts declines it at once if
 * that does not suffice.
 */
function limitedByStop (request: DecodedRequest, { finalAnswerAt, exitAt }: StopLimits): DecodedRequest {
  const { delivery, deadline, startLostAt = deadline } = request.call
  const end = delivery === 'stream' ? exitAt : finalAnswerAt
  return {
    ...request,
    call: { ...request.call, deadline: Math.min(deadline, end), startLostAt: Math.min(startLostAt, finalAnswerAt) }
  }
}

const unknownOutcomeOfStop = failure('outcome_unknown', 'the host stops before the worker has answered')

const refusalOfStop = failure('draining', 'the host stops before a worker has received the request')

/** The failure of a call that a stop has ended. */
function failureOfStop (failed: Failure): Failure {
  return errorResponses[failed.kind].notRun ? refusalOfStop : unknownOutcomeOfStop
}

/** Share by which the time after which callers should come back is spread, so that they do not come back together. */
const retryAfterSpread = 0.5

/**
 * Time after which a caller should come back, in seconds: that of the failure if it states one, at least the usual one,
 * extended by the part `spread` (0 to 1) of the spread.
 */
function retryAfterSecondsOf ({ detail }: Failure, spread: number): number {
  const milliseconds = detail?.retryAfterMilliseconds
  const seconds = typeof milliseconds === 'number' ? Math.max(retryAfterSeconds, milliseconds / 1000) : retryAfterSeconds
  return Math.round(seconds * (1 + retryAfterSpread * spread) * 1000) / 1000
}

/**
 * Resolves when the event loop has received what arrived together with the present event. A caller's close arrives in the
 * next turn of the loop, although it may be as old as the request.
 */
async function pendingEvents (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  await new Promise(resolve => setImmediate(resolve))
}
