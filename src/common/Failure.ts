/**
 * The error value of `Result`. Expected errors travel as `Result<T, Failure>`; only programming faults throw.
 * `FailureError` carries a failure through code of libraries that can only signal errors by throwing.
 */
import { errorAnswers, type ErrorKind, isErrorKind } from './ErrorKind.js'

/** An expected error. */
export interface Failure {
  kind: ErrorKind
  /** What went wrong, for a reader of the log or the answer. */
  message: string
  /** Structured facts for programs, e.g. the version that won a conflict. */
  detail?: Record<string, unknown>
}

/** Makes a failure. */
export function failure (kind: ErrorKind, message: string, detail?: Record<string, unknown>): Failure {
  return detail === undefined ? { kind, message } : { kind, message, detail }
}

/** A failure as an exception. */
export class FailureError extends Error {
  constructor (readonly failure: Failure) {
    super(`${failure.kind}: ${failure.message}`)
    this.name = 'FailureError'
  }
}

/** Converts anything caught into a failure; what is not a failure already is of the given kind. */
export function failureOf (caught: unknown, kind: ErrorKind = 'internal'): Failure {
  if (caught instanceof FailureError) return caught.failure
  if (caught instanceof Error) return failure(kind, caught.message)
  return failure(kind, String(caught))
}

/** The JSON body of an error answer. The shape follows the OpenAI error object. */
export interface ErrorBody {
  error: { type: ErrorKind, message: string, not_run: boolean, detail?: Record<string, unknown> }
}

/** Makes the JSON body for a failure. */
export function errorBodyOf (failed: Failure): ErrorBody {
  return {
    error: {
      type: failed.kind,
      message: failed.message,
      not_run: errorAnswers[failed.kind].notRun,
      ...(failed.detail === undefined ? {} : { detail: failed.detail })
    }
  }
}

/** Makes the HTTP answer for a failure: status from the table, JSON body, `retry-after` where a retry can help. */
export function errorResponseOf (failed: Failure): Response {
  const answer = errorAnswers[failed.kind]
  const headers = new Headers({ 'content-type': 'application/json' })
  if (answer.retryAfterSeconds !== undefined) headers.set('retry-after', String(answer.retryAfterSeconds))
  return new Response(JSON.stringify(errorBodyOf(failed)), { status: answer.status, headers })
}

/** Reads a failure out of the JSON body of an error answer; undefined if the body is of another shape. */
export function failureFromBody (body: unknown): Failure | undefined {
  if (typeof body !== 'object' || body === null) return undefined
  const error = (body as { error?: { type?: unknown, message?: unknown, detail?: unknown } }).error
  if (typeof error !== 'object' || error === null) return undefined
  if (typeof error.type !== 'string' || !isErrorKind(error.type)) return undefined
  const detail = typeof error.detail === 'object' && error.detail !== null
    ? error.detail as Record<string, unknown>
    : undefined
  return failure(error.type, String(error.message ?? ''), detail)
}
