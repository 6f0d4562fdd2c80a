/**
 * What the clients of a host may take of it: memory, connections and requests. One per host, for all of its HTTP servers.
 */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { type Clock, type Failure, failure, Task } from '../common/index.js'
import type { EventLog, Metrics } from '../observability/index.js'
import { answerFault, timeoutCode } from './answerFault.js'
import { ConnectionIntake } from './ConnectionIntake.js'
import type { IntakeLimits } from './intakeLimits.js'
import { MemoryBudget } from './MemoryBudget.js'
import { RefusalLog } from './RefusalLog.js'
import { RequestIntake } from './RequestIntake.js'

/** Options of a `ClientIntake`. */
export interface ClientIntakeOptions {
  limits: IntakeLimits
  clock: Clock
  events: EventLog
}

/** Interval at which slow bodies and waiting reservations are checked, in milliseconds. */
const checkMilliseconds = 250

/** Time without a request after which a connection may be closed for a new one, in milliseconds. */
const idleMilliseconds = 1000

/** Time within which a body has to make progress until the operators' limits are known, in milliseconds. */
const defaultIdleTimeoutMilliseconds = 15_000

/** Listeners on a socket: a few of the runtime, and one for each request in progress. */
const maxListenersPerSocket = 64

/** Keeps clients within the limits of the host. */
export class ClientIntake {
  readonly budget: MemoryBudget
  readonly refusals: RefusalLog
  private readonly connections = new Map<Socket, ConnectionIntake>()
  private readonly requests = new Set<RequestIntake>()
  private idleTimeoutMilliseconds = defaultIdleTimeoutMilliseconds
  private task: Task | undefined

  constructor (private readonly options: ClientIntakeOptions) {
    this.budget = new MemoryBudget(options.limits.budgetBytes, options.clock)
    this.refusals = new RefusalLog(options.clock, options.events)
  }

  /**
   * Serves the requests of a server within the limits. `handle` is called for each request, in the order of their arrival
   * on a connection, when its turn has come.
   */
  serve (server: Server, handle: (message: IncomingMessage, response: ServerResponse, intake: RequestIntake) => void): void {
    server.on('connection', socket => { this.accept(socket) })
    server.on('timeout', socket => { this.closeUnused(socket) })
    server.on('clientError', (error: NodeJS.ErrnoException, socket) => { this.endFaulty(server, error, socket as Socket) })
    // The body is asked for when it is read, and not at all if it is refused.
    server.on('checkContinue', (message, response) => server.emit('request', message, response))
    server.on('request', (message, response) => { this.begin(message, response, handle) })
    this.task ??= Task.start(signal => this.checkRegularly(signal), error => {
      this.options.events.error('client_checks_ended', { reason: String(error) })
    })
  }

  /** Sets the time for which a connection may be without progress. */
  configure (server: Server, idleTimeoutMilliseconds: number): void {
    this.idleTimeoutMilliseconds = idleTimeoutMilliseconds
    server.timeout = idleTimeoutMilliseconds
  }

  /** Why the host takes on no further request; undefined if it does. The request that asks is counted already. */
  refusal (): Failure | undefined {
    if (this.requests.size > this.options.limits.maxRequests && !this.endStalled()) {
      this.refusals.record('requests')
      return failure('overloaded', `more than ${this.options.limits.maxRequests} requests are in progress`)
    }
    if (!this.budget.isExhausted) return undefined
    this.refusals.record('memory')
    return failure('overloaded', 'the memory for requests is used up')
  }

  /** Registers the metrics of the intake. */
  expose (metrics: Metrics): void {
    const gauge = (name: string, help: string, value: () => number): void => {
      metrics.gauge(name, help, [], gauge => { gauge.set(value()) })
    }
    gauge('client_bytes', 'Bytes held for clients.', () => this.budget.usedBytes)
    gauge('client_bytes_limit', 'Limit of the bytes held for clients.', () => this.options.limits.budgetBytes)
    gauge('client_connections', 'Open connections of clients.', () => this.connections.size)
    gauge('client_requests', 'Requests of clients in progress.', () => this.requests.size)
    gauge('client_bodies_paused', 'Requests that wait for memory.', () => this.budget.pausedReservations)
    metrics.gauge('client_refusals_total', 'What clients were refused, by reason.', ['reason'], gauge => {
      for (const [reason, count] of this.refusals.counts) gauge.set({ reason }, count)
    })
  }

  async stop (): Promise<void> {
    await this.task?.stop()
  }

  private accept (socket: Socket): void {
    const now = this.options.clock.monotonic()
    if (this.connections.size >= this.options.limits.maxConnections && !this.closeIdle(now) && !this.closeStalled()) {
      this.refusals.record('connections')
      socket.destroy()
      return
    }
    socket.setMaxListeners(maxListenersPerSocket)
    const connection = new ConnectionIntake(socket, this.options.limits.maxRequestsPerConnection, now)
    this.connections.set(socket, connection)
    socket.once('close', () => {
      this.connections.delete(socket)
      // The runtime reports the close only to the response that is being sent, and not to those behind it.
      setImmediate(() => { for (const request of [...connection.open]) request.abandon() })
    })
  }

  /** Closes the connection that has been without a request for longest. Returns false if none is idle. */
  private closeIdle (now: number): boolean {
    let longest: ConnectionIntake | undefined
    for (const connection of this.connections.values()) {
      const isIdle = connection.open.size === 0 && now - connection.activeAt >= idleMilliseconds
      if (isIdle && (longest === undefined || connection.activeAt < longest.activeAt)) longest = connection
    }
    if (longest === undefined) return false
    this.refusals.record('connections')
    this.connections.delete(longest.socket)
    longest.socket.destroy()
    return true
  }

  /** The request whose client has been waited for longest, if that is long enough. */
  private longestStalled (): RequestIntake | undefined {
    const stalledBefore = this.options.clock.monotonic() - idleMilliseconds
    let longest: RequestIntake | undefined
    for (const request of this.requests) {
      const since = request.waitsForClientSince ?? Infinity
      if (since <= stalledBefore && since < (longest?.waitsForClientSince ?? Infinity)) longest = request
    }
    return longest
  }

  /** Ends the request whose client has been waited for longest. Returns false if there is none. */
  private endStalled (): boolean {
    const stalled = this.longestStalled()
    if (stalled === undefined) return false
    this.refusals.record('requests')
    stalled.endStalled()
    return true
  }

  /** Closes the connection of the request whose client has been waited for longest. Returns false if there is none. */
  private closeStalled (): boolean {
    const stalled = this.longestStalled()
    if (stalled === undefined) return false
    this.refusals.record('connections')
    this.connections.delete(stalled.socket)
    stalled.socket.destroy()
    return true
  }

  /** A connection has been silent for its timeout. Open requests go on, unless their caller does not read. */
  private closeUnused (socket: Socket): void {
    const isUnread = socket.writableLength > 0
    if (!isUnread && (this.connections.get(socket)?.open.size ?? 0) > 0) return
    if (isUnread) this.refusals.record('unread_response')
    socket.destroy()
  }

  /**
   * A request could not be read. The runtime's time limits for heads and bodies run on while the host does not read the
   * connection, so they are not applied to a busy one: the client was not late, and its other requests run.
   */
  private endFaulty (server: Server, { code }: NodeJS.ErrnoException, socket: Socket): void {
    const connection = this.connections.get(socket)
    const requests = [...connection?.open ?? []]
    if (code === timeoutCode && connection?.isBusy === true) {
      // A body that is late has its own limits in `RequestIntake`.
      const isHeadLate = requests.every(({ isReceived }) => isReceived)
      if (isHeadLate) connection.lateHead = { limit: server.headersTimeout, since: this.options.clock.monotonic() }
      return
    }
    // A complete request may be running, and the status would be taken for its response.
    answerFault(socket, code, requests.every(({ isReceived, isAnswered }) => !isReceived && !isAnswered))
  }

  private begin (
    message: IncomingMessage,
    response: ServerResponse,
    handle: (message: IncomingMessage, response: ServerResponse, intake: RequestIntake) => void
  ): void {
    const { clock } = this.options
    const connection = this.connections.get(message.socket)
    // The rest of a read goes on to be parsed after its connection was closed.
    if (connection === undefined || message.socket.destroyed) return
    const { budget, refusals } = this
    const hostRefusal = (): Failure | undefined => this.refusal()
    const intake = new RequestIntake({ message, response, connection, budget, clock, refusals, hostRefusal })
    response.once('close', () => {
      this.requests.delete(intake)
      intake.close()
      connection.leave(intake, clock.monotonic())
    })
    const entered = connection.enter(intake, () => {
      this.requests.add(intake)
      handle(message, response, intake)
    })
    if (entered) return
    intake.close()
    this.refusals.record('sent_ahead')
    message.socket.destroy()
  }

  private async checkRegularly (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(checkMilliseconds, signal)
      this.budget.check()
      const now = this.options.clock.monotonic()
      for (const connection of this.connections.values()) {
        if (connection.isHeadOverdue(now)) answerFault(connection.socket, timeoutCode, true)
      }
      for (const request of this.requests) request.checkProgress(this.idleTimeoutMilliseconds)
      this.refusals.flush()
    }
  }
}
