/**
 * The protocol of plain services behind the product's own interface: every response belongs to its call, and no
 * response states that a call did not run.
 */
import { responseHeadersOf } from './headers.js'
import { type ResponseHead, type CallAttempt, CallProtocol, type HeaderFields, type ResponseClass } from './CallProtocol.js'
import type { ServiceRequest } from './ServiceRequest.js'
import type { Upstream } from '../upstreams/index.js'

/** Statuses by which a service or an intermediary reports that it could not handle a call. */
const failedStatuses = new Set([429, 502, 503, 504])

/** Sends the headers of calls unchanged and classifies responses by their status. */
export class ServiceProtocol extends CallProtocol {
  requestHeaders ({ request }: CallAttempt): Record<string, string | string[]> {
    return request.headers
  }

  classifyResponse (_request: ServiceRequest, _upstream: Upstream, { status }: ResponseHead): ResponseClass {
    return failedStatuses.has(status) ? 'failed' : 'answered'
  }

  responseHeaders (headers: HeaderFields): Record<string, string> {
    return responseHeadersOf(headers)
  }

  /**
   * A service may close a pooled connection just when a call is sent on it, so that this host cannot know whether the
   * call ran. Calls that must not be repeated therefore use a new connection.
   */
  usesDedicatedConnection ({ idempotent }: ServiceRequest): boolean {
    return !idempotent
  }
}
