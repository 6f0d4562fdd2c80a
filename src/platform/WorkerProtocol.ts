/**
 * Protocol of calls to the platform's workers: the header fields that the system sets, and the checks that a response
 * comes from a worker and belongs to the request.
 */
import { parseJson } from '../common/index.js'
import {
  type ResponseHead, type CallAttempt, CallProtocol, hasEventStreamType, type HeaderFields,
  type ServiceRequest, type ResponseClass
} from '../forwarding/index.js'
import type { Upstream } from '../upstreams/index.js'

/** Names of header fields, lower case. */
export const headerNames = {
  requestId: 'dogwooddale-request-id',
  /** Time until the deadline in milliseconds, not a point in time. */
  remainingTime: 'dogwooddale-deadline-ms',
  model: 'dogwooddale-model',
  tokenCounts: 'dogwooddale-token-counts',
  promptParts: 'dogwooddale-prompt-prefix',
  /** The worker's signature of a response. */
  signature: 'dogwooddale-server-stamp',
  /** Id of the worker that the request is for; any other worker rejects the request. */
  expectedWorker: 'dogwooddale-expect-instance',
  notRun: 'dogwooddale-not-run',
  /** Name of the account that holds the key of the request. */
  account: 'dogwooddale-tenant',
  /** 0 is the most urgent. */
  urgency: 'dogwooddale-request-urgency',
  /** Stage of the work; `prefill` asks the worker only to compute the prompt. */
  stage: 'dogwooddale-stage',
  /** Location of the KV cache of a computed prompt: `ip:port/handle`. */
  kvSource: 'dogwooddale-kv-from',
  /** Worker from which the addressed worker fetches parts of the prompt: `ip:port`. */
  promptPartsSource: 'kv-fetch',
  resumeAfter: 'last-event-id',
  /** Id of the caller's request that brought the first event of the stream that it takes up. */
  resumedStream: 'resumes',
  retryAfter: 'retry-after',
  /** `1` in the responses of a worker that is about to stop. */
  leaving: 'server-leaving',
  /** Requests a second, a decimal number, that the worker takes from all hosts together for as long as it states it. */
  limit: 'server-limit',
  /** Requests that run and wait at the worker, its slots and, at some workers, the time of work in percent of the usual. */
  load: 'dogwooddale-server-load'
} as const

/** Fields that only the system may set on requests to workers; those that callers send are dropped. */
export const systemHeaderNames: ReadonlySet<string> = new Set([
  headerNames.expectedWorker, headerNames.urgency, headerNames.stage, headerNames.kvSource, headerNames.promptPartsSource,
  headerNames.account, 'dogwooddale-kv-hold', 'dogwooddale-pin-ms', 'dogwooddale-kv-backup', 'dogwooddale-expect-version'
])

/**
 * Hop-by-hop fields, which concern one connection only (RFC 9110, section 7.6.1), and the length, which is set again.
 */
export const hopByHopHeaderNames: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-connection', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade', 'expect', 'content-length'
])

/** Status with which a worker rejects a request for another worker, or for work that its present stage excludes. */
const misdirectedRequestStatus = 421

/** Statuses that a final response may have (RFC 9110, section 15). */
const minFinalStatus = 200
const maxFinalStatus = 599

/** Sets the header fields of calls to the platform's workers, and classifies the responses. */
export class WorkerProtocol extends CallProtocol {
  override readonly requestIdField = headerNames.requestId

  requestHeaders (attempt: CallAttempt): Record<string, string | string[]> {
    const { request, upstream, remainingMilliseconds, resumeAfter, kvSource } = attempt
    const headers: Record<string, string | string[]> = {
      ...request.headers,
      [headerNames.remainingTime]: String(remainingMilliseconds),
      [headerNames.expectedWorker]: upstream.id
    }
    if (request.account !== undefined) headers[headerNames.account] = request.account
    if (resumeAfter !== undefined) headers[headerNames.resumeAfter] = resumeAfter
    if (kvSource !== undefined) headers[headerNames.kvSource] = `${kvSource.upstream.description.worker.address}/${kvSource.handle}`
    return headers
  }

  override isResponseTo (request: ServiceRequest, head: ResponseHead): boolean {
    return head.headers[headerNames.requestId] === request.requestId && !containsStatusLine(head)
  }

  classifyResponse (request: ServiceRequest, _upstream: Upstream, head: ResponseHead): ResponseClass {
    const { status, headers } = head
    // Without the id, a refusal may be one of an earlier request that the worker has written once more.
    if (!this.isResponseTo(request, head)) return 'foreign'
    if (status < minFinalStatus || status > maxFinalStatus) return 'foreign'
    if (status === misdirectedRequestStatus || headers[headerNames.notRun] !== undefined) return 'not_run'
    if (headers[headerNames.signature] === undefined) return 'foreign'
    if (headers['content-encoding'] !== undefined) return 'foreign'
    if (request.delivery === 'stream' && status < 300 && statesAnotherType(headers)) return 'foreign'
    return status >= 500 ? 'failed' : 'answered'
  }

  responseHeaders (headers: HeaderFields): Record<string, string> {
    const forwarded = Object.create(null) as Record<string, string>
    for (const [name, value] of Object.entries(headers)) {
      if (value === undefined || hopByHopHeaderNames.has(name)) continue
      forwarded[name] = Array.isArray(value) ? value.join(', ') : value
    }
    return forwarded
  }

  usesDedicatedConnection (): boolean {
    return false
  }

  override promptHeaders (attempt: CallAttempt, sharedPartsSource: Upstream | undefined): Record<string, string | string[]> {
    const headers: Record<string, string | string[]> = { ...this.requestHeaders(attempt), [headerNames.stage]: 'prefill' }
    if (sharedPartsSource !== undefined) headers[headerNames.promptPartsSource] = sharedPartsSource.description.worker.address
    return headers
  }

  override promptHandle (body: Buffer): string | undefined {
    const parsedBody = parseJson(body.toString('utf8')) as Record<string, unknown> | null | undefined
    const handle = parsedBody?.['kv-handle']
    return typeof handle === 'string' ? handle : undefined
  }

  override releaseCallOf (handle: string): { method: 'DELETE', path: string } {
    return { method: 'DELETE', path: `/v1/kv-handle/${encodeURIComponent(handle)}` }
  }
}

const statusLine = /HTTP\/1\.[01] [1-5]\d\d( |$)/

/**
 * True if a status line stands inside the head, since an earlier response broke off there: the status and the fields before it
 * are those of the earlier one.
 */
function containsStatusLine ({ reason, headers }: ResponseHead): boolean {
  return [reason, ...Object.values(headers)].some(value => value !== undefined && statusLine.test(String(value)))
}

/** True if the header fields state a type other than that of a stream of events, as those of a computed prompt do. */
function statesAnotherType (headers: HeaderFields): boolean {
  return headers['content-type'] !== undefined && !hasEventStreamType(headers)
}
