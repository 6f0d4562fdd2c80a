/**
 * The error value of `Result`. Expected errors are returned as `Result<T, Failure>`; only programming errors are
 * thrown. `FailureError` carries a failure through library code that can only signal errors by throwing.
 */
import { errorResponses, type ErrorKind, isErrorKind } from './ErrorKind.js'

/** An expected error, returned as the error value of a `Result`. */
export interface Failure {
  kind: ErrorKind
  /** What went wrong, for people who read the log or the response. */
  message: string
  /** Structured details for programs, e.g. the current version after a conflict. */
  detail?: Record<string, unknown>
}

/** Makes a failure. */
export function failure (kind: ErrorKind, message: string, detail?: Record<string, unknown>): Failure {
  return detail === undefined ? { kind, message } : { kind, message, detail }
}

/** An exception that carries a failure. */
export class FailureError extends Error {
  constructor (readonly failure: Failure) {
    super(`${failure.kind}: ${failure.message}`)
    this.name = 'FailureError'
  }
}

/** Converts a caught value into a failure. A value other than a `FailureError` becomes a failure of the given kind. */
export function failureOf (caught: unknown, kind: ErrorKind = 'internal'): Failure {
  if (caught instanceof FailureError) return caught.failure
  if (caught instanceof Error) return failure(kind, caught.message)
  return failure(kind, String(caught))
}

/** The JSON body of an error response, in the shape of the OpenAI error object. */
export interface ErrorBody {
  error: { type: ErrorKind, message: string, not_run: boolean, detail?: Record<string, unknown> }
}

/** Makes the JSON body for a failure. */
export function errorBodyOf (failed: Failure): ErrorBody {
  return {
    error: {
      type: failed.kind,
      message: failed.message,
      not_run: errorResponses[failed.kind].notRun,
      ...(failed.detail === undefined ? {} : { detail: failed.detail })
    }
  }
}

/**
 * Makes the HTTP response to a failure: the status from `errorResponses`, the JSON body, and `retry-after` if a retry can
 * help.
 */
export function errorResponseOf (failed: Failure): Response {
  const errorResponse = errorResponses[failed.kind]
  const headers = new Headers({ 'content-type': 'application/json' })
  if (errorResponse.retryAfterSeconds !== undefined) headers.set('retry-after', String(errorResponse.retryAfterSeconds))
  return new Response(JSON.stringify(errorBodyOf(failed)), { status: errorResponse.status, headers })
}

/** Reads a failure from the JSON body of an error response; returns undefined if the body has another shape. */
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
