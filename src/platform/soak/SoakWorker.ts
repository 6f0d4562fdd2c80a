/**
 * A worker of a soak: it runs requests as the platform's workers do, notes each run in the journal, and shows faults
 * when it is told to.
 */
import { setTimeout as sleep } from 'node:timers/promises'
import { FakeWorker, type ReceivedRequest } from '../testing/FakeWorker.js'
import { LoopbackProxy } from './LoopbackProxy.js'
import { bodyOf, type SoakJournal } from './SoakJournal.js'

/** How a worker behaves. */
export const workerMoods = ['fine', 'busy', 'errors', 'resets', 'mute', 'torn', 'extra', 'garbage', 'slow'] as const
export type WorkerMood = typeof workerMoods[number]

/** Time that a request takes, in milliseconds, as on the owners' sheets. */
const workMilliseconds = 20

/** Time of a slow worker, within the callers' time. */
const slowWorkMilliseconds = 400

/** Events of a stream, and the time between them. */
const streamEvents = 5
const eventMilliseconds = 20

/** Time for which a worker that changes its stage runs nothing. The owners' takes 3 s. */
const changeMilliseconds = 600

/** Options of a worker. */
export interface SoakWorkerOptions {
  id: string
  service: string
  zone: string
  /** Workers with a stage serve prompts. */
  stage: 'prefill' | 'decode' | undefined
  journal: SoakJournal
  leaseMilliseconds: number
  /** Writes the worker's entry. */
  report: (id: string, entry: Record<string, unknown>) => void
}

interface Order { stage: 'prefill' | 'decode', holder: string, 'fencing-token': number, expect: number }

/** One worker behind its proxy. */
export class SoakWorker {
  mood: WorkerMood = 'fine'
  isGone = false
  /** Monotonic time at which the store had taken the report that this worker leaves. */
  leavingSince: number | undefined
  private stage: 'prefill' | 'decode' | undefined
  private sequence = 0
  private orders = 0
  private fencing = 0
  private changing = false
  private readonly born = Date.now()
  private handles = 0

  private constructor (readonly options: SoakWorkerOptions, private readonly server: FakeWorker, readonly link: LoopbackProxy) {
    this.stage = options.stage
    server.answer = request => this.take(request)
  }

  static async start (options: SoakWorkerOptions): Promise<SoakWorker> {
    const server = await FakeWorker.start(options.id)
    const worker = new SoakWorker(options, server, await LoopbackProxy.start(server.address))
    worker.report()
    return worker
  }

  get id (): string {
    return this.options.id
  }

  /** Tells the store that the worker is about to leave. */
  leave (): void {
    this.report('draining')
    this.leavingSince = performance.now()
  }

  async stop (): Promise<void> {
    this.isGone = true
    await this.server.stop()
    await this.link.stop()
  }

  private report (state: 'ready' | 'draining' = 'ready'): void {
    this.sequence += 1
    const { id, service, zone } = this.options
    const self = { service, address: this.link.address, zone, version: 'v1', slots: 8, 'cold-left-ms': 0, born: this.born }
    const stage = this.stage === undefined ? {} : { stage: this.stage }
    this.options.report(id, { ...self, state, sequence: this.sequence, ...stage })
  }

  private take (request: ReceivedRequest): void {
    const { path, headers, socket } = request
    if (path === '/v1/report') return this.sendReport(request)
    if (path === '/v1/order') return this.takeOrder(request)
    if (request.method === 'DELETE') return this.send(request, '{}')
    if (headers['dogwooddale-expect-instance'] !== this.id) return this.send(request, 'another worker', 421)
    const wanted = headers['dogwooddale-stage'] === 'prefill' ? 'prefill' : 'decode'
    if (this.stage !== undefined && wanted !== this.stage) return this.send(request, 'wrong stage', 421)
    if (this.changing || this.mood === 'busy') return this.refuse(request)
    if (wanted === 'prefill' && this.stage !== undefined) return this.computePrompt(request)
    if (!this.takeHandle(request)) return this.refuse(request)
    const { service, journal } = this.options
    const id = headers['dogwooddale-request-id'] ?? ''
    const { leavingSince } = this
    journal.noteRun({ id, worker: this.id, service, at: performance.now(), leavingSince }, request.method, path, request.body)
    if (this.mood === 'mute') return
    const isStream = path.startsWith('/answers/') || path.startsWith('/tags/')
    setTimeout(() => {
      if (socket.destroyed) return
      if (this.mood === 'resets') socket.resetAndDestroy()
      else if (this.mood === 'garbage') socket.write('this is no answer\r\n\r\n')
      else if (this.mood === 'errors') this.send(request, 'failed', 500)
      else if (isStream) this.stream(request).catch(() => {})
      else this.answer(request)
    }, this.mood === 'slow' ? slowWorkMilliseconds : workMilliseconds)
  }

  private answer (request: ReceivedRequest): void {
    const body = answerOf(this.id, request.headers['dogwooddale-request-id'] ?? '')
    const whole = this.server.answerTo(request, body)
    if (this.mood === 'torn') request.socket.end(whole.slice(0, -Math.ceil(body.length / 2)))
    else request.socket.write(this.mood === 'extra' ? whole + whole : whole)
  }

  private async stream (request: ReceivedRequest): Promise<void> {
    const id = request.headers['dogwooddale-request-id'] ?? ''
    const { socket } = request
    const head = [`dogwooddale-request-id: ${id}`, `dogwooddale-server-stamp: signed-by-${this.id}`, 'transfer-encoding: chunked']
    socket.write(`HTTP/1.1 200 X\r\ncontent-type: text/event-stream\r\n${head.join('\r\n')}\r\n\r\n`)
    for (let event = Number(request.headers['last-event-id'] ?? 0) + 1; event <= streamEvents; event += 1) {
      const text = eventOf(id, event)
      if (this.mood === 'torn' && event === streamEvents) {
        socket.write(`${text.length.toString(16)}\r\n${text.slice(0, Math.floor(text.length / 2))}`)
        socket.resetAndDestroy()
        return
      }
      socket.write(`${text.length.toString(16)}\r\n${text}\r\n`)
      await sleep(eventMilliseconds)
    }
    socket.write('0\r\n\r\n')
  }

  private computePrompt (request: ReceivedRequest): void {
    this.handles += 1
    const handle = `handle-${this.handles}`
    this.options.journal.prompts.set(`${this.link.address}/${handle}`, request.headers['dogwooddale-request-id'] ?? '')
    setTimeout(() => { this.send(request, JSON.stringify({ 'kv-handle': handle, tokens: 10, version: 1 })) }, workMilliseconds)
  }

  /** False if the handle was taken before. */
  private takeHandle ({ headers }: ReceivedRequest): boolean {
    const source = headers['dogwooddale-kv-from']
    if (source === undefined) return true
    const { prompts } = this.options.journal
    const owner = prompts.get(source)
    prompts.delete(source)
    if (owner !== undefined && owner !== headers['dogwooddale-request-id']) {
      this.options.journal.violate('MIXED', `${headers['dogwooddale-request-id']} goes on from the prompt of ${owner}`)
    }
    return owner !== undefined
  }

  private takeOrder (request: ReceivedRequest): void {
    const order = JSON.parse(request.body) as Order
    const fencing = order['fencing-token']
    if (fencing < this.fencing) return this.send(request, '{}', 412)
    if (this.changing || order.expect !== this.orders) return this.send(request, '{}', 409)
    this.fencing = fencing
    const { journal, leaseMilliseconds } = this.options
    journal.noteOrder({ worker: this.id, holder: order.holder, fencing, at: performance.now() }, leaseMilliseconds)
    this.orders += 1
    this.changing = true
    setTimeout(() => {
      this.stage = order.stage
      this.changing = false
      if (!this.isGone) this.report(this.leavingSince === undefined ? 'ready' : 'draining')
    }, changeMilliseconds)
    this.send(request, '{}', 202)
  }

  private sendReport (request: ReceivedRequest): void {
    this.send(request, JSON.stringify({ stage: this.stage, busy: this.changing, sequence: this.orders }))
  }

  private refuse (request: ReceivedRequest): void {
    request.socket.write(this.server.answerTo(request, 'busy', { status: 503, headers: { 'dogwooddale-not-run': '1' } }))
  }

  private send (request: ReceivedRequest, body: string, status = 200): void {
    if (!request.socket.destroyed) request.socket.write(this.server.answerTo(request, body, { status }))
  }
}

/** The answer of a worker to a request. */
export function answerOf (worker: string, id: string): string {
  return `${worker} answers ${bodyOf(id)}`
}

/** One event of the answer to a request. */
export function eventOf (id: string, number: number): string {
  return `id: ${number}\ndata: ${number}/${streamEvents} of ${bodyOf(id)}\n\n`
}

/** The whole stream. */
export function streamOf (id: string): string {
  return Array.from({ length: streamEvents }, (_, index) => eventOf(id, index + 1)).join('')
}
