/**
 * Owns the open requests of this host: starts them, lists them, and lets a drain wait until none is open.
 */
import type { RequestId, Team } from '../common/index.js'
import { Generation, type GenerationContext, type GenerationRequest } from './Generation.js'
import { ServiceCall } from './ServiceCall.js'
import type { ServiceContext, ServiceRequest } from './ServiceRequest.js'

/** One open request, as operators see it. */
export interface OpenRequest {
  requestId: RequestId
  /** Undefined if callers do not identify themselves. */
  team?: Team
  kind: 'generation' | 'service'
  /** Unix time in milliseconds. */
  startedAt: number
}

/** Options of a `RequestManager`. */
export type RequestManagerOptions = GenerationContext & ServiceContext

/** Starts and tracks the open requests. */
export class RequestManager {
  private readonly open = new Map<RequestId, OpenRequest>()
  private drainWaiters: Array<() => void> = []

  constructor (private readonly options: RequestManagerOptions) {}

  /** Counts a request as open until the returned function is called. */
  begin (request: Pick<OpenRequest, 'requestId' | 'team' | 'kind'>): () => void {
    this.open.set(request.requestId, { ...request, startedAt: this.options.clock.wall() })
    return () => {
      this.open.delete(request.requestId)
      if (this.open.size > 0) return
      for (const wake of this.drainWaiters.splice(0)) wake()
    }
  }

  /** Starts a request to a model. The caller reads its events; `ended` resolves when no attempt is running any more. */
  generate (request: GenerationRequest): { generation: Generation, ended: Promise<void> } {
    this.options.budget.requestStarted()
    const generation = new Generation(request, this.options)
    const ended = generation.run().catch(error => {
      this.options.events.error('generation_ended', { request: request.requestId, reason: String(error) })
      generation.cancel()
    })
    return { generation, ended }
  }

  /** Prepares a call to a plain service. */
  serviceCall (request: ServiceRequest): ServiceCall {
    this.options.budget.requestStarted(request.pool)
    return new ServiceCall(request, this.options)
  }

  /** The open requests, oldest first. */
  view (): OpenRequest[] {
    return [...this.open.values()]
  }

  /** Resolves when no request is open. */
  async drain (): Promise<void> {
    while (this.open.size > 0) await new Promise<void>(resolve => { this.drainWaiters.push(resolve) })
  }
}
