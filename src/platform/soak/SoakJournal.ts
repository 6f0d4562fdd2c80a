/**
 * Records what callers and workers of a soak observe, and checks the guarantees of the request path. A violation names
 * the guarantee and the request, so that the hosts' logs can be searched for the request.
 */
import { createHash } from 'node:crypto'
import { SoakNotices } from './SoakNotices.js'

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
export interface SentRequest {
  id: string
  kind: RequestKind
  path: string
  body: string
  host: string
  sentAt: number
  /** Time limit that the caller states, in milliseconds; infinite by default. */
  limitMilliseconds?: number
  /** Parts of the prompt, as `ID:TOKENS`; undefined without a prompt. */
  promptParts?: string[]
  /** Stream that the request takes up: the request that began it, the number of its last event, and its version. */
  takesUp?: { first: string, lastEvent: number, version: string }
}

/** A request whose connection ended without a complete response while its process was stopping. */
export interface CutRequest {
  sent: SentRequest
  /** The connection, for the description of the violation; times are relative to the SIGTERM. */
  connection: string
  /** Monotonic times in milliseconds of the SIGTERM, and of the end of the connection. */
  stoppedAt: number
  endedAt: number
  /** Monotonic time in milliseconds at which the last byte was sent; undefined if it was not. */
  writtenAt: number | undefined
  graceMilliseconds: number
  /** True if the process must have read requests that were sent long before the end of the connection. */
  checksUnread: boolean
}

/** A run of a request at a worker. */
export interface Run {
  id: string
  worker: string
  service: string
  at: number
  /** Monotonic time in milliseconds by which the store had accepted the worker's report that it is draining. */
  drainingSince: number | undefined
  /** Monotonic time in milliseconds at which the worker had sent its response, or its host had left. */
  endedAt?: number
  /** True if the worker broke off, or its response was lost on the link. */
  isBrokenOff?: () => boolean
}

/** An order that a worker accepted. */
export interface AcceptedOrder { worker: string, holder: string, fencing: number, at: number }

/**
 * Maximum time from a worker's report that it is draining to the last request that a host sends to this worker, in
 * milliseconds, as the owners specify it.
 */
const drainEffectMilliseconds = 2000

/** Time after a request's last byte by which a process counts as having read the request, in milliseconds. */
const maxReadMilliseconds = 200

/** Time after SIGTERM up to which a stop may cut a request whose worker is still at work at the end, in milliseconds. */
const maxExcusedSendMilliseconds = 3000

/** Part of the grace period at whose end workers may still be at work. */
const lastPartOfGrace = 1 / 6

/** Body of a request, which follows from its id, so that a changed or swapped body is detected at the worker. */
export function requestBodyOf (id: string): string {
  return `${id}:${createHash('sha256').update(id).digest('hex')}`
}

/** Records and violations of one soak. Times are monotonic milliseconds of this process. */
export class SoakJournal {
  readonly violations: string[] = []
  readonly runs = new Map<string, Run[]>()
  readonly orders: AcceptedOrder[] = []
  /** Ids of the requests whose prompts workers have computed, by `ip:port/handle`. */
  readonly promptOwners = new Map<string, string>()
  /** Computed prompts that a request has named as its source. */
  private readonly takenPrompts = new Set<string>()
  /** Number of runs whose time limit was checked. */
  deadlineChecks = 0
  /**
   * Number of responses by outcome: `whole`, complete with status 200; `refused`, status 503; `failed`, any other status;
   * `cut`, incomplete or missing.
   */
  readonly outcomeCounts = { whole: 0, refused: 0, failed: 0, cut: 0 }
  /** Streams that callers took up again, by whether they went on. */
  readonly takenUp = { resumed: 0, refused: 0 }
  /** True if no fault disturbed the host for the stable window before the monotonic time `since`; set by the soak. */
  isUndisturbed: (host: string, since: number) => boolean = () => false
  private readonly sentRequests = new Map<string, SentRequest>()
  private readonly reportedNotRun = new Set<string>()
  /**
   * Services to which a configuration has sent each kind, with the time at which a later configuration ended this;
   * `Infinity` for the services of the newest configuration.
   */
  private readonly allowedUntil = new Map<RequestKind, Map<string, number>>()

  /** What hosts have passed on of workers' statements about themselves. */
  readonly notices = new SoakNotices()

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

  /** The request with this id, as its caller sent it. */
  sentRequest (id: string): SentRequest | undefined {
    return this.sentRequests.get(id)
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
    this.checkNotices(sent, run.worker, run.at)
    const until = this.allowedUntil.get(sent.kind)?.get(run.service)
    if (until === undefined) this.recordViolation('ROUTE', `${run.id} (${sent.kind}) is run by ${run.service}`)
    const runs = [...this.runs.get(run.id) ?? [], run]
    this.runs.set(run.id, runs)
    if (idempotentKinds.has(sent.kind)) return
    if (runs.length > 1) this.recordViolation('TWICE', `${run.id} runs at ${runs.map(({ worker }) => worker).join(' and ')}`)
    if (this.reportedNotRun.has(run.id)) this.recordViolation('REFUSED', `${run.id} runs at ${run.worker} after it was refused as not run`)
  }

  /**
   * Takes the computed prompt at a source for a request, and checks that it was computed for this request. Returns false if
   * the prompt was taken before or does not exist.
   */
  takePrompt (source: string, id: string): boolean {
    const owner = this.promptOwners.get(source)
    if (owner !== undefined && owner !== id) this.recordViolation('MIXED', `${id} continues from the prompt of ${owner}`)
    const isAvailable = owner !== undefined && !this.takenPrompts.has(source)
    this.takenPrompts.add(source)
    return isAvailable
  }

  /** Checks that the worker that signed a complete response has run the request. */
  checkAnswer (id: string, worker: string): void {
    if (this.runs.get(id)?.some(run => run.worker === worker) === true) return
    this.recordViolation('MIXED', `${id} receives a complete response of ${worker || 'no worker'}, which has not run it`)
  }

  /** Checks that a request may reach a worker after what its host has passed on. */
  checkNotices ({ id, host, sentAt }: SentRequest, worker: string, at: number): void {
    for (const violation of this.notices.violationsOf({ id, host, worker, sentAt, at })) this.recordViolation(...violation)
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

  /** Records a request that a planned stop ended without a response, and checks that the process had not read it. */
  recordCut (cut: CutRequest): void {
    const { sent, connection, stoppedAt, endedAt, writtenAt } = cut
    if (endedAt >= sent.sentAt + (sent.limitMilliseconds ?? Infinity)) return
    const runs = this.runs.get(sent.id) ?? []
    if (runs.some(run => run.isBrokenOff?.() === true) || this.mayBeCut(cut, runs)) return
    const times = `sent ${Math.round(sent.sentAt - stoppedAt)} ms after SIGTERM, cut at ${Math.round(endedAt - stoppedAt)} ms, ${connection}`
    if (runs.length > 0) {
      this.recordViolation('LOST', `${sent.id} (${sent.kind}) is cut by a planned stop of ${sent.host} after it reached ${runs[0]!.worker}; ${times}`)
    } else if (cut.checksUnread && writtenAt !== undefined && endedAt - writtenAt > maxReadMilliseconds) {
      this.recordViolation('LOST', `${sent.id} (${sent.kind}) gets no response from ${sent.host} around a planned stop; ${times}`)
    }
  }

  /** True if a worker was still at work near the end of the grace period on a request from the start of the stop. */
  private mayBeCut ({ sent, stoppedAt, graceMilliseconds }: CutRequest, runs: Run[]): boolean {
    const lastPartAt = stoppedAt + graceMilliseconds * (1 - lastPartOfGrace)
    return sent.sentAt <= stoppedAt + maxExcusedSendMilliseconds && runs.some(({ endedAt = Infinity }) => endedAt >= lastPartAt)
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
