/**
 * Error of a request that was given up before any byte of it was sent.
 */

/** Code of a `NotSentError`. */
export const notSentCode = 'NOT_SENT'

/** The request was given up while it waited for a connection; the server has not received any part of it. */
export class NotSentError extends Error {
  readonly code = notSentCode

  constructor (reason: unknown) {
    super(reason instanceof Error ? reason.message : String(reason))
  }
}
