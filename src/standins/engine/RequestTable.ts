/**
 * The requests of the engine stand-in by id: those that run, and a bounded number of ended ones.
 */
import type { EngineRequest } from './EngineRequest.js'

/** The table. */
export class RequestTable {
  private readonly requests = new Map<string, EngineRequest>()
  private readonly attempts = new Map<string, EngineRequest>()
  private readonly ended: EngineRequest[] = []

  constructor (private readonly maxEnded: number) {}

  add (request: EngineRequest): void {
    this.requests.set(request.details.requestId, request)
    this.attempts.set(request.details.attemptId, request)
  }

  /** To be called when a request has ended. */
  noteEnd (request: EngineRequest): void {
    this.ended.push(request)
    const oldest = this.ended.length > this.maxEnded ? this.ended.shift() : undefined
    if (oldest === undefined) return
    const { requestId, attemptId } = oldest.details
    if (this.requests.get(requestId) === oldest) this.requests.delete(requestId)
    if (this.attempts.get(attemptId) === oldest) this.attempts.delete(attemptId)
  }

  /** The latest attempt of a request, or the named one. */
  get (requestId: string, attemptId?: string): EngineRequest | undefined {
    if (attemptId === undefined) return this.requests.get(requestId)
    const attempt = this.attempts.get(attemptId)
    return attempt?.details.requestId === requestId ? attempt : undefined
  }

  /** The latest attempt of each request, as `GET /requests` shows them. */
  describeAll () {
    return [...this.requests.values()].map(describeRequest)
  }
}

/** A request as `GET /requests/<id>` shows it. `position` is that of the next token to generate. */
export function describeRequest (request: EngineRequest) {
  const { details, state, position, promptTokenCount, cachedTokens, prefillLeft, acceptedAt } = request
  return { ...details, state, position, promptTokens: promptTokenCount, cachedTokens, prefillLeft, acceptedAt }
}
