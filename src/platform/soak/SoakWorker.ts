/**
 * A worker of a soak: it runs requests as the platform's workers do, records each run in the journal, and injects
 * faults when the soak changes its behaviour.
 */
import type { Socket } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import type { SeededRandom } from '../../common/index.js'
import { FakeWorker, type ReceivedRequest } from '../testing/FakeWorker.js'
import { LateCopies } from './LateCopies.js'
import { LoopbackProxy } from './LoopbackProxy.js'
import { crashingPart } from './PromptCrashes.js'
import { requestBodyOf, type Run, type SoakJournal } from './SoakJournal.js'

/**
 * How a worker behaves: `normal`; `busy`, refuses requests; `pausing`, refuses them and states for how long; `errors`,
 * responds with status 500; `resets`, resets connections; `unresponsive`, never responds; `truncated`, cuts responses;
 * `duplicated`, sends each response twice; `garbage`, sends bytes that are not HTTP; `slow`, takes longer.
 */
export const workerBehaviours = [
  'normal', 'busy', 'pausing', 'errors', 'resets', 'unresponsive', 'truncated', 'duplicated', 'garbage', 'slow'
] as const
export type WorkerBehaviour = typeof workerBehaviours[number]

/** Time that a request takes, in milliseconds, as the owners specify it. */
const serviceMilliseconds = 20

/** Time that a request takes at a slow worker, in milliseconds; within the callers' time limit. */
const slowServiceMilliseconds = 400

/** Time for which a worker that pauses wants nothing from the host of a refused request, in seconds. */
const pauseSeconds = 2

/** Number of events of a stream, and the time between two events in milliseconds unless the request states another. */
const eventsPerStream = 5
const eventIntervalMilliseconds = 20

/** Time for which a worker holds a read of cache events while there are none, in milliseconds. */
const cacheReadMilliseconds = 200

/** Time from the first event of a response to a prompt that crashes the worker until the crash, in milliseconds. */
const crashMilliseconds = 50

/** Time for which a worker runs nothing while it changes its stage, in milliseconds. The owners' workers take 3 s. */
const stageChangeMilliseconds = 600

/** Options of a worker. */
export interface SoakWorkerOptions {
  id: string
  service: string
  zone: string
  /** Stage of a worker that serves prompts; undefined for other workers. */
  stage: 'prefill' | 'decode' | undefined
  journal: SoakJournal
  /** Determines which responses are written once more late. */
  random: SeededRandom
  leaseMilliseconds: number
  /** Writes the worker's entry to the store. */
  writeEntry: (id: string, entry: Record<string, unknown>) => void
  /** Version of the worker's software, which its events bear. */
  version: string
  /** How a stream ends: with its last chunk, or with its connection. */
  streamFraming: 'chunks' | 'connection'
  /** Called when a request with the part that crashes workers arrives, before the worker answers it. */
  onCrashingPrompt: (id: string) => void
  /** Called when such a request crashes the worker. */
  onCrash: (worker: SoakWorker) => void
}

interface Order { stage: 'prefill' | 'decode', holder: string, 'fencing-token': number, expect: number }

/** A worker behind its own proxy. */
export class SoakWorker {
  behaviour: WorkerBehaviour = 'normal'
  isStopped = false
  /** Monotonic time in milliseconds by which the store had accepted this worker's report that it is draining. */
  drainingSince: number | undefined
  /** True if the worker states in its responses that it leaves. */
  isLeaving = false
  /** Requests a second that the worker states that it takes; undefined if it states no limit. */
  private perSecond: number | undefined
  private stage: 'prefill' | 'decode' | undefined
  private sequence = 0
  private orderCount = 0
  private greatestFencingNumber = 0
  private isChangingStage = false
  private readonly startedAt = Date.now()
  private handleCount = 0
  /** Changes of the parts that the worker holds; the number of an event is its position. */
  private readonly cacheEvents: unknown[] = []
  /** Greatest position that reads of cache events on a connection have asked for. */
  private readonly cachePositions = new WeakMap<Socket, number>()
  private readonly copies: LateCopies
  /** Ids of the requests, empty for calls without an id, to which the response on a connection is still to come. */
  private readonly unanswered = new WeakMap<Socket, string>()
  private readonly openRuns = new Set<Run>()
  private readonly brokenRuns = new WeakSet<Run>()

  private constructor (readonly options: SoakWorkerOptions, private readonly server: FakeWorker, readonly link: LoopbackProxy) {
    this.stage = options.stage
    this.copies = new LateCopies(options.random)
    server.onRequest = request => this.handleRequest(request)
  }

  static async start (options: SoakWorkerOptions): Promise<SoakWorker> {
    const server = await FakeWorker.start(options.id)
    const worker = new SoakWorker(options, server, await LoopbackProxy.start(server.address))
    worker.writeEntry()
    return worker
  }

  get id (): string {
    return this.options.id
  }

  /** States in each response from now on that the worker leaves. */
  announceLeaving (): void {
    this.isLeaving = true
  }

  /** States from now on how many requests a second the worker takes from all hosts together; undefined ends it. */
  stateLimit (perSecond: number | undefined): void {
    this.perSecond = perSecond
    this.options.journal.notices.setLimit(this.id, perSecond, performance.now())
  }

  /** Writes some responses once more late, for at least the given time. */
  repeatResponses (milliseconds: number): void {
    this.copies.activeUntil = Math.max(this.copies.activeUntil, performance.now() + milliseconds)
  }

  /** Number of responses that were written once more late. */
  get lateCopies (): number {
    return this.copies.count
  }

  /** Reports to the store that the worker is draining. */
  startDraining (): void {
    this.writeEntry('draining')
    this.drainingSince = performance.now()
  }

  async stop (): Promise<void> {
    this.isStopped = true
    for (const run of this.openRuns) this.brokenRuns.add(run)
    // The address of a process that has ended accepts no connections by the time at which its own are closed.
    this.link.stopListening()
    await this.server.stop()
    await this.link.stop()
  }

  private writeEntry (state: 'ready' | 'draining' = 'ready'): void {
    this.sequence += 1
    const { id, service, zone } = this.options
    const self = { service, address: this.link.address, zone, version: this.options.version, slots: 8, 'cold-left-ms': 0, born: this.startedAt }
    const stage = this.stage === undefined ? {} : { stage: this.stage }
    this.options.writeEntry(id, { ...self, state, sequence: this.sequence, ...stage })
  }

  private handleRequest (request: ReceivedRequest): void {
    const { path, headers, socket } = request
    this.checkConnection(request)
    this.copies.requestArrived(socket, headers['dogwooddale-request-id'] !== undefined)
    if (path === '/v1/report') return this.sendReport(request)
    if (path === '/v1/order') return this.handleOrder(request)
    if (path.startsWith('/v1/kv-events')) return this.sendCacheEvents(request)
    if (request.method === 'DELETE') {
      setTimeout(() => { this.send(request, '{}') }, serviceMilliseconds)
      return
    }
    if (headers['dogwooddale-expect-instance'] !== this.id) return this.send(request, 'another worker', 421)
    const requestedStage = headers['dogwooddale-stage'] === 'prefill' ? 'prefill' : 'decode'
    if (this.stage !== undefined && requestedStage !== this.stage) return this.send(request, 'wrong stage', 421)
    if (this.behaviour === 'pausing') return this.pause(request)
    if (this.isChangingStage || this.behaviour === 'busy') return this.refuse(request)
    const id = headers['dogwooddale-request-id'] ?? ''
    if (hasCrashingPart(request)) this.options.onCrashingPrompt(id)
    if (requestedStage === 'prefill' && this.stage !== undefined) return this.computePrompt(request)
    if (!this.takePrompt(request)) return this.refuse(request)
    const { service, journal } = this.options
    const { remotePort } = socket
    const run: Run = {
      id,
      worker: this.id,
      service,
      at: performance.now(),
      drainingSince: this.drainingSince,
      isBrokenOff: () => this.brokenRuns.has(run) || this.link.hasLostBytes(remotePort)
    }
    journal.recordRun(run, request.method, path, request.body)
    this.openRuns.add(run)
    this.work(request, run).catch(() => {}).finally(() => {
      if (this.behaviour !== 'normal' && this.behaviour !== 'slow') this.brokenRuns.add(run)
      this.openRuns.delete(run)
      run.endedAt = performance.now()
    })
  }

  /**
   * Checks that a request arrives on a connection that its host has no reason to doubt. A call without an id may follow
   * another one early, since the host cannot tell a copy of the response.
   */
  private checkConnection ({ method, path, headers, socket }: ReceivedRequest): void {
    const id = headers['dogwooddale-request-id'] ?? ''
    const earlier = this.unanswered.get(socket)
    this.unanswered.set(socket, id)
    if (earlier === undefined || (earlier === '' && id === '')) return
    const call = id === '' ? `${method} ${path}` : id
    this.options.journal.recordViolation('MIXED', `${call} reaches ${this.id} on a connection that still carries the response to ${earlier || 'a call without an id'}`)
  }

  private async work (request: ReceivedRequest, run: Run): Promise<void> {
    const { path, socket } = request
    if (this.behaviour === 'unresponsive') {
      this.brokenRuns.add(run)
      return
    }
    const isStream = path.startsWith('/answers/') || path.startsWith('/tags/')
    const workMilliseconds = workMillisecondsOf(path)
    await sleep(this.behaviour === 'slow' ? slowServiceMilliseconds : isStream ? serviceMilliseconds : workMilliseconds)
    if (socket.destroyed) return
    if (this.behaviour === 'resets') socket.resetAndDestroy()
    else if (this.behaviour === 'garbage') socket.write('this is not HTTP\r\n\r\n')
    else if (this.behaviour === 'errors') this.send(request, 'failed', 500)
    else if (isStream) await this.sendStream(request, Math.max(eventIntervalMilliseconds, workMilliseconds / eventsPerStream))
    else this.sendResponse(request)
  }

  private sendResponse (request: ReceivedRequest): void {
    const body = responseBodyOf(this.id, request.headers['dogwooddale-request-id'] ?? '')
    const responseText = this.responseTo(request, body)
    if (this.behaviour === 'truncated') request.socket.end(responseText.slice(0, -Math.ceil(body.length / 2)))
    else this.respond(request, responseText, this.behaviour === 'duplicated' ? 2 : 1)
  }

  private async sendStream (request: ReceivedRequest, eventMilliseconds: number): Promise<void> {
    const id = request.headers['dogwooddale-request-id'] ?? ''
    const { socket } = request
    const notices = Object.entries(this.notices()).map(([name, value]) => `${name}: ${value}`)
    const isChunked = this.options.streamFraming === 'chunks'
    const framing = isChunked ? ['transfer-encoding: chunked'] : []
    const head = [`dogwooddale-request-id: ${id}`, `dogwooddale-server-stamp: signed-by-${this.id}`, ...framing, ...notices]
    let written = ''
    const write = (text: string): void => {
      written += text
      socket.write(text)
    }
    const writePiece = (text: string): void => write(isChunked ? `${text.length.toString(16)}\r\n${text}\r\n` : text)
    this.holdPrompt(request)
    this.copies.begin(socket)
    write(`HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n${head.join('\r\n')}\r\n\r\n`)
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= eventsPerStream; event += 1) {
      const text = eventOf(id, event, this.options.version)
      if (this.behaviour === 'truncated' && event === eventsPerStream) {
        socket.write(`${text.length.toString(16)}\r\n${text.slice(0, Math.floor(text.length / 2))}`)
        socket.resetAndDestroy()
        return
      }
      writePiece(text)
      if (hasCrashingPart(request)) {
        await sleep(crashMilliseconds)
        if (!this.isStopped) this.options.onCrash(this)
        return
      }
      await sleep(eventMilliseconds)
      if (socket.destroyed) return
    }
    this.unanswered.delete(socket)
    if (isChunked) write('0\r\n\r\n')
    else socket.end()
    this.copies.end(socket, written)
  }

  private computePrompt (request: ReceivedRequest): void {
    const sent = this.options.journal.sentRequest(request.headers['dogwooddale-request-id'] ?? '')
    if (sent !== undefined) this.options.journal.checkNotices(sent, this.id, performance.now())
    this.handleCount += 1
    const handle = `handle-${this.handleCount}`
    this.options.journal.promptOwners.set(`${this.link.address}/${handle}`, request.headers['dogwooddale-request-id'] ?? '')
    this.holdPrompt(request)
    setTimeout(() => { this.send(request, JSON.stringify({ 'kv-handle': handle, tokens: 10, version: 1 })) }, serviceMilliseconds)
  }

  /** Takes the computed prompt, if the request names one. Returns false if it was taken before. */
  private takePrompt ({ headers }: ReceivedRequest): boolean {
    const source = headers['dogwooddale-kv-from']
    return source === undefined || this.options.journal.takePrompt(source, headers['dogwooddale-request-id'] ?? '')
  }

  /** Records that the worker holds the parts of a prompt. */
  private holdPrompt ({ headers }: ReceivedRequest): void {
    for (const part of headers['dogwooddale-prompt-prefix']?.split(',') ?? []) {
      const [id = '', tokens] = part.split(':')
      this.cacheEvents.push([this.cacheEvents.length, '+', '', id, Number(tokens), 'm'])
    }
  }

  private sendCacheEvents (request: ReceivedRequest): void {
    const since = Number(/since=(\d+)/.exec(request.path)?.[1])
    const position = this.cachePositions.get(request.socket) ?? 0
    if (since > 0 && since < position) {
      this.options.journal.recordViolation('CACHE', `the events of ${this.id} are read from ${since} after ${position}`)
    }
    this.cachePositions.set(request.socket, Math.max(since, position))
    setTimeout(() => {
      const events = this.cacheEvents.slice(since)
      this.send(request, JSON.stringify({ epoch: 1, 'next-token': this.cacheEvents.length, lost: false, events }))
    }, since < this.cacheEvents.length ? serviceMilliseconds : cacheReadMilliseconds)
  }

  private handleOrder (request: ReceivedRequest): void {
    const order = JSON.parse(request.body) as Order
    const fencing = order['fencing-token']
    if (fencing < this.greatestFencingNumber) return this.send(request, '{}', 412)
    if (this.isChangingStage || order.expect !== this.orderCount) return this.send(request, '{}', 409)
    this.greatestFencingNumber = fencing
    const { journal, leaseMilliseconds } = this.options
    journal.recordOrder({ worker: this.id, holder: order.holder, fencing, at: performance.now() }, leaseMilliseconds)
    this.orderCount += 1
    this.isChangingStage = true
    setTimeout(() => {
      this.stage = order.stage
      this.isChangingStage = false
      if (!this.isStopped) this.writeEntry(this.drainingSince === undefined ? 'ready' : 'draining')
    }, stageChangeMilliseconds)
    this.send(request, '{}', 202)
  }

  private sendReport (request: ReceivedRequest): void {
    this.send(request, JSON.stringify({ stage: this.stage, busy: this.isChangingStage, sequence: this.orderCount }))
  }

  private refuse (request: ReceivedRequest): void {
    this.respond(request, this.responseTo(request, 'busy', 503, { 'dogwooddale-not-run': '1' }))
  }

  /** Refuses a request, and states for how long the worker wants nothing from its host. */
  private pause (request: ReceivedRequest): void {
    const { journal } = this.options
    const sent = journal.sentRequest(request.headers['dogwooddale-request-id'] ?? '')
    const now = performance.now()
    if (sent !== undefined) {
      journal.checkNotices(sent, this.id, now)
      journal.notices.recordPause(sent.host, this.id, pauseSeconds * 1000, now)
    }
    const headers = { 'dogwooddale-not-run': '1', 'retry-after': String(pauseSeconds) }
    this.respond(request, this.responseTo(request, '', 503, headers))
  }

  private send (request: ReceivedRequest, body: string, status = 200): void {
    this.respond(request, this.responseTo(request, body, status))
  }

  private respond ({ socket }: ReceivedRequest, text: string, times = 1): void {
    this.unanswered.delete(socket)
    this.copies.respond(socket, text, times)
  }

  private responseTo (request: ReceivedRequest, body: string, status = 200, headers: Record<string, string> = {}): string {
    return this.server.responseTo(request, body, { status, headers: { ...headers, ...this.notices() } })
  }

  /** Header fields in which the worker states something about itself. */
  private notices (): Record<string, string> {
    return {
      ...(this.isLeaving ? { 'server-leaving': '1' } : {}),
      ...(this.perSecond === undefined ? {} : { 'server-limit': String(this.perSecond) })
    }
  }
}

function hasCrashingPart ({ headers }: ReceivedRequest): boolean {
  return headers['dogwooddale-prompt-prefix']?.split(',').some(part => part.startsWith(`${crashingPart}:`)) ?? false
}

/** Time that a worker takes for a request, in milliseconds, as the path states it. */
function workMillisecondsOf (path: string): number {
  return Number(/[?]work=(\d+)/.exec(path)?.[1] ?? serviceMilliseconds)
}

/** Body of a worker's response to a request. */
export function responseBodyOf (worker: string, id: string): string {
  return `${worker} answers ${requestBodyOf(id)}`
}

/** One event of the response stream to a request, from a worker of a version. */
export function eventOf (id: string, number: number, version: string): string {
  return `id: ${number}\ndata: ${version} ${number}/${eventsPerStream} of ${requestBodyOf(id)}\n\n`
}

/** Body of the response stream to a request behind an event, from workers of one version. */
export function streamBodyOf (id: string, version: string, lastEvent = 0): string {
  return Array.from({ length: eventsPerStream - lastEvent }, (_, index) => eventOf(id, lastEvent + index + 1, version)).join('')
}

/** Version of the worker that sent the first event of a body; empty if there is none. */
export function versionOf (body: string): string {
  return /^data: (\S+) /m.exec(body)?.[1] ?? ''
}
