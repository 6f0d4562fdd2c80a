/**
 * Records what callers and workers of a soak observe, and checks the guarantees of the request path. A violation names
 * the guarantee and the request, so that the hosts' logs can be searched for the request.
 */
import { createHash } from 'node:crypto'

/** Kinds of requests, by the route that they take. */
export const requestKinds = ['reads', 'votes', 'answers', 'tags'] as const
export type RequestKind = typeof requestKinds[number]

/** Kinds whose requests may run more than once. */
export const idempotentKinds: ReadonlySet<RequestKind> = new Set(['reads', 'answers'])

/** Kinds that are answered with a stream, by workers with a model. */
export const streamKinds: ReadonlySet<RequestKind> = new Set(['answers', 'tags'])

/** Statuses that state that a request has not run and will not. */
const notRunStatuses = new Set([408, 421, 429, 503])

/** A request as its caller sends it. */
export interface SentRequest { id: string, kind: RequestKind, path: string, body: string, host: string, sentAt: number }

/** A run of a request at a worker. */
export interface Run {
  id: string
  worker: string
  service: string
  at: number
  /** Monotonic time in milliseconds by which the store had accepted the worker's report that it is draining. */
  drainingSince: number | undefined
}

/** An order that a worker accepted. */
export interface AcceptedOrder { worker: string, holder: string, fencing: number, at: number }

/**
 * Maximum time from a worker's report that it is draining to the last request that a host sends to this worker, in
 * milliseconds, as the owners specify it.
 */
const drainEffectMilliseconds = 2000

/** Body of a request, which follows from its id, so that a changed or swapped body is detected at the worker. */
export function requestBodyOf (id: string): string {
  return `${id}:${createHash('sha256').update(id).digest('hex')}`
}

/** Records and violations of one soak. Times are monotonic milliseconds of this process. */
export class SoakJournal {
  readonly violations: string[] = []
  readonly runs = new Map<string, Run[]>()
  readonly orders: AcceptedOrder[] = []
  /** Ids of the requests whose computed prompts workers hold, by `ip:port/handle`. */
  readonly promptOwners = new Map<string, string>()
  /** Number of runs whose time limit was checked. */
  deadlineChecks = 0
  /**
   * Number of responses by outcome: `whole`, complete with status 200; `refused`, status 503; `failed`, any other status;
   * `cut`, incomplete or missing.
   */
  readonly outcomeCounts = { whole: 0, refused: 0, failed: 0, cut: 0 }
  /** True if no fault disturbed the host for the stable window before the monotonic time `since`; set by the soak. */
  isUndisturbed: (host: string, since: number) => boolean = () => false
  private readonly sentRequests = new Map<string, SentRequest>()
  private readonly reportedNotRun = new Set<string>()
  /**
   * Services to which a configuration has sent each kind, with the time at which a later configuration ended this;
   * `Infinity` for the services of the newest configuration.
   */
  private readonly allowedUntil = new Map<RequestKind, Map<string, number>>()

  /** Records the violation of a guarantee. */
  recordViolation (guarantee: string, description: string): void {
    this.violations.push(`${guarantee}: ${description}`)
  }

  /** Records that a new configuration sends the requests of a kind to these services only. */
  allowServices (kind: RequestKind, services: string[]): void {
    const untilByService = this.allowedUntil.get(kind) ?? new Map<string, number>()
    for (const service of untilByService.keys()) {
      untilByService.set(service, Math.min(untilByService.get(service)!, performance.now()))
    }
    for (const service of services) untilByService.set(service, Infinity)
    this.allowedUntil.set(kind, untilByService)
  }

  recordSent (request: SentRequest): void {
    this.sentRequests.set(request.id, request)
  }

  /** Records that a worker starts to run a request, and checks the run. */
  recordRun (run: Run, method: string, path: string, body: string): void {
    const sent = this.sentRequests.get(run.id)
    if (sent === undefined) return this.recordViolation('UNASKED', `${run.worker} runs ${run.id}, which no caller sent`)
    if (path !== sent.path || body !== sent.body || method !== 'POST') {
      this.recordViolation('UNASKED', `${run.worker} received ${run.id} as ${method} ${path} with a body of ${body.length} bytes`)
    }
    this.checkDraining(run, sent)
    const until = this.allowedUntil.get(sent.kind)?.get(run.service)
    if (until === undefined) this.recordViolation('ROUTE', `${run.id} (${sent.kind}) is run by ${run.service}`)
    const runs = [...this.runs.get(run.id) ?? [], run]
    this.runs.set(run.id, runs)
    if (idempotentKinds.has(sent.kind)) return
    if (runs.length > 1) this.recordViolation('TWICE', `${run.id} runs at ${runs.map(({ worker }) => worker).join(' and ')}`)
    if (this.reportedNotRun.has(run.id)) this.recordViolation('REFUSED', `${run.id} runs at ${run.worker} after it was refused as not run`)
  }

  private checkDraining ({ id, worker, at, drainingSince }: Run, sent: SentRequest): void {
    if (!this.isUndisturbed(sent.host, sent.sentAt)) return
    this.deadlineChecks += 1
    if (drainingSince === undefined || at - drainingSince <= drainEffectMilliseconds) return
    this.recordViolation('DRAIN', `${id} reaches ${worker} ${Math.round(at - drainingSince)} ms after the worker reported that it is draining`)
  }

  /**
   * Monotonic time in milliseconds since which the configuration no longer sends a kind to the service; undefined if it
   * still does or never did.
   */
  revokedSince (kind: RequestKind, service: string): number | undefined {
    const until = this.allowedUntil.get(kind)?.get(service)
    return until === undefined || until === Infinity ? undefined : until
  }

  /**
   * Records a status that states that a request did not run, and checks that no worker ran it. Ignores other statuses.
   */
  recordStatus (request: SentRequest, status: number): void {
    if (!notRunStatuses.has(status) || idempotentKinds.has(request.kind)) return
    this.reportedNotRun.add(request.id)
    const runs = this.runs.get(request.id) ?? []
    if (runs.length > 0) this.recordViolation('REFUSED', `${request.id} is answered with status ${status} and has run at ${runs[0]!.worker}`)
  }

  /**
   * Records that a worker accepted an order. Checks that an order from a new holder has a greater fencing number than the
   * last order of the previous holder, and comes at least one lease after it.
   */
  recordOrder (order: AcceptedOrder, leaseMilliseconds: number): void {
    const previousOrder = this.orders.at(-1)
    this.orders.push(order)
    if (previousOrder === undefined || previousOrder.holder === order.holder) return
    if (order.fencing <= previousOrder.fencing) this.recordViolation('ONE', `${order.holder} orders with fencing number ${order.fencing} after ${previousOrder.holder} with ${previousOrder.fencing}`)
    if (order.at - previousOrder.at < leaseMilliseconds) this.recordViolation('ONE', `${order.holder} orders ${Math.round(order.at - previousOrder.at)} ms after ${previousOrder.holder}`)
  }
}
