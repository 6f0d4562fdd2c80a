/**
 * Plain services of the product's own interface: every answer belongs to its call, and nothing states that a call
 * did not run.
 */
import { answerHeadersOf } from './headers.js'
import { type AnswerHead, type CallAttempt, CallProtocol, type HeaderFields, type Verdict } from './CallProtocol.js'
import type { ServiceRequest } from './ServiceRequest.js'
import type { Upstream } from '../upstreams/index.js'

/** Statuses by which a service or the way to it says that it could not do its work. */
const failedStatuses = new Set([429, 502, 503, 504])

/** Calls to plain services. */
export class ServiceProtocol extends CallProtocol {
  requestHeaders ({ request }: CallAttempt): Record<string, string | string[]> {
    return request.headers
  }

  judge (_request: ServiceRequest, _upstream: Upstream, { status }: AnswerHead): Verdict {
    return failedStatuses.has(status) ? 'failed' : 'answered'
  }

  answerHeaders (headers: HeaderFields): Record<string, string> {
    return answerHeadersOf(headers)
  }

  /**
   * A kept connection may be closed by the service just when a call goes out on it, and then nobody knows whether
   * the call ran. A fresh connection avoids that for calls that must not be repeated.
   */
  usesFreshConnection ({ idempotent }: ServiceRequest): boolean {
    return !idempotent
  }
}
