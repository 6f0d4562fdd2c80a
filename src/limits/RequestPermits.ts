/**
 * Keeps the requests of this host to limited workers within their limits: asks the host that grants their permits, and
 * grants them by itself, with this host's share of the limit, while that host does not answer.
 */
import { Result } from 'true-myth'
import { type Clock, failure, type Failure, type Pool } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { Upstream } from '../upstreams/index.js'
import { minPerSecond, type PermitDecision, type PermitRequest } from './PermitQueue.js'
import { RateBucket } from './RateBucket.js'

/** Connection to the hosts that grant permits. */
export abstract class PermitClient {
  /** Number of hosts that share the limits, as last told; undefined if no host has told it. */
  abstract readonly sharingHosts: number | undefined
  /** Asks for a permit. Errors: `not_ready` if no host answers, `cancelled` if the signal aborts. */
  abstract request (
    workers: readonly Upstream[],
    request: Omit<PermitRequest, 'workers'>,
    signal: AbortSignal
  ): Promise<Result<PermitDecision, Failure>>
}

/** A request that is about to be sent to a worker. */
export interface PermitUse {
  requestId: string
  pool: Pool
  /** Rank of the request; 0 is the most urgent. */
  urgency: number
  /** Monotonic time in milliseconds by which the response has to start to be in time. */
  dueAt: number
  /** Monotonic time in milliseconds at which the caller gives up. */
  lostAt: number
  /** Workers that may be sent the request at the moment. */
  candidates: () => readonly Upstream[]
  /** Chooses among workers without a limit. */
  choose: (unlimited: readonly Upstream[]) => Upstream | undefined
}

/** Options of `RequestPermits`. */
export interface RequestPermitsOptions {
  client: PermitClient
  clock: Clock
  events: EventLog
}

/** Share of the remaining time for which a request may wait for a permit; the rest is left to the worker. */
const maxWaitFraction = 0.5

/** Rate at which a host sends requests to a limited worker while it does not know how many hosts share the limit, per second. */
const perSecondAlone = 1 / 16

/** Obtains the permits for the requests of this host. */
export class RequestPermits {
  /** Shares by worker process; they are needed only while no other host grants permits. */
  private readonly shares = new WeakMap<Upstream, RateBucket>()
  private requests = 0

  constructor (private readonly options: RequestPermitsOptions) {}

  /**
   * Returns the worker to send a request to: the preferred one if it has no limit or a permit is available; otherwise
   * another candidate. Undefined if there is no candidate any more. Errors: `overloaded` if all candidates are limited and
   * no permit comes in time, with the time until one does; `cancelled` if the signal aborts.
   */
  async choose (use: PermitUse, preferred: Upstream, signal: AbortSignal): Promise<Result<Upstream | undefined, Failure>> {
    let chosen: Upstream | undefined = preferred
    while (chosen?.limit.perSecond !== undefined) {
      const candidates = use.candidates()
      const unlimited = candidates.filter(({ limit }) => limit.perSecond === undefined)
      const decision = await this.decide(use, [chosen, ...candidates], unlimited.length === 0, signal)
      if (decision.isErr) return Result.err(decision.error)
      if (decision.value.kind === 'refused') return this.withoutPermit(use, decision.value.retryAfterMilliseconds)
      const { worker } = decision.value
      // The worker may have left while the request waited for its permit.
      const granted = use.candidates().find(({ id }) => id === worker)
      if (granted !== undefined) return Result.ok(granted)
      chosen = use.choose(use.candidates())
    }
    return Result.ok(chosen)
  }

  private withoutPermit (use: PermitUse, retryAfterMilliseconds: number): Result<Upstream | undefined, Failure> {
    const unlimited = use.choose(use.candidates().filter(({ limit }) => limit.perSecond === undefined))
    if (unlimited !== undefined) return Result.ok(unlimited)
    const { requestId: request, pool } = use
    this.options.events.info('permit_refused', { request, pool, retry_after: retryAfterMilliseconds })
    return Result.err(failure('overloaded', `all workers of pool ${pool} have as many requests as they state that they take`, { retryAfterMilliseconds }))
  }

  private async decide (
    use: PermitUse,
    candidates: readonly Upstream[],
    mayWait: boolean,
    signal: AbortSignal
  ): Promise<Result<PermitDecision, Failure>> {
    const { client, clock, events } = this.options
    const limited = [...new Set(candidates)].filter(({ limit }) => limit.perSecond !== undefined)
    const now = clock.monotonic()
    this.requests += 1
    const decision = await client.request(limited, {
      id: `${use.requestId}/${this.requests}`,
      urgency: use.urgency,
      dueAt: use.dueAt,
      lostAt: mayWait ? now + (use.lostAt - now) * maxWaitFraction : now
    }, signal)
    if (decision.isOk || decision.error.kind === 'cancelled') return decision
    events.debug('permit_granted_alone', { request: use.requestId, kind: decision.error.kind, reason: decision.error.message })
    return Result.ok(this.decideAlone(limited))
  }

  private decideAlone (limited: readonly Upstream[]): PermitDecision {
    const now = this.options.clock.monotonic()
    const waits = limited.map(upstream => ({ upstream, wait: this.shareOf(upstream, now).waitMilliseconds(now) }))
    const first = waits.reduce((best, other) => other.wait < best.wait ? other : best)
    if (first.wait > 0) return { kind: 'refused', retryAfterMilliseconds: Math.ceil(first.wait) }
    this.shareOf(first.upstream, now).take(now)
    return { kind: 'granted', worker: first.upstream.id }
  }

  private shareOf (upstream: Upstream, now: number): RateBucket {
    const { sharingHosts } = this.options.client
    const stated = Math.max(minPerSecond, upstream.limit.perSecond ?? Infinity)
    const perSecond = sharingHosts === undefined ? Math.min(stated, perSecondAlone) : stated / sharingHosts
    const share = this.shares.get(upstream) ?? new RateBucket(0)
    if (share.perSecond !== perSecond) share.setRate(perSecond, now)
    this.shares.set(upstream, share)
    return share
  }
}
