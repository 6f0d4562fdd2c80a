/**
 * Client of the administration API for the command line. Servers are tried in the given order: the next one
 * when one cannot be reached. A change carries its own identity, so it is also sent to the next server when
 * the answer was lost: it takes effect once.
 */
import { EventSourceParserStream } from 'eventsource-parser/stream'
import { Result } from 'true-myth'
import { request } from 'undici'
import { z } from 'zod'
import { type Clock, errorAnswers, type Failure, failure, failureFromBody, failureOf, SystemClock } from '../common/index.js'
import { type HttpCall, HttpClient } from '../clients/index.js'

/** Time for an answer, in milliseconds: an append and its way back through the log, with one retry of either. */
const answerTimeoutMilliseconds = 15_000

/** A watched server without a byte for this long is given up, in milliseconds; it sends something each 10 s. */
const watchSilenceMilliseconds = 25_000

/** Pause before a broken watch is taken up again, in milliseconds. */
const watchPauseMilliseconds = 500

/** Options of an `AdministrationClient`. */
export interface AdministrationClientOptions {
  /** Administration addresses, `ip:port`. */
  servers: string[]
  token: string
  /** Default: the clock of the machine. */
  clock?: Clock
}

/** A request to the administration API. */
export interface AdministrationRequest<Answer> {
  method: HttpCall['method']
  /** Path with query. */
  path: string
  /** Shape of the answer. */
  answer: z.ZodType<Answer>
  body?: unknown
  headers?: Record<string, string>
  /** True if the request may be sent again after a lost answer. Default: true for GET only. */
  repeatable?: boolean
}

/** One event of a watch. */
export const watchedChangeSchema = z.object({ path: z.string(), version: z.number(), value: z.unknown() })
export type WatchedChange = z.infer<typeof watchedChangeSchema>

/** Talks to the administration API of one of several hosts. */
export class AdministrationClient {
  private readonly connections: Array<{ server: string, http: HttpClient }>

  constructor (private readonly options: AdministrationClientOptions) {
    this.connections = options.servers.map(server => ({ server, http: new HttpClient(`http://${server}`) }))
  }

  /**
   * Sends a request. Errors: those of the server; `not_run` when no server could be reached; `outcome_unknown`
   * when the answer was lost.
   */
  async send<Answer> (wanted: AdministrationRequest<Answer>): Promise<Result<Answer, Failure>> {
    const { method, path, body, headers, repeatable = method === 'GET' } = wanted
    let last = failure('bad_request', 'no server was given')
    for (const { http } of this.connections) {
      const sent = await http.send({
        method,
        path,
        body,
        headers: { ...headers, authorization: `Bearer ${this.options.token}` },
        timeoutMilliseconds: answerTimeoutMilliseconds
      })
      if (sent.isOk) return this.readAnswer(wanted, sent.value.status, sent.value.body)
      const notSent = sent.error.kind === 'platform_unavailable'
      // An answer that was lost before stays the answer: a later server that cannot be reached proves nothing.
      if (last.kind !== 'outcome_unknown') last = { ...sent.error, kind: notSent ? 'not_run' : 'outcome_unknown' }
      if (!notSent && !repeatable) break
    }
    return Result.err(last)
  }

  /**
   * Follows changes under a prefix until the signal aborts. After a break it goes on with the next server from
   * the last complete offset, so no change is missed. Errors: those of the server, `not_run` when no server
   * could be reached in turn.
   */
  async watch (
    prefix: string,
    after: number | undefined,
    onChange: (change: WatchedChange) => void,
    signal: AbortSignal
  ): Promise<Result<void, Failure>> {
    const { servers, clock = new SystemClock() } = this.options
    let from = after
    let last = failure('not_run', 'no server could be reached')
    let withoutConnection = 0
    for (let turn = 0; withoutConnection < servers.length; turn += 1) {
      if (turn > 0) await clock.sleep(watchPauseMilliseconds, signal)
      if (signal.aborted) return Result.ok(undefined)
      const seen = await this.watchOne(servers[turn % servers.length] ?? '', prefix, from, onChange, signal)
      const { refused } = seen
      // Another server can help where another try can, e.g. when this one is draining.
      if (refused !== undefined && errorAnswers[refused.kind].retryAfterSeconds === undefined) return Result.err(refused)
      last = refused ?? last
      withoutConnection = seen.connected ? 0 : withoutConnection + 1
      from = seen.through ?? from
    }
    return Result.err(last)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await Promise.all(this.connections.map(async ({ http }) => { await http.close() }))
  }

  private async watchOne (
    server: string,
    prefix: string,
    after: number | undefined,
    onChange: (change: WatchedChange) => void,
    signal: AbortSignal
  ): Promise<{ connected: boolean, through?: number, refused?: Failure }> {
    const query = new URLSearchParams({ prefix, ...(after === undefined ? {} : { after: String(after) }) })
    let connected = false
    let through: number | undefined
    try {
      const answer = await request(`http://${server}/watch?${query}`, {
        headers: { authorization: `Bearer ${this.options.token}` },
        bodyTimeout: watchSilenceMilliseconds,
        signal
      })
      if (answer.statusCode !== 200) {
        const body = await answer.body.json().catch(() => undefined)
        return { connected, refused: failureFromBody(body) ?? failure('upstream_failed', `status ${answer.statusCode}`) }
      }
      connected = true
      const events = ReadableStream.from(answer.body)
        .pipeThrough(new TextDecoderStream())
        .pipeThrough(new EventSourceParserStream())
      for await (const { event, data, id } of events) {
        const body = JSON.parse(data) as unknown
        if (event === 'error') return { connected, through, refused: refusalOf(body) }
        onChange(watchedChangeSchema.parse(body))
        if (id !== undefined) through = Number(id)
      }
    } catch (caught) {
      const isMalformed = caught instanceof z.ZodError || caught instanceof SyntaxError
      if (isMalformed) return { connected, refused: failureOf(caught, 'upstream_failed') }
    }
    return { connected, through }
  }

  private readAnswer<Answer> (wanted: AdministrationRequest<Answer>, status: number, body: unknown): Result<Answer, Failure> {
    if (status >= 300) {
      return Result.err(failureFromBody(body) ?? failure('upstream_failed', `${wanted.path}: unexpected status ${status}`))
    }
    const parsed = wanted.answer.safeParse(body)
    if (parsed.success) return Result.ok(parsed.data)
    return Result.err(failure('upstream_failed', `${wanted.path}: unexpected answer: ${parsed.error.message}`))
  }
}

/** Reads the failure of an `error` event. */
function refusalOf (body: unknown): Failure {
  return failureFromBody({ error: body }) ?? failure('upstream_failed', 'malformed error event')
}
