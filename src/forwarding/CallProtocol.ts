/**
 * What differs between kinds of workers that answer opaque calls: how a call is written to a worker, and what an
 * answer says. Choice of workers, attempts, budget and deadline are the same for all and stand in `ServiceCall`.
 */
import type { Upstream } from '../upstreams/index.js'
import type { ServiceRequest } from './ServiceRequest.js'

/** Header fields by lower-case name. */
export type HeaderFields = Record<string, string | string[] | undefined>

/** Status and header fields of an answer. */
export interface AnswerHead { status: number, headers: HeaderFields }

/** One attempt that is about to be sent. */
export interface CallAttempt {
  request: ServiceRequest
  upstream: Upstream
  /** Time until the deadline of the request. */
  remainingMilliseconds: number
  /** Id of the last event that reached the caller; undefined unless a stream is resumed. */
  resumeAfter: string | undefined
  /** Where the KV cache of the prompt waits; undefined if the worker computes the prompt itself. */
  kvSource: KvSource | undefined
}

/** A computed prompt on a prefill worker, to be fetched by the worker that generates the answer. */
export interface KvSource { upstream: Upstream, handle: string }

/**
 * What an answer is: `answered`, the worker's answer; `failed`, the worker's answer that it could not do its work;
 * `not_run`, its statement that it did not run the call; `foreign`, not an answer of this worker to this call.
 */
export type Verdict = 'answered' | 'failed' | 'not_run' | 'foreign'

/** Writes calls to workers and judges their answers. */
export abstract class CallProtocol {
  /** Header fields of an attempt. */
  abstract requestHeaders (attempt: CallAttempt): Record<string, string | string[]>
  /** Judges an answer by its head. */
  abstract judge (request: ServiceRequest, upstream: Upstream, head: AnswerHead): Verdict
  /** Header fields for the caller. */
  abstract answerHeaders (headers: HeaderFields): Record<string, string>
  /** True if a call gets a connection of its own instead of a kept one. */
  abstract usesFreshConnection (request: ServiceRequest): boolean

  /**
   * Header fields of a call that only computes the prompt; undefined if workers have no such call. `partsFrom`: a
   * worker from which parts of the prompt are fetched that the computing worker lacks.
   */
  promptHeaders (_attempt: CallAttempt, _partsFrom: Upstream | undefined): Record<string, string | string[]> | undefined {
    return undefined
  }

  /** The handle of a computed prompt in the body of the answer; undefined if there is none. */
  promptHandle (_body: Buffer): string | undefined {
    return undefined
  }

  /** Method and path of the call that frees a computed prompt which nobody will fetch. */
  releaseOf (_handle: string): { method: 'DELETE', path: string } | undefined {
    return undefined
  }
}
