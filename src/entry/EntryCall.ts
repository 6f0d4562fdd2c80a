/**
 * A call of a caller as the handlers see it, and the answer to one that fails.
 */
import type { HttpBindings } from '@hono/node-server'
import type { Context } from 'hono'
import { errorAnswers, errorResponseOf, type Failure, type RequestId } from '../common/index.js'
import type { AuthenticatedTeam } from '../configuration/index.js'
import type { CallHeaders } from './callHeaders.js'

/** What the middleware has found out about a call. */
export interface CallVariables {
  requestId: RequestId
  account: AuthenticatedTeam
  call: CallHeaders
  /** Monotonic time in milliseconds. */
  deadline: number
  /** Aborts when the caller closes its connection. */
  callerLeft: AbortSignal
}

/** Environment of the handlers. */
export interface EntryEnvironment {
  Bindings: Partial<HttpBindings>
  Variables: CallVariables
}

/** Context of a call. */
export type EntryCall = Context<EntryEnvironment>

/** Answers a failure. A `retryAfterSeconds` in the detail overrides the table. */
export function answerFailure (failed: Failure): Response {
  const response = errorResponseOf(failed)
  const retryAfter = failed.detail?.retryAfterSeconds
  if (typeof retryAfter === 'number' && errorAnswers[failed.kind].retryAfterSeconds !== undefined) {
    response.headers.set('retry-after', String(retryAfter))
  }
  return response
}
