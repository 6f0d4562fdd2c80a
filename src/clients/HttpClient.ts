/**
 * HTTP client for the JSON API of one service. Its errors distinguish a call that was certainly not sent from one
 * that may have been sent, so that callers can decide whether to repeat it.
 */
import { Result } from 'true-myth'
import type { Dispatcher } from 'undici'
import { type Failure, failure, parseJson, timeoutSignal } from '../common/index.js'
import { BoundedClient } from './BoundedClient.js'
import { notSentCode } from './NotSentError.js'
import { readBounded } from './readBounded.js'

/** A call to the service. */
export interface HttpCall {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE'
  path: string
  headers?: Record<string, string>
  /** Sent as JSON. */
  body?: unknown
  /** Time limit of the call, up to the end of the response. */
  timeoutMilliseconds: number
  signal?: AbortSignal | undefined
  /** Maximum size of the body of the response, in bytes. Default: 1 MiB. */
  maxResponseBytes?: number
}

/** The complete response to a call. */
export interface HttpResponse {
  status: number
  headers: Dispatcher.ResponseData['headers']
  /** Parsed JSON; undefined for an empty body or one that is not JSON. */
  body: unknown
}

const notSentCodes = new Set([notSentCode, 'ECONNREFUSED', 'ENOTFOUND', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

/** Maximum size of the body of a response, in bytes, unless the call states another. */
const defaultMaxResponseBytes = 1_048_576

/** Time limit for opening a connection. */
const connectTimeoutMilliseconds = 1000

/** True if the error proves that no byte of the call reached the server. */
export function isNotSent (caught: unknown): boolean {
  const code = (caught as { code?: string } | null)?.code
  return code !== undefined && notSentCodes.has(code)
}

/**
 * A pool of connections to one origin. Each call has a connection to itself, so that a call that times out on an
 * unresponsive connection closes only that one; later calls use other connections or open new ones.
 */
export class HttpClient {
  private readonly clients: BoundedClient[] = []
  private readonly idleClients: BoundedClient[] = []

  constructor (private readonly origin: string) {}

  /** Sends a call and reads the response. Errors: `platform_unavailable` (certainly not sent), `outcome_unknown`, `cancelled`. */
  async send (call: HttpCall): Promise<Result<HttpResponse, Failure>> {
    const signal = timeoutSignal(call.timeoutMilliseconds, call.signal)
    const client = this.idleClients.pop() ?? this.open()
    try {
      const response = await client.request({
        method: call.method,
        path: call.path,
        headers: { ...call.headers, ...(call.body === undefined ? {} : { 'content-type': 'application/json' }) },
        body: call.body === undefined ? null : JSON.stringify(call.body),
        signal,
        headersTimeout: 0,
        bodyTimeout: 0
      })
      const text = (await readBounded(response.body, call.maxResponseBytes ?? defaultMaxResponseBytes)).toString('utf8')
      this.idleClients.push(client)
      return Result.ok({ status: response.statusCode, headers: response.headers, body: parseJson(text) })
    } catch (caught) {
      this.discard(client)
      if (call.signal?.aborted) return Result.err(failure('cancelled', 'the call was cancelled'))
      const kind = isNotSent(caught) ? 'platform_unavailable' : 'outcome_unknown'
      return Result.err(failure(kind, `${call.method} ${this.origin}${call.path}: ${(caught as Error).message}`))
    }
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all(this.clients.splice(0).map(client => client.destroy()))
    this.idleClients.length = 0
  }

  private open (): BoundedClient {
    const client = new BoundedClient(this.origin, { connectTimeout: connectTimeoutMilliseconds, keepAliveTimeout: 10_000 })
    this.clients.push(client)
    return client
  }

  private discard (client: BoundedClient): void {
    const position = this.clients.indexOf(client)
    if (position >= 0) this.clients.splice(position, 1)
    client.destroy().catch(() => {})
  }
}
