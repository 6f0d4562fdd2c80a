/**
 * The requests of the engine stand-in by id: those that run, and a bounded number of ended ones. An id stands
 * for its latest attempt.
 */
import type { EngineRequest } from './EngineRequest.js'

/** The table. */
export class RequestTable {
  private readonly requests = new Map<string, EngineRequest>()
  private readonly ended: EngineRequest[] = []

  constructor (private readonly maxEnded: number) {}

  add (request: EngineRequest): void {
    this.requests.set(request.details.requestId, request)
  }

  /** To be called when a request has ended. */
  noteEnd (request: EngineRequest): void {
    this.ended.push(request)
    if (this.ended.length <= this.maxEnded) return
    const oldest = this.ended.shift()
    if (oldest !== undefined && this.get(oldest.details.requestId) === oldest) this.requests.delete(oldest.details.requestId)
  }

  get (requestId: string): EngineRequest | undefined {
    return this.requests.get(requestId)
  }

  /** All requests, as `GET /requests` shows them. */
  describeAll () {
    return [...this.requests.values()].map(describeRequest)
  }
}

/** A request as `GET /requests/<id>` shows it. `position` is that of the next token to generate. */
export function describeRequest (request: EngineRequest) {
  const { details, state, position, promptTokenCount, cachedTokens, prefillLeft, acceptedAt } = request
  return { ...details, state, position, promptTokens: promptTokenCount, cachedTokens, prefillLeft, acceptedAt }
}
