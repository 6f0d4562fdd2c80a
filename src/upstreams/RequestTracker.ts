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

/** What a request tells about the capacity of its upstream. */
export interface MeasuredRequest {
  /** Requests of the same kind take similar times. */
  kind: string
  /** Time within which the upstream has to answer for the request to be in time, in milliseconds; undefined if unknown. */
  dueMilliseconds: number | undefined
}

/** Counts one request in the load of its upstream and reports its end to the health of the upstream. */
export class RequestTracker {
  private readonly request: TrackedRequest
  private hasEnded = false
  private readonly startedAt: number

  constructor (
    readonly upstream: Upstream,
    prefillTokens: number,
    private readonly clock: Clock,
    private readonly onEnd: () => void,
    private readonly measured?: MeasuredRequest
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
    this.recordCapacity(result, now)
    this.upstream.load.end(this.request, now)
    if (result === 'answered') this.upstream.health.requestSucceeded()
    if (result === 'failed') this.upstream.health.requestFailed()
    if (result === 'left' && this.request.firstTokenAt === undefined) this.upstream.health.requestUnanswered(this.startedAt)
    if (result === 'declined') this.upstream.health.requestDeclined()
    if (result === 'refused') this.upstream.health.connectionRefused()
    this.onEnd()
    return now - this.startedAt
  }

  /** A request that this host abandoned tells something only if it was late already. */
  private recordCapacity (result: RequestResult, now: number): void {
    if (this.measured === undefined || result === 'declined') return
    const milliseconds = (this.request.firstTokenAt ?? now) - this.startedAt
    const { dueMilliseconds } = this.measured
    const isLate = dueMilliseconds !== undefined && milliseconds > dueMilliseconds
    if (result === 'left' && !isLate) return
    const isFailure = result === 'failed' || result === 'refused'
    const ownOpen = this.upstream.load.outstanding
    this.upstream.capacity.recordEnd({ ...this.measured, milliseconds, isFailure, ownOpen })
  }
}
