/**
 * The context of a caller's request that the middleware passes to the handlers, and the error response of a failed request.
 */
import type { HttpBindings } from '@hono/node-server'
import type { Context } from 'hono'
import { errorResponses, errorResponseOf, type Failure, type RequestId } from '../common/index.js'
import type { AuthenticatedTeam } from '../configuration/index.js'
import type { CallHeaders } from './callHeaders.js'

/** Values of a call that the middleware sets before the handlers run. */
export interface CallVariables {
  requestId: RequestId
  account: AuthenticatedTeam
  call: CallHeaders
  /** Monotonic time in milliseconds. */
  deadline: number
  /** Aborts when the caller closes its connection before the response is complete. */
  callerDisconnected: AbortSignal
}

/** Hono environment of the handlers. */
export interface EntryEnvironment {
  Bindings: Partial<HttpBindings>
  Variables: CallVariables
}

/** Hono context of a call. */
export type EntryCall = Context<EntryEnvironment>

/**
 * Returns the error response of a failure. A `retryAfterSeconds` in the failure's detail replaces the value of the
 * `retry-after` header that the table of error kinds sets for its kind.
 */
export function answerFailure (failed: Failure): Response {
  const response = errorResponseOf(failed)
  const retryAfter = failed.detail?.retryAfterSeconds
  if (typeof retryAfter === 'number' && errorResponses[failed.kind].retryAfterSeconds !== undefined) {
    response.headers.set('retry-after', String(retryAfter))
  }
  return response
}
