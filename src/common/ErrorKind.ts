/**
 * The closed set of error kinds and the response to each. Every error that leaves a process, over HTTP, gRPC or
 * the command line, has one of these kinds.
 */

/** All kinds of errors. */
export type ErrorKind =
  | 'bad_request'
  | 'unauthenticated'
  | 'forbidden'
  | 'not_found'
  | 'unknown_model'
  | 'body_too_large'
  | 'body_timeout'
  | 'headers_too_large'
  | 'conflict'
  | 'invalid_configuration'
  | 'overloaded'
  | 'deadline_exceeded'
  | 'draining'
  | 'not_ready'
  | 'not_run'
  | 'quarantined'
  | 'outcome_unknown'
  | 'upstream_failed'
  | 'stream_interrupted'
  | 'platform_unavailable'
  | 'lost_authority'
  | 'wrong_incarnation'
  | 'newer_version'
  | 'cancelled'
  | 'internal'

/** The response to an error kind, over HTTP and on the command line. */
export interface ErrorResponse {
  /** HTTP status code. */
  status: number
  /** True if the request certainly did not run, so that the caller may send it again. */
  notRun: boolean
  /** Seconds for the `retry-after` header; absent if a retry cannot help. */
  retryAfterSeconds?: number
  /** Exit status of the command line. */
  exitStatus: number
}

/** The response to each error kind. */
export const errorResponses: Record<ErrorKind, ErrorResponse> = {
  bad_request: { status: 400, notRun: true, exitStatus: 2 },
  unauthenticated: { status: 401, notRun: true, exitStatus: 3 },
  forbidden: { status: 403, notRun: true, exitStatus: 3 },
  not_found: { status: 404, notRun: true, exitStatus: 4 },
  unknown_model: { status: 404, notRun: true, exitStatus: 4 },
  body_too_large: { status: 413, notRun: true, exitStatus: 2 },
  body_timeout: { status: 408, notRun: true, retryAfterSeconds: 1, exitStatus: 6 },
  headers_too_large: { status: 431, notRun: true, exitStatus: 2 },
  conflict: { status: 409, notRun: true, exitStatus: 5 },
  invalid_configuration: { status: 422, notRun: true, exitStatus: 2 },
  overloaded: { status: 429, notRun: true, retryAfterSeconds: 1, exitStatus: 6 },
  deadline_exceeded: { status: 504, notRun: false, exitStatus: 6 },
  draining: { status: 503, notRun: true, retryAfterSeconds: 1, exitStatus: 6 },
  not_ready: { status: 503, notRun: true, retryAfterSeconds: 1, exitStatus: 6 },
  not_run: { status: 503, notRun: true, retryAfterSeconds: 1, exitStatus: 6 },
  quarantined: { status: 503, notRun: true, retryAfterSeconds: 60, exitStatus: 6 },
  outcome_unknown: { status: 502, notRun: false, exitStatus: 7 },
  upstream_failed: { status: 502, notRun: false, exitStatus: 6 },
  stream_interrupted: { status: 502, notRun: false, exitStatus: 6 },
  platform_unavailable: { status: 503, notRun: true, retryAfterSeconds: 5, exitStatus: 6 },
  lost_authority: { status: 409, notRun: true, exitStatus: 5 },
  wrong_incarnation: { status: 409, notRun: true, exitStatus: 5 },
  newer_version: { status: 503, notRun: true, exitStatus: 6 },
  cancelled: { status: 499, notRun: false, exitStatus: 1 },
  internal: { status: 500, notRun: false, exitStatus: 1 }
}

/** True if the text is the name of an error kind. */
export function isErrorKind (text: string): text is ErrorKind {
  return Object.hasOwn(errorResponses, text)
}
