/**
 * Listens for the questions of other hosts and answers them from the scheduler of this host. A connection that sends
 * anything but questions and reports is closed.
 */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import type { Clock } from '../common/index.js'
import type { HostReport, HostReportAnswer } from '../duties/index.js'
import type { PermitDecision } from '../limits/index.js'
import type { EventLog } from '../observability/index.js'
import { PeerSockets } from './PeerSockets.js'
import type { PlacementCell, PromptScheduler } from './PromptScheduler.js'
import type { PlacementDecision } from './PromptTask.js'
import {
  type CellRequest, decodeLimits, encodeLimits, encodeLine, LineDecoder, type SchedulerAnswer, type SchedulerQuestion,
  type SchedulerRequest, schedulerRequestSchema
} from './schedulerMessages.js'
import { writeCorked } from './writeCorked.js'

/** Options of a `SchedulerListener`. */
export interface SchedulerListenerOptions {
  /** `ip:port` */
  address: string
  scheduler: PromptScheduler
  /** True if this host schedules the cell. */
  schedules: (cell: PlacementCell) => boolean
  /** True if this host grants the permits of the cell's limited workers. */
  grantsPermits: (cell: PlacementCell) => boolean
  /** Number of hosts that share the limits of workers, as this host has heard before it grants permits itself. */
  sharingHosts: () => number
  /** Further services, by name, which take over the connections that open them; they bound their unsent answers. */
  services?: ReadonlyMap<string, (socket: Socket) => void>
  /** Takes the report of a host; undefined if this host does not hold the duties. Default: it does not. */
  receiveReport?: ((report: HostReport) => HostReportAnswer | undefined) | undefined
  /** Maximum number of connections. Default: 2,048. */
  maxConnections?: number
  clock: Clock
  events: EventLog
}

/** Interval of the messages that tell a host with open questions that the scheduler is alive, in milliseconds. */
export const aliveMilliseconds = 100

/** Maximum number of open questions of one connection; a host that sends more is closed. */
const maxOpenQuestions = 5000

/** Serves the scheduler of this host to other hosts. */
export class SchedulerListener {
  private readonly server: Server
  private readonly peers: PeerSockets
  private readonly sockets = new Set<Socket>()
  /** Connections that a service took over. */
  private readonly serviceSockets = new Set<Socket>()
  /** Sockets that only carry reports; their hosts ask the scheduler on others. */
  private readonly reportSockets = new Set<Socket>()

  constructor (private readonly options: SchedulerListenerOptions) {
    this.peers = new PeerSockets(options.events, options.maxConnections)
    this.server = createServer({ noDelay: true }, socket => { if (this.peers.accept(socket)) this.serve(socket) })
  }

  /** Starts to listen. Rejects if the address cannot be bound. */
  async listen (): Promise<void> {
    const separator = this.options.address.lastIndexOf(':')
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(Number(this.options.address.slice(separator + 1)), this.options.address.slice(0, separator), () => {
        this.server.off('error', reject)
        resolve()
      })
    })
  }

  /** `ip:port` with the port that was bound. */
  get address (): string {
    const { address, port } = this.server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Number of hosts that ask this scheduler, this one included. */
  get hosts (): number {
    return this.sockets.size - this.reportSockets.size + 1
  }

  async stop (): Promise<void> {
    const closed = new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
    for (const socket of [...this.sockets, ...this.serviceSockets]) socket.destroy()
    await closed
  }

  private serve (socket: Socket): void {
    const { events } = this.options
    const decoder = new LineDecoder(schedulerRequestSchema)
    const openQuestions = new Map<string, PlacementCell>()
    const closed = new AbortController()
    this.sockets.add(socket)
    socket.on('error', () => {})
    socket.on('close', () => {
      this.sockets.delete(socket)
      this.reportSockets.delete(socket)
      closed.abort()
      for (const [id, cell] of openQuestions) this.options.scheduler.end(cell, id, 'abandoned')
    })
    const receive = (bytes: Buffer): void => {
      const requests = decoder.add(bytes)
      if (requests.isErr || openQuestions.size > maxOpenQuestions) {
        events.warn('scheduler_connection_closed', {
          address: socket.remoteAddress, reason: requests.isErr ? requests.error.message : 'too many open questions'
        })
        socket.destroy()
        return
      }
      for (const request of requests.value) {
        if (request.kind === 'open') {
          // The service answers before anything else may be sent, so that nothing else was received.
          socket.off('data', receive)
          closed.abort()
          return this.handOver(socket, request.service)
        }
        if (request.kind === 'report') this.takeReport(request, socket)
        else this.handle(request, socket, openQuestions)
      }
    }
    socket.on('data', receive)
    this.keepAlive(socket, openQuestions, closed.signal).catch(() => {})
  }

  /** Passes a connection to a service; closes it if there is none of this name. */
  private handOver (socket: Socket, service: string): void {
    const serve = this.options.services?.get(service)
    if (serve === undefined) {
      socket.destroy()
      return
    }
    this.sockets.delete(socket)
    this.peers.passToService(socket)
    this.serviceSockets.add(socket)
    socket.on('close', () => { this.serviceSockets.delete(socket) })
    serve(socket)
  }

  private takeReport ({ id, kind: _kind, ...report }: Extract<SchedulerRequest, { kind: 'report' }>, socket: Socket): void {
    this.reportSockets.add(socket)
    const answer = this.options.receiveReport?.(report)
    writeCorked(socket, encodeLine(answer === undefined
      ? { kind: 'not_scheduler', id }
      : { kind: 'reported', id, settled: answer.settledThrough }))
  }

  private handle (request: CellRequest, socket: Socket, openQuestions: Map<string, PlacementCell>): void {
    const cell = { pool: request.pool, zone: request.zone }
    if (request.kind === 'end') {
      openQuestions.delete(request.id)
      this.options.scheduler.end(cell, request.id, request.outcome)
      return
    }
    if (request.kind === 'answered') return this.options.scheduler.answered(cell, request.id, request.worker, request.start)
    const { schedules, grantsPermits } = this.options
    const decides = request.kind === 'permit' ? grantsPermits(cell) : schedules(cell)
    if (!decides) return writeCorked(socket, encodeLine({ kind: 'not_scheduler', id: request.id }))
    openQuestions.set(request.id, cell)
    this.answer(request, cell).then(answer => {
      if (!openQuestions.delete(request.id)) return
      writeCorked(socket, encodeLine({ ...answer, ...this.sharedKnowledge(cell) }))
    }, error => {
      this.options.events.error('placement_failed', { request: request.id, reason: String(error) })
    })
  }

  /** What every asking host should know of limited workers, with the number of hosts that share the limits. */
  private sharedKnowledge (cell: PlacementCell): Pick<SchedulerQuestion, 'limits'> & { hosts?: number } {
    const { clock, scheduler } = this.options
    const limits = scheduler.limitsOf(cell)
    const hosts = Math.max(this.hosts, this.options.sharingHosts())
    return limits.length === 0 ? {} : { hosts, ...encodeLimits(limits, clock.monotonic()) }
  }

  private async answer (question: SchedulerQuestion, cell: PlacementCell): Promise<SchedulerAnswer> {
    const { clock, scheduler } = this.options
    const now = clock.monotonic()
    const { id, due, lost } = question
    const limits = decodeLimits(question, now)
    const times = { dueAt: now + due, lostAt: now + lost }
    if (question.kind === 'permit') {
      const { workers, urgency } = question
      return answerToPermit(id, await scheduler.permit(cell, { id, workers, urgency, ...times }, limits))
    }
    const { account, parts, only_in_time: onlyInTime = false } = question
    return answerToPrompt(id, await scheduler.place(cell, {
      id,
      account,
      parts: parts.map(([part]) => part),
      partTokens: parts.map(([, tokens]) => tokens),
      onlyInTime,
      ...times
    }, limits))
  }

  private async keepAlive (socket: Socket, openQuestions: ReadonlyMap<string, unknown>, closed: AbortSignal): Promise<void> {
    while (!closed.aborted) {
      await this.options.clock.sleep(aliveMilliseconds, closed)
      if (openQuestions.size > 0 && !closed.aborted) writeCorked(socket, encodeLine({ kind: 'alive' }))
    }
  }
}

function answerToPermit (id: string, decision: PermitDecision): SchedulerAnswer {
  if (decision.kind === 'refused') return { kind: 'refused', id, retryAfter: decision.retryAfterMilliseconds }
  return { kind: 'granted', id, worker: decision.worker }
}

function answerToPrompt (id: string, decision: PlacementDecision): SchedulerAnswer {
  if (decision.kind === 'refused') return { kind: 'refused', id, retryAfter: decision.retryAfterMilliseconds }
  if (decision.kind === 'no_worker') return { kind: 'no_worker', id }
  const { answerWorker } = decision
  const answer = answerWorker === undefined ? {} : { answer: answerWorker }
  if (decision.kind === 'with_answer') return { kind: 'with_answer', id, ...answer }
  const { worker, partsSource } = decision
  return { kind: 'placed', id, worker, ...(partsSource === undefined ? {} : { source: partsSource }), ...answer }
}
