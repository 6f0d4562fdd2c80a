/**
 * The requests of the engine stand-in by id: all that have not ended, and a limited number of ended ones.
 */
import type { EngineRequest } from './EngineRequest.js'

/** Requests by request id and by attempt id. */
export class RequestTable {
  private readonly byRequestId = new Map<string, EngineRequest>()
  private readonly byAttemptId = new Map<string, EngineRequest>()
  private readonly ended: EngineRequest[] = []

  constructor (private readonly maxEnded: number) {}

  add (request: EngineRequest): void {
    this.byRequestId.set(request.details.requestId, request)
    this.byAttemptId.set(request.details.attemptId, request)
  }

  /** Records the end of a request and drops the oldest ended request beyond the limit. */
  recordEnd (request: EngineRequest): void {
    this.ended.push(request)
    const oldest = this.ended.length > this.maxEnded ? this.ended.shift() : undefined
    if (oldest === undefined) return
    const { requestId, attemptId } = oldest.details
    if (this.byRequestId.get(requestId) === oldest) this.byRequestId.delete(requestId)
    if (this.byAttemptId.get(attemptId) === oldest) this.byAttemptId.delete(attemptId)
  }

  /** The given attempt of a request, or its latest one if none is given. */
  get (requestId: string, attemptId?: string): EngineRequest | undefined {
    if (attemptId === undefined) return this.byRequestId.get(requestId)
    const attempt = this.byAttemptId.get(attemptId)
    return attempt?.details.requestId === requestId ? attempt : undefined
  }

  /** The latest attempt of each request, as `GET /requests` returns it. */
  describeAll () {
    return [...this.byRequestId.values()].map(describeRequest)
  }
}

/** A request as `GET /requests/<id>` returns it. `position` is that of the next token to generate. */
export function describeRequest (request: EngineRequest) {
  const { details, state, position, promptTokenCount, cachedTokens, prefillLeft, acceptedAt } = request
  return { ...details, state, position, promptTokens: promptTokenCount, cachedTokens, prefillLeft, acceptedAt }
}
