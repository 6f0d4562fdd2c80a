/**
 * One connection of a client: the requests on it that are in progress, and those that wait behind them.
 */
import type { Socket } from 'node:net'
import { ReadingGate } from './ReadingGate.js'
import type { RequestIntake } from './RequestIntake.js'

/**
 * Maximum number of requests that wait on one connection. The runtime parses all that one read of 64 KiB contains before
 * it pauses, which is fewer of any request with the usual header fields.
 */
const maxWaitingRequests = 256

/** Starts the requests of a connection in order, a bounded number at a time. */
export class ConnectionIntake {
  readonly gate: ReadingGate
  /** Requests whose response has not been sent, oldest first. */
  readonly open = new Set<RequestIntake>()
  /** Monotonic time in milliseconds of the latest begin or end of a request. */
  activeAt: number
  /** Set while the head of the next request is late: its limit in milliseconds, and the start of the time that counts. */
  lateHead: { limit: number, since: number } | undefined
  private readonly waiting: Array<() => void> = []
  private started = 0

  constructor (readonly socket: Socket, private readonly maxStarted: number, now: number) {
    this.gate = new ReadingGate(socket)
    this.activeAt = now
  }

  /** Starts the request now, or when those before it have ended. Returns false if too many wait already. */
  enter (request: RequestIntake, start: () => void): boolean {
    if (this.waiting.length >= maxWaitingRequests) return false
    this.open.add(request)
    this.lateHead = undefined
    if (this.started < this.maxStarted) this.start(start)
    else this.waiting.push(start)
    if (this.started >= this.maxStarted) this.gate.hold('requests')
    return true
  }

  /** Records that the response of a request has been sent or will never be. */
  leave (request: RequestIntake, now: number): void {
    if (!this.open.delete(request)) return
    this.activeAt = now
    this.started -= 1
    const next = this.waiting.shift()
    if (next !== undefined && !this.socket.destroyed) this.start(next)
    if (this.started < this.maxStarted) this.gate.release('requests')
  }

  /** True while a late part of a request cannot be blamed on the client, or could not be answered in its place. */
  get isBusy (): boolean {
    return this.gate.isHeld || this.open.size > 0
  }

  /** True if the head of the next request has been late for its limit, in which only time counts without other requests. */
  isHeadOverdue (now: number): boolean {
    if (this.lateHead === undefined) return false
    if (this.isBusy) this.lateHead.since = now
    return now - this.lateHead.since >= this.lateHead.limit
  }

  private start (start: () => void): void {
    this.started += 1
    start()
  }
}
