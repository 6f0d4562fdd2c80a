/**
 * Tracks one request of this host to one upstream, from just before it is sent until it has ended.
 */
import type { Clock } from '../common/index.js'
import type { TrackedRequest } from './LoadEstimate.js'
import type { Upstream } from './Upstream.js'

/**
 * How a request ended. `answered`: the upstream answered the request; `failed`: the upstream or the connection to it
 * failed; `refused`: no connection could be opened, so nothing was sent; `declined`: the upstream stated that it did
 * not run the request; `left`: this host abandoned the request, which is evidence about the upstream only after a long
 * time without a response.
 */
export type RequestResult = 'answered' | 'failed' | 'refused' | 'declined' | 'left'

/** Counts one request in the load of its upstream and reports its end to the health of the upstream. */
export class RequestTracker {
  private readonly request: TrackedRequest
  private hasEnded = false
  private readonly startedAt: number

  constructor (
    readonly upstream: Upstream,
    prefillTokens: number,
    private readonly clock: Clock,
    private readonly onEnd: () => void
  ) {
    this.startedAt = clock.monotonic()
    this.request = upstream.load.begin(this.startedAt, prefillTokens)
  }

  /** Records that the first token arrived. */
  recordFirstToken (): void {
    this.upstream.load.recordFirstToken(this.request, this.clock.monotonic())
  }

  /** Ends the request. Returns its duration in milliseconds; later calls have no effect and return 0. */
  end (result: RequestResult): number {
    const now = this.clock.monotonic()
    if (this.hasEnded) return 0
    this.hasEnded = true
    this.upstream.load.end(this.request, now)
    if (result === 'answered') this.upstream.health.requestSucceeded()
    if (result === 'failed') this.upstream.health.requestFailed()
    if (result === 'left' && this.request.firstTokenAt === undefined) this.upstream.health.requestUnanswered(this.startedAt)
    if (result === 'declined') this.upstream.health.requestDeclined()
    if (result === 'refused') this.upstream.health.connectionRefused()
    this.onEnd()
    return now - this.startedAt
  }
}
