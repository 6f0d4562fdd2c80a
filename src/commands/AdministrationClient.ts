/**
 * Client of the administration API for the command line. If a server cannot be reached, the client tries the next
 * one in the given order. A change carries an id and takes effect once, so it is also sent to the next server if
 * its response was lost.
 */
import { EventSourceParserStream, ParseError } from 'eventsource-parser/stream'
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Clock, errorResponses, type Failure, failure, failureFromBody, failureOf, parseJson, SystemClock } from '../common/index.js'
import { BoundedClient, type HttpCall, HttpClient, readBounded } from '../clients/index.js'

/** Time limit for a response: long enough for an append and for reading it back from the log, with one retry of each. */
const responseTimeoutMilliseconds = 15_000

/** Maximum size of a response, in bytes; the largest is a backup of all settings. */
const maxResponseBytes = 67_108_864

/** Maximum size of the data of one event of a watch, in characters, and of the body of an error, in bytes. */
const maxEventCharacters = 1_048_576
const maxErrorBytes = 1_048_576

/** Time without a byte after which a watch is aborted; the server sends at least a heartbeat every 10 s. */
const watchIdleTimeoutMilliseconds = 25_000

/** Delay before a broken watch is resumed. */
const watchRetryDelayMilliseconds = 500

/** Options of an `AdministrationClient`. */
export interface AdministrationClientOptions {
  /** Administration addresses, `ip:port`. */
  servers: string[]
  token: string
  /** Default: the system clock. */
  clock?: Clock
}

/** A request to the administration API. */
export interface AdministrationRequest<ResponseBody> {
  method: HttpCall['method']
  /** Path with query. */
  path: string
  /** Schema of the response body. */
  responseSchema: z.ZodType<ResponseBody>
  body?: unknown
  headers?: Record<string, string>
  /** True if the request may be sent again after its response was lost. Default: true for GET only. */
  repeatable?: boolean
}

/** A change of a document, as one event of a watch. */
export const watchedChangeSchema = z.object({ path: z.string(), version: z.number(), value: z.unknown() })
export type WatchedChange = z.infer<typeof watchedChangeSchema>

/** Calls the administration API of one of several hosts. */
export class AdministrationClient {
  private readonly connections: Array<{ server: string, http: HttpClient }>

  constructor (private readonly options: AdministrationClientOptions) {
    this.connections = options.servers.map(server => ({ server, http: new HttpClient(`http://${server}`) }))
  }

  /**
   * Sends a request. Errors: those of the server; `not_run` if no server could be reached; `outcome_unknown` if
   * the response was lost.
   */
  async send<ResponseBody> (apiRequest: AdministrationRequest<ResponseBody>): Promise<Result<ResponseBody, Failure>> {
    const { method, path, body, headers, repeatable = method === 'GET' } = apiRequest
    let lastFailure = failure('bad_request', 'no server was given')
    for (const { http } of this.connections) {
      const sent = await http.send({
        method,
        path,
        body,
        headers: { ...headers, authorization: `Bearer ${this.options.token}` },
        timeoutMilliseconds: responseTimeoutMilliseconds,
        maxResponseBytes
      })
      if (sent.isOk) return this.readResponse(apiRequest, sent.value.status, sent.value.body)
      const notSent = sent.error.kind === 'platform_unavailable'
      // After a lost response the outcome stays unknown, even if no later server can be reached: the request may have run.
      if (lastFailure.kind !== 'outcome_unknown') lastFailure = { ...sent.error, kind: notSent ? 'not_run' : 'outcome_unknown' }
      if (!notSent && !repeatable) break
    }
    return Result.err(lastFailure)
  }

  /**
   * Follows the changes under a prefix until the signal aborts. If the connection breaks, the watch resumes on the
   * next server after the last offset that was received completely, so that no change is missed. Errors: those of
   * the server; `not_run` if none of the servers, tried in turn, could be reached.
   */
  async watch (
    prefix: string,
    after: number | undefined,
    onChange: (change: WatchedChange) => void,
    signal: AbortSignal
  ): Promise<Result<void, Failure>> {
    const { servers, clock = new SystemClock() } = this.options
    let from = after
    let lastFailure = failure('not_run', 'no server could be reached')
    let consecutiveFailedConnections = 0
    for (let attempt = 0; consecutiveFailedConnections < servers.length; attempt += 1) {
      if (attempt > 0) await clock.sleep(watchRetryDelayMilliseconds, signal)
      if (signal.aborted) return Result.ok(undefined)
      const watched = await this.watchServer(servers[attempt % servers.length] ?? '', prefix, from, onChange, signal)
      const { serverFailure } = watched
      // The next server is tried after errors for which a retry can help, e.g. when this server is draining.
      if (serverFailure !== undefined && errorResponses[serverFailure.kind].retryAfterSeconds === undefined) {
        return Result.err(serverFailure)
      }
      lastFailure = serverFailure ?? lastFailure
      consecutiveFailedConnections = watched.connected ? 0 : consecutiveFailedConnections + 1
      from = watched.through ?? from
    }
    return Result.err(lastFailure)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await Promise.all(this.connections.map(async ({ http }) => { await http.close() }))
  }

  private async watchServer (
    server: string,
    prefix: string,
    after: number | undefined,
    onChange: (change: WatchedChange) => void,
    signal: AbortSignal
  ): Promise<{ connected: boolean, through?: number, serverFailure?: Failure }> {
    const query = new URLSearchParams({ prefix, ...(after === undefined ? {} : { after: String(after) }) })
    let connected = false
    let through: number | undefined
    const connection = new BoundedClient(`http://${server}`, { bodyTimeout: watchIdleTimeoutMilliseconds })
    try {
      const response = await connection.request({
        method: 'GET',
        path: `/watch?${query}`,
        headers: { authorization: `Bearer ${this.options.token}` },
        signal
      })
      if (response.statusCode !== 200) {
        const body = parseJson((await readBounded(response.body, maxErrorBytes)).toString('utf8'))
        return { connected, serverFailure: failureFromBody(body) ?? failure('upstream_failed', `status ${response.statusCode}`) }
      }
      connected = true
      const events = ReadableStream.from(response.body)
        .pipeThrough(new TextDecoderStream())
        .pipeThrough(new EventSourceParserStream({
          maxBufferSize: maxEventCharacters,
          onError: error => { if (error instanceof ParseError && error.type === 'max-buffer-size-exceeded') throw error }
        }))
      for await (const { event, data, id } of events) {
        const body = JSON.parse(data) as unknown
        if (event === 'error') return { connected, through, serverFailure: failureOfErrorEvent(body) }
        onChange(watchedChangeSchema.parse(body))
        if (id !== undefined) through = Number(id)
      }
    } catch (caught) {
      const isMalformed = caught instanceof z.ZodError || caught instanceof SyntaxError || caught instanceof ParseError
      if (isMalformed) return { connected, serverFailure: failureOf(caught, 'upstream_failed') }
    } finally {
      connection.destroy().catch(() => {})
    }
    return { connected, through }
  }

  private readResponse<ResponseBody> (
    apiRequest: AdministrationRequest<ResponseBody>,
    status: number,
    body: unknown
  ): Result<ResponseBody, Failure> {
    if (status >= 300) {
      return Result.err(failureFromBody(body) ?? failure('upstream_failed', `${apiRequest.path}: unexpected status ${status}`))
    }
    const parsed = apiRequest.responseSchema.safeParse(body)
    if (parsed.success) return Result.ok(parsed.data)
    return Result.err(failure('upstream_failed', `${apiRequest.path}: unexpected response: ${parsed.error.message}`))
  }
}

/** Reads the failure from the data of an `error` event. */
function failureOfErrorEvent (body: unknown): Failure {
  return failureFromBody({ error: body }) ?? failure('upstream_failed', 'malformed error event')
}
