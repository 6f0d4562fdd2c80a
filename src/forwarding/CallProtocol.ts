/**
 * How calls, whose content this host does not interpret, are sent to workers and how the responses are classified. Both
 * differ between kinds of workers; `ServiceCall` implements what all kinds share: the choice of workers, the attempts,
 * the retry budget and the deadline.
 */
import type { Upstream } from '../upstreams/index.js'
import type { ServiceRequest } from './ServiceRequest.js'

/** Header fields by lower-case name. */
export type HeaderFields = Record<string, string | string[] | undefined>

/** Status and header fields of a response. */
export interface ResponseHead { status: number, reason?: string, headers: HeaderFields }

/** One attempt that is about to be sent. */
export interface CallAttempt {
  request: ServiceRequest
  upstream: Upstream
  /** Remaining time for the attempt. */
  remainingMilliseconds: number
  /** Id of the last event that was sent to the caller; undefined unless a stream is resumed. */
  resumeAfter: string | undefined
  /** Source of the KV cache of the prompt; undefined if the receiving worker computes the prompt itself. */
  kvSource: KvSource | undefined
}

/** A prefill worker, and the handle by which a decode worker fetches the KV cache of the prompt from it. */
export interface KvSource { upstream: Upstream, handle: string }

/**
 * Classification of a response. `answered`: the worker handled the call; `failed`: the worker states that it could not
 * handle the call; `not_run`: the worker states that it did not run the call; `foreign`: the response does not come
 * from this worker or does not belong to this call.
 */
export type ResponseClass = 'answered' | 'failed' | 'not_run' | 'foreign'

/** Number of characters that are logged of the id of a response. */
const maxLoggedIdLength = 64

/** Creates the header fields of calls to workers and classifies the responses. */
export abstract class CallProtocol {
  /** Header field in which a response bears the id of its request, lower case; undefined if responses bear none. */
  readonly requestIdField: string | undefined = undefined

  /** Header fields of the request that carries an attempt. */
  abstract requestHeaders (attempt: CallAttempt): Record<string, string | string[]>
  /** True if a response answers the request, and not an earlier one on the same connection. */
  isResponseTo (_request: ServiceRequest, _head: ResponseHead): boolean {
    return true
  }

  /** Reason for a log line about a response that does not belong to its call, with the id that tells a late copy apart. */
  foreignReason ({ status, headers }: ResponseHead): string {
    const id = this.requestIdField === undefined ? undefined : headers[this.requestIdField]
    const bearing = id === undefined ? 'without an id' : `with the id ${String(id).slice(0, maxLoggedIdLength)}`
    return `the response with status ${status} ${bearing} does not belong to the call`
  }

  /** Classifies a response by its status and header fields. */
  abstract classifyResponse (request: ServiceRequest, upstream: Upstream, head: ResponseHead): ResponseClass
  /** Header fields of a response that are passed on to the caller. */
  abstract responseHeaders (headers: HeaderFields): Record<string, string>
  /** True if a call is sent on a new connection instead of a pooled one. */
  abstract usesDedicatedConnection (request: ServiceRequest): boolean

  /**
   * Header fields of a call that only computes the prompt; undefined if the workers have no such call.
   * `sharedPartsSource`: a worker from which the computing worker fetches the missing parts of the prompt.
   */
  promptHeaders (_attempt: CallAttempt, _sharedPartsSource: Upstream | undefined): Record<string, string | string[]> | undefined {
    return undefined
  }

  /** Reads the handle of a computed prompt from the body of a response; undefined if there is none. */
  promptHandle (_body: Buffer): string | undefined {
    return undefined
  }

  /** Method and path of the call that frees a computed prompt which no worker will fetch; undefined if there is none. */
  releaseCallOf (_handle: string): { method: 'DELETE', path: string } | undefined {
    return undefined
  }
}
