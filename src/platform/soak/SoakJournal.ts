/**
 * What callers and workers of a soak saw, and the promises that must hold over it. A violation names the promise and
 * the request, so that the hosts' logs can be searched for it.
 */
import { createHash } from 'node:crypto'

/** Kinds of requests, by the route that they take. */
export const requestKinds = ['reads', 'votes', 'answers', 'tags'] as const
export type RequestKind = typeof requestKinds[number]

/** Kinds whose requests may run more than once. */
export const repeatableKinds: ReadonlySet<RequestKind> = new Set(['reads', 'answers'])

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
  /** Monotonic time at which the store had taken the report that the worker leaves. */
  leavingSince: number | undefined
}

/** An order that a worker accepted. */
export interface AcceptedOrder { worker: string, holder: string, fencing: number, at: number }

/** Time after which a worker that said that it leaves gets no new request, in milliseconds, on the owners' sheets. */
const drainMilliseconds = 2000

/** The body of a request; workers compare what arrives. */
export function bodyOf (id: string): string {
  return `${id}:${createHash('sha256').update(id).digest('hex')}`
}

/** Journal of one soak. Times are monotonic milliseconds of this process. */
export class SoakJournal {
  readonly violations: string[] = []
  readonly runs = new Map<string, Run[]>()
  readonly orders: AcceptedOrder[] = []
  /** Requests whose computed prompts wait at workers, by `ip:port/handle`. */
  readonly prompts = new Map<string, string>()
  /** Requests that were held to a bound of time. */
  timed = 0
  readonly answers = { whole: 0, refused: 0, failed: 0, cut: 0 }
  /** True if nothing has disturbed a host for long enough before a monotonic time. */
  isCalm: (host: string, since: number) => boolean = () => false
  private readonly sent = new Map<string, SentRequest>()
  private readonly refusedOnce = new Set<string>()
  /** Services to which a configuration has allowed a kind to go, with the time from which only later ones do. */
  private readonly allowed = new Map<RequestKind, Map<string, number>>()

  /** Notes a broken promise. */
  violate (promise: string, what: string): void {
    this.violations.push(`${promise}: ${what}`)
  }

  /** Notes that a configuration sends a kind to these services from now on. */
  allow (kind: RequestKind, services: string[]): void {
    const known = this.allowed.get(kind) ?? new Map<string, number>()
    for (const service of known.keys()) known.set(service, Math.min(known.get(service)!, performance.now()))
    for (const service of services) known.set(service, Infinity)
    this.allowed.set(kind, known)
  }

  noteSent (request: SentRequest): void {
    this.sent.set(request.id, request)
  }

  /** A worker begins to work on a request. */
  noteRun (run: Run, method: string, path: string, body: string): void {
    const sent = this.sent.get(run.id)
    if (sent === undefined) return this.violate('UNASKED', `${run.worker} runs ${run.id}, which nobody sent`)
    if (path !== sent.path || body !== sent.body || method !== 'POST') {
      this.violate('UNASKED', `${run.worker} got ${run.id} as ${method} ${path} with a body of ${body.length} bytes`)
    }
    this.checkLeaving(run, sent)
    const until = this.allowed.get(sent.kind)?.get(run.service)
    if (until === undefined) this.violate('ROUTE', `${run.id} (${sent.kind}) is run by ${run.service}`)
    const runs = [...this.runs.get(run.id) ?? [], run]
    this.runs.set(run.id, runs)
    if (repeatableKinds.has(sent.kind)) return
    if (runs.length > 1) this.violate('TWICE', `${run.id} runs at ${runs.map(({ worker }) => worker).join(' and ')}`)
    if (this.refusedOnce.has(run.id)) this.violate('REFUSED', `${run.id} runs at ${run.worker} after it was refused as not run`)
  }

  private checkLeaving ({ id, worker, at, leavingSince }: Run, sent: SentRequest): void {
    if (!this.isCalm(sent.host, sent.sentAt)) return
    this.timed += 1
    if (leavingSince === undefined || at - leavingSince <= drainMilliseconds) return
    this.violate('DRAIN', `${id} reaches ${worker} ${Math.round(at - leavingSince)} ms after it said that it leaves`)
  }

  /** The service that answered a request, and since when no configuration sends its kind there; undefined if one does. */
  revokedSince (kind: RequestKind, service: string): number | undefined {
    const until = this.allowed.get(kind)?.get(service)
    return until === undefined || until === Infinity ? undefined : until
  }

  /** A caller got an answer with a status that states that the request did not run. */
  noteStatus (request: SentRequest, status: number): void {
    if (!notRunStatuses.has(status) || repeatableKinds.has(request.kind)) return
    this.refusedOnce.add(request.id)
    const runs = this.runs.get(request.id) ?? []
    if (runs.length > 0) this.violate('REFUSED', `${request.id} is answered ${status} and has run at ${runs[0]!.worker}`)
  }

  /** A worker accepted an order. Holders take turns only with a rising fencing number and the lease between them. */
  noteOrder (order: AcceptedOrder, leaseMilliseconds: number): void {
    const last = this.orders.at(-1)
    this.orders.push(order)
    if (last === undefined || last.holder === order.holder) return
    if (order.fencing <= last.fencing) this.violate('ONE', `${order.holder} orders with number ${order.fencing} after ${last.holder} with ${last.fencing}`)
    if (order.at - last.at < leaseMilliseconds) this.violate('ONE', `${order.holder} orders ${Math.round(order.at - last.at)} ms after ${last.holder}`)
  }
}
