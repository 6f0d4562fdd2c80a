/**
 * The permits of the limited workers of one cell, which one host grants to all hosts. A worker's limit holds for the sum
 * over the hosts, and no host knows what the others send.
 *
 * A request that finds no permit waits for the next one if it can still be served then; the ones that can be in time and
 * the most urgent ones come first. A request for which no permit comes in time is refused at once.
 */
import type { Clock, WorkerId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { LimitEvidence, WorkerLimit } from '../upstreams/index.js'
import { RateBucket } from './RateBucket.js'

/** A request for a permit. Times are monotonic, in milliseconds. */
export interface PermitRequest {
  id: string
  /** Workers to which the request may be sent, the preferred one first. */
  workers: readonly WorkerId[]
  /** Rank of the request; 0 is the most urgent. */
  urgency: number
  /** Time by which the response has to start to be in time. */
  dueAt: number
  /** Time after which the request cannot use a permit any more. */
  lostAt: number
}

/** Decision about a request for a permit; `retryAfterMilliseconds`: time until a permit would be available. */
export type PermitDecision =
  | { kind: 'granted', worker: WorkerId }
  | { kind: 'refused', retryAfterMilliseconds: number }

interface WaitingRequest {
  request: PermitRequest
  decide: (decision: PermitDecision) => void
}

interface LimitedWorker { bucket: RateBucket, evidence: LimitEvidence }

/** Lowest rate at which all hosts together send to a worker, per second: requests show whether a statement still holds. */
export const minPerSecond = 0.25

/** Shortest time for which a limit is taken to hold without new evidence, in milliseconds. */
const minEvidenceMilliseconds = 10_000

/** Number of requests to a limited worker that no host has heard of again, after which its limit is forgotten. */
const unansweredRequests = 4

/** Interval of the log lines about limited workers, in milliseconds. */
const stateLogMilliseconds = 2000

const millisecondsPerSecond = 1000

/** Grants the permits of one cell. */
export class PermitQueue {
  private readonly limited = new Map<WorkerId, LimitedWorker>()
  /** Newest evidence that a worker is no longer limited, so that older evidence does not limit it again. */
  private readonly unlimitedAt = new Map<WorkerId, number>()
  private readonly waiting = new Set<WaitingRequest>()
  private recheck: AbortController | undefined
  private granted = 0
  private refused = 0
  private stateLoggedAt = -Infinity

  constructor (private readonly options: { clock: Clock, events: EventLog }) {}

  /** Takes over what a host knows; the newest evidence counts. */
  learn (limits: readonly WorkerLimit[]): void {
    const now = this.options.clock.monotonic()
    for (const { worker, evidence } of limits) this.learnOf(worker, evidence, now)
    this.forgetOld(now)
  }

  /** What is known of the workers: the limits in force, and those that ended a short time ago. */
  get limits (): WorkerLimit[] {
    return [
      ...[...this.limited].map(([worker, { evidence }]) => ({ worker, evidence })),
      ...[...this.unlimitedAt].map(([worker, at]) => ({ worker, evidence: { perSecond: undefined, at } }))
    ]
  }

  /** Time until the worker may be sent a request, in milliseconds; 0 without a limit. */
  waitMilliseconds (worker: WorkerId, now: number): number {
    return this.limited.get(worker)?.bucket.waitMilliseconds(now) ?? 0
  }

  /** Rate of the worker per second; infinite without a limit. */
  perSecond (worker: WorkerId): number {
    return this.limited.get(worker)?.bucket.perSecond ?? Infinity
  }

  /** Counts a request that is sent to the worker without having asked for a permit. */
  take (worker: WorkerId, now: number): void {
    this.limited.get(worker)?.bucket.take(now)
    this.logState(now)
  }

  /** Decides about a request; resolves when a permit is available, or as soon as it is clear that none comes in time. */
  async request (request: PermitRequest): Promise<PermitDecision> {
    return await new Promise(resolve => {
      this.waiting.add({ request, decide: resolve })
      this.dispatch()
    })
  }

  /** Removes a waiting request that is no longer needed; its `request` then never resolves. */
  withdraw (id: string): void {
    for (const entry of this.waiting) if (entry.request.id === id) this.waiting.delete(entry)
  }

  private learnOf (worker: WorkerId, evidence: LimitEvidence, now: number): void {
    const known = this.limited.get(worker)
    const newestAt = known?.evidence.at ?? this.unlimitedAt.get(worker) ?? -Infinity
    if (evidence.at <= newestAt) return
    const { perSecond } = evidence
    if (perSecond === undefined) {
      if (this.limited.delete(worker)) this.unlimitedAt.set(worker, evidence.at)
      return
    }
    this.unlimitedAt.delete(worker)
    // The host that granted the permits before may have just granted one.
    const bucket = known?.bucket ?? new RateBucket(0)
    bucket.setRate(Math.max(minPerSecond, perSecond), now)
    this.limited.set(worker, { bucket, evidence })
  }

  private forgetOld (now: number): void {
    for (const [worker, { bucket, evidence }] of this.limited) {
      const lasts = Math.max(minEvidenceMilliseconds, unansweredRequests / bucket.perSecond * millisecondsPerSecond)
      if (now - evidence.at > lasts) this.limited.delete(worker)
    }
    for (const [worker, at] of this.unlimitedAt) if (now - at > minEvidenceMilliseconds) this.unlimitedAt.delete(worker)
  }

  /** Grants the available permits, the most urgent requests first, and refuses requests for which none comes in time. */
  private dispatch (): void {
    const now = this.options.clock.monotonic()
    const freeAfter = new Map<WorkerId, number>()
    let firstWait = Infinity
    for (const entry of inOrder(this.waiting, now)) {
      const [worker, wait] = this.earliest(entry.request, freeAfter, now)
      if (wait === 0) {
        this.limited.get(worker)?.bucket.take(now)
        freeAfter.delete(worker)
        this.decide(entry, { kind: 'granted', worker })
        continue
      }
      if (now + wait > entry.request.lostAt) {
        this.decide(entry, { kind: 'refused', retryAfterMilliseconds: Math.ceil(wait) })
        continue
      }
      firstWait = Math.min(firstWait, wait)
      freeAfter.set(worker, wait + millisecondsPerSecond / this.perSecond(worker))
    }
    this.logState(now)
    this.scheduleRecheck(firstWait)
  }

  /** The worker that may be sent the request first, and the time until then. The first of equal workers is preferred. */
  private earliest ({ workers }: PermitRequest, freeAfter: ReadonlyMap<WorkerId, number>, now: number): [WorkerId, number] {
    return workers
      .map((worker): [WorkerId, number] => [worker, freeAfter.get(worker) ?? this.waitMilliseconds(worker, now)])
      .reduce((first, other) => other[1] < first[1] ? other : first)
  }

  private decide (entry: WaitingRequest, decision: PermitDecision): void {
    this.waiting.delete(entry)
    if (decision.kind === 'granted') this.granted += 1
    else this.refused += 1
    entry.decide(decision)
  }

  private scheduleRecheck (milliseconds: number): void {
    this.recheck?.abort()
    this.recheck = undefined
    if (this.waiting.size === 0) return
    const recheck = new AbortController()
    this.recheck = recheck
    this.options.clock.sleep(Math.max(1, milliseconds), recheck.signal).then(() => {
      if (!recheck.signal.aborted) this.dispatch()
    }, () => {})
  }

  private logState (now: number): void {
    if (this.limited.size === 0 || now - this.stateLoggedAt < stateLogMilliseconds) return
    this.stateLoggedAt = now
    this.options.events.info('worker_permits', {
      workers: [...this.limited.keys()].join(','),
      per_second: [...this.limited.values()].map(({ bucket }) => bucket.perSecond).join(','),
      waits: [...this.limited.values()].map(({ bucket }) => Math.round(bucket.waitMilliseconds(now))).join(','),
      waiting: this.waiting.size,
      granted: this.granted,
      refused: this.refused
    })
  }
}

/** Requests that can still be in time come first, then by urgency, and by the time at which they are due. */
function inOrder (waiting: ReadonlySet<WaitingRequest>, now: number): WaitingRequest[] {
  const isLate = ({ request }: WaitingRequest): number => Number(request.dueAt < now)
  return [...waiting].sort((left, right) =>
    isLate(left) - isLate(right) ||
    left.request.urgency - right.request.urgency ||
    left.request.dueAt - right.request.dueAt)
}
