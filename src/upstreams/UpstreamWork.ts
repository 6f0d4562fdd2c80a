/**
 * One request of this host on one upstream, from just before it is sent until it has ended.
 */
import type { Clock } from '../common/index.js'
import type { SentWork } from './LoadEstimate.js'
import type { Upstream } from './Upstream.js'

/**
 * How a request ended: `answered`; `failed` by the upstream or the way to it; `refused` before it was sent;
 * `declined` by the upstream, which did not run it; `left` by this host, which tells something only after a long silence.
 */
export type WorkResult = 'answered' | 'failed' | 'refused' | 'declined' | 'left'

/** Counts one request in the load of its upstream and reports its end as evidence of health. */
export class UpstreamWork {
  private readonly work: SentWork
  private ended = false
  private readonly startedAt: number

  constructor (
    readonly upstream: Upstream,
    prefillTokens: number,
    private readonly clock: Clock,
    private readonly onEnd: () => void
  ) {
    this.startedAt = clock.monotonic()
    this.work = upstream.load.begin(this.startedAt, prefillTokens)
  }

  /** Notes that the first token arrived. */
  firstToken (): void {
    this.upstream.load.firstToken(this.work, this.clock.monotonic())
  }

  /** Ends the request. Returns its duration in milliseconds; only the first call has an effect. */
  end (result: WorkResult): number {
    const now = this.clock.monotonic()
    if (this.ended) return 0
    this.ended = true
    this.upstream.load.end(this.work, now)
    if (result === 'answered') this.upstream.health.requestSucceeded()
    if (result === 'failed') this.upstream.health.requestFailed()
    if (result === 'left' && this.work.firstTokenAt === undefined) this.upstream.health.requestUnanswered(this.startedAt)
    if (result === 'declined') this.upstream.health.requestDeclined()
    if (result === 'refused') this.upstream.health.connectionRefused()
    this.onEnd()
    return now - this.startedAt
  }
}
