/**
 * The listener for callers. Requests pass through as they came, so it works on Node's messages; a request object of
 * the web platform would change targets and header fields.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { Result } from 'true-myth'
import { type Clock, errorAnswers, errorBodyOf, type Failure, failure, type Hash } from '../common/index.js'
import type { RequestManager, ServiceAnswer, ServiceCall } from '../forwarding/index.js'
import type { EventLog } from '../observability/index.js'
import { decodeRequest, type DecodedRequest } from './decodeRequest.js'
import type { CallerLimits, RouteTable } from './RouteConfiguration.js'
import type { RequestMetrics } from './RequestMetrics.js'
import { headerNames } from './WorkerProtocol.js'

/** Options of a `CallerListener`. */
export interface CallerListenerOptions {
  /** `ip:port` */
  address: string
  routes: () => RouteTable | undefined
  requests: RequestManager
  clock: Clock
  events: EventLog
  hash: Hash
  metrics: RequestMetrics
  /** True once the process was told to stop: connections end with their present answer. */
  isStopping: () => boolean
}

/** Node refuses larger headers itself; the operators' limit is checked below it, in bytes. */
const maxHeaderBytes = 131_072

/** Connections wait for `accept` up to this number; a burst of callers must not run into the one-second retry of TCP. */
const listenBacklog = 1024

/** Time between two looks for callers that are slow to send their headers, in milliseconds. */
const slowCallerCheckMilliseconds = 500

/** Callers that send nothing for this long within a body are closed, in milliseconds. */
const bodyTimeoutMilliseconds = 60_000

/** Time to come back after a refusal, in seconds: most causes (a full pool, a worker that has just left) pass within it. */
const retryAfterSeconds = 0.3

/** Fractions of a hash that choose among the services of a route. */
const hashRange = 2 ** 32

/** How a request ended. */
interface RequestEnd {
  /** Its status, `broken` or `left`. */
  outcome: string
  result: Result<ServiceAnswer, Failure>
  /** Monotonic time in milliseconds. */
  startedAt: number
  firstByteMilliseconds: number
  longestPauseMilliseconds: number
  /** True if the caller left before the end. */
  left: boolean
}

/** Accepts callers and passes their requests on. */
export class CallerListener {
  private readonly server: Server
  private limits: CallerLimits | undefined

  constructor (private readonly options: CallerListenerOptions) {
    this.server = createServer({
      maxHeaderSize: maxHeaderBytes,
      connectionsCheckingInterval: slowCallerCheckMilliseconds,
      requestTimeout: bodyTimeoutMilliseconds,
      noDelay: true
    })
    this.server.on('request', (message, response) => {
      this.handle(message, response).catch(error => {
        options.events.error('request_handler_failed', { reason: error instanceof Error ? error.stack : String(error) })
        response.destroy()
      })
    })
  }

  /** Starts to accept connections. Rejects if the address cannot be used. */
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

  /** The actual address. */
  get address (): string {
    const { address, port } = this.server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Puts the operators' limits in force. */
  configure (limits: CallerLimits): void {
    this.limits = limits
    this.server.headersTimeout = limits.headerTimeoutMilliseconds
    this.server.keepAliveTimeout = limits.idleTimeoutMilliseconds
  }

  /** Stops accepting connections and resolves when the open ones have ended. */
  async close (): Promise<void> {
    await new Promise<void>(resolve => {
      this.server.close(() => { resolve() })
      this.server.closeIdleConnections()
    })
  }

  /** Closes the listener and all connections at once. */
  async closeAll (): Promise<void> {
    const closed = this.close()
    this.server.closeAllConnections()
    await closed
  }

  private async handle (message: IncomingMessage, response: ServerResponse): Promise<void> {
    const { clock, metrics } = this.options
    const startedAt = clock.monotonic()
    const callerLeft = leftSignalOf(response)
    const decoded = this.decode(message, startedAt)
    if (decoded.isErr) return this.refuse(message, response, decoded.error, startedAt)
    const body = await readBody(message, this.limits?.maxBodyBytes ?? Infinity)
    if (body.isErr) return this.refuse(message, response, body.error, startedAt)
    if (callerLeft.aborted) return
    const { route, call: head } = decoded.value
    const call = this.options.requests.serviceCall({ ...head, body: body.value })
    const end = this.options.requests.begin({ requestId: head.requestId, kind: 'service' })
    try {
      const result = await call.run(callerLeft)
      const pace = new AnswerPace(clock)
      const outcome = result.isOk
        ? await this.deliver(response, result.value, pace)
        : this.answerFailure(message, response, result.error)
      const firstByteMilliseconds = pace.firstAt - startedAt
      metrics.answered(route.name, head.pool, outcome, firstByteMilliseconds)
      const { longestPauseMilliseconds } = pace
      const left = callerLeft.aborted
      this.note(decoded.value, call, { outcome, result, startedAt, firstByteMilliseconds, longestPauseMilliseconds, left })
    } finally {
      end()
    }
  }

  private decode (message: IncomingMessage, now: number): Result<DecodedRequest, Failure> {
    const routes = this.options.routes()
    if (routes === undefined) return Result.err(failure('not_ready', 'the host knows no configuration yet'))
    if (this.limits !== undefined && headerBytesOf(message) > this.limits.maxHeaderBytes) {
      return Result.err(failure('headers_too_large', `the header is larger than ${this.limits.maxHeaderBytes} bytes`))
    }
    return decodeRequest(message, { routes, now, fractionOf: id => this.options.hash.h32(id) / hashRange })
  }

  /** Passes an answer on. Returns its status, or `broken` if it ended early. */
  private async deliver (response: ServerResponse, answer: ServiceAnswer, pace: AnswerPace): Promise<string> {
    this.closeIfStopping(response)
    if (answer.rest === undefined) {
      response.writeHead(answer.status, { ...answer.headers, 'content-length': answer.body.length }).end(answer.body)
      return String(answer.status)
    }
    response.writeHead(answer.status, answer.headers)
    response.flushHeaders()
    if (answer.body.length > 0) response.write(answer.body)
    try {
      for await (const piece of answer.rest) {
        pace.note()
        if (!response.write(piece)) await drained(response)
      }
      response.end()
      return String(answer.status)
    } catch {
      // The end of the connection is the only way to say that an answer is not whole.
      response.destroy()
      return 'broken'
    }
  }

  private refuse (message: IncomingMessage, response: ServerResponse, failed: Failure, startedAt: number): void {
    const status = this.answerFailure(message, response, failed)
    this.options.metrics.answered('', '', status, this.options.clock.monotonic() - startedAt)
    this.options.events.info('request_refused', {
      request: String(message.headers[headerNames.requestId] ?? ''),
      status,
      kind: failed.kind,
      version: this.options.routes()?.configuration.version,
      reason: failed.message
    })
    // What is left of the body cannot be told from a next request.
    const { socket } = message
    if (!message.complete) response.once('finish', () => socket.destroySoon())
  }

  /** Answers a failure. Returns its status. */
  private answerFailure (message: IncomingMessage, response: ServerResponse, failed: Failure): string {
    const { status, retryAfterSeconds: mayRetry } = errorAnswers[failed.kind]
    if (response.destroyed || response.writableEnded) return 'left'
    this.closeIfStopping(response)
    const body = JSON.stringify(errorBodyOf(failed))
    const id = message.headers[headerNames.requestId]
    response.writeHead(status, {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
      ...(typeof id === 'string' ? { [headerNames.requestId]: id } : {}),
      ...(mayRetry === undefined ? {} : { [headerNames.retryAfter]: String(retryAfterSeconds) }),
      ...(message.complete ? {} : { connection: 'close' })
    }).end(body)
    return String(status)
  }

  private closeIfStopping (response: ServerResponse): void {
    if (this.options.isStopping()) response.setHeader('connection', 'close')
  }

  private note (
    { route, call: { requestId, pool, prompt } }: DecodedRequest,
    call: ServiceCall,
    end: RequestEnd
  ): void {
    const failed = end.result.isErr ? end.result.error : undefined
    this.options.events.info('request_ended', {
      request: requestId,
      route: route.name,
      pool,
      version: this.options.routes()?.configuration.version,
      worker: call.worker,
      attempts: call.attempts,
      outcome: end.left && end.outcome !== '200' ? 'left' : end.outcome,
      kind: failed?.kind,
      reason: failed?.message,
      tokens: prompt?.promptTokens,
      first: Math.round(end.firstByteMilliseconds),
      pause: Math.round(end.longestPauseMilliseconds),
      total: Math.round(this.options.clock.monotonic() - end.startedAt)
    })
  }
}

/** When the bytes of an answer came. */
class AnswerPace {
  private first: number | undefined
  private lastAt: number
  longestPauseMilliseconds = 0

  constructor (private readonly clock: Clock) {
    this.lastAt = clock.monotonic()
  }

  /** Monotonic time in milliseconds of the first bytes after the head; of the head if there are none. */
  get firstAt (): number {
    return this.first ?? this.lastAt
  }

  /** Notes a piece of the body. */
  note (): void {
    const now = this.clock.monotonic()
    if (this.first !== undefined) this.longestPauseMilliseconds = Math.max(this.longestPauseMilliseconds, now - this.lastAt)
    this.first ??= now
    this.lastAt = now
  }
}

/** Aborts when the caller closes the connection before its answer has ended. */
function leftSignalOf (response: ServerResponse): AbortSignal {
  const left = new AbortController()
  response.once('close', () => { if (!response.writableFinished) left.abort() })
  return left.signal
}

async function readBody (message: IncomingMessage, limit: number): Promise<Result<Buffer | undefined, Failure>> {
  const parts: Buffer[] = []
  let size = 0
  try {
    for await (const part of message.iterator({ destroyOnReturn: false }) as AsyncIterable<Buffer>) {
      size += part.length
      if (size > limit) return Result.err(failure('body_too_large', `the body is larger than ${limit} bytes`))
      parts.push(part)
    }
  } catch {
    return Result.err(failure('cancelled', 'the caller left within its body'))
  }
  const hasBody = size > 0 || message.headers['content-length'] !== undefined || message.headers['transfer-encoding'] !== undefined
  return Result.ok(hasBody ? Buffer.concat(parts) : undefined)
}

function headerBytesOf ({ rawHeaders }: IncomingMessage): number {
  // Each field has a colon, a space and the end of its line besides name and value.
  return rawHeaders.reduce((sum, text) => sum + text.length + 2, 0)
}

async function drained (response: ServerResponse): Promise<void> {
  if (response.destroyed) return
  await new Promise<void>(resolve => {
    const end = (): void => {
      response.off('drain', end)
      response.off('close', end)
      resolve()
    }
    response.once('drain', end)
    response.once('close', end)
  })
}
