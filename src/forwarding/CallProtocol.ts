/**
 * How calls, whose content this host does not interpret, are written to workers and how answers are classified. This
 * differs between kinds of workers; `ServiceCall` has what they share: choice of workers, attempts, retry budget and
 * deadline.
 */
import type { Upstream } from '../upstreams/index.js'
import type { ServiceRequest } from './ServiceRequest.js'

/** Header fields by lower-case name. */
export type HeaderFields = Record<string, string | string[] | undefined>

/** Status and header fields of an answer. */
export interface ResponseHead { status: number, headers: HeaderFields }

/** One attempt that is about to be sent. */
export interface CallAttempt {
  request: ServiceRequest
  upstream: Upstream
  /** Time that is left for the attempt. */
  remainingMilliseconds: number
  /** Id of the last event that reached the caller; undefined unless a stream is resumed. */
  resumeAfter: string | undefined
  /** Source of the KV cache of the prompt; undefined if the receiving worker computes the prompt itself. */
  kvSource: KvSource | undefined
}

/** A prefill worker and the handle by which the worker that generates the answer fetches the KV cache of the prompt. */
export interface KvSource { upstream: Upstream, handle: string }

/**
 * Classification of an answer. `answered`: the worker handled the call; `failed`: the worker states that it could not
 * handle the call; `not_run`: the worker states that it did not run the call; `foreign`: the answer does not come from
 * this worker or does not belong to this call.
 */
export type ResponseClass = 'answered' | 'failed' | 'not_run' | 'foreign'

/** Writes calls to workers and classifies their answers. */
export abstract class CallProtocol {
  /** Header fields of the request that carries an attempt. */
  abstract requestHeaders (attempt: CallAttempt): Record<string, string | string[]>
  /** Classifies an answer by its status and header fields. */
  abstract classifyResponse (request: ServiceRequest, upstream: Upstream, head: ResponseHead): ResponseClass
  /** Header fields of an answer that are passed on to the caller. */
  abstract responseHeaders (headers: HeaderFields): Record<string, string>
  /** True if a call is sent on a new connection instead of a pooled one. */
  abstract usesDedicatedConnection (request: ServiceRequest): boolean

  /**
   * Header fields of a call that only computes the prompt; undefined if the workers have no such call. `sharedPartsSource`: a
   * worker from which the computing worker fetches the parts of the prompt that it lacks.
   */
  promptHeaders (_attempt: CallAttempt, _sharedPartsSource: Upstream | undefined): Record<string, string | string[]> | undefined {
    return undefined
  }

  /** Reads the handle of a computed prompt from the body of an answer; undefined if there is none. */
  promptHandle (_body: Buffer): string | undefined {
    return undefined
  }

  /** Method and path of the call that frees a computed prompt which no worker will fetch; undefined if there is none. */
  releaseCallOf (_handle: string): { method: 'DELETE', path: string } | undefined {
    return undefined
  }
}
