/**
 * What all stand-ins have in common: an HTTP server on a loopback address, the faults and their control
 * (`POST /faults` with one fault or a list, `GET /faults`, `DELETE /faults`), and the ways to end: `drain`
 * waits for open calls, `stop` closes everything at once.
 */
import type { Server } from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import { type Context, Hono } from 'hono'
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Clock, errorResponseOf, type Failure, failure, SystemClock, parseJson } from '../common/index.js'
import { Connection } from './Connection.js'
import { type Fault, type FaultCall, type FaultInput, faultSchema, FaultTable } from './Fault.js'

/** What a stand-in is given beside its settings. */
export interface StandInOptions {
  /** Default: the clock of the machine. */
  clock?: Clock
  /** Called when a `crash` fault ends the stand-in, after everything was closed. The program exits here. */
  onCrash?: () => void
}

/** Context of a call. */
export type StandInContext = Context<{ Bindings: HttpBindings }>

const faultsBodySchema = z.union([faultSchema, z.array(faultSchema)])

/** Path of the control of faults; faults never apply to it. */
const faultsPath = '/faults'

/** A running stand-in. */
export abstract class StandIn {
  protected readonly app = new Hono<{ Bindings: HttpBindings }>()
  protected readonly clock: Clock
  protected readonly faults: FaultTable
  private readonly server = createAdaptorServer({
    fetch: (request, env) => this.answer(request, env as HttpBindings)
  }) as Server

  private readonly connections = new Map<Socket, Connection>()
  private readonly waits = new Set<AbortController>()
  private address: AddressInfo | undefined
  /** Aborted when the stand-in stops or drains. */
  private readonly ending = new AbortController()

  protected constructor (private readonly options: StandInOptions) {
    this.clock = options.clock ?? new SystemClock()
    this.faults = new FaultTable(this.clock)
    this.app.post(faultsPath, async c => {
      const body = await readJson(c, faultsBodySchema)
      if (body.isErr) return errorResponseOf(body.error)
      for (const fault of [body.value].flat()) this.setFault(fault)
      return c.json({ faults: this.faults.list() })
    })
    this.app.get(faultsPath, c => c.json({ faults: this.faults.list() }))
    this.app.delete(faultsPath, c => {
      this.faults.clear()
      return c.json({ faults: [] })
    })
    this.app.onError(error => errorResponseOf(failure('internal', error.message)))
    this.app.notFound(c => errorResponseOf(failure('not_found', `nothing at ${c.req.path}`)))
  }

  /** `ip:port` */
  get listenAddress (): string {
    return `${this.address?.address}:${this.address?.port}`
  }

  /** `http://ip:port` */
  get origin (): string {
    return `http://${this.listenAddress}`
  }

  /** Sets a fault. */
  addFault (fault: FaultInput): void {
    this.setFault(faultSchema.parse(fault))
  }

  /** Ends all faults; connections that went silent stay so. */
  clearFaults (): void {
    this.faults.clear()
  }

  /** Closes everything at once. */
  async stop (): Promise<void> {
    this.ending.abort()
    const closed = this.closeServer()
    for (const wait of this.waits) wait.abort()
    for (const socket of this.connections.keys()) socket.destroy()
    await closed
    await this.onStop()
  }

  /** Accepts no more connections, ends long polls, and waits until the open calls are answered. */
  async drain (): Promise<void> {
    this.ending.abort()
    const closed = this.closeServer()
    for (const wait of this.waits) wait.abort()
    for (const { socket, isMuted } of this.connections.values()) {
      if (isMuted) socket.destroy()
    }
    await closed
    await this.onStop()
  }

  /** Ends the tasks of the subclass. */
  protected async onStop (): Promise<void> {}

  /** Starts to listen. */
  protected async listen (address: string): Promise<this> {
    const { hostname, port } = new URL(`http://${address}`)
    this.server.on('connection', (socket: Socket) => {
      this.connections.set(socket, new Connection(socket))
      socket.once('close', () => this.connections.delete(socket))
    })
    // A server that closes idle connections itself would end those that a fault holds open.
    this.server.keepAliveTimeout = 0
    await this.openServer(Number(port === '' ? 80 : port), hostname.replace(/^\[|\]$/g, ''))
    return this
  }

  /** Aborts when the caller's connection closes and, for calls that only wait, when the stand-in drains. */
  protected closedSignal (c: StandInContext, kind: 'work' | 'wait'): AbortSignal {
    const controller = new AbortController()
    if (kind === 'wait') {
      this.waits.add(controller)
      if (this.ending.signal.aborted) controller.abort()
    }
    c.env.outgoing.once('close', () => {
      this.waits.delete(controller)
      controller.abort()
    })
    return controller.signal
  }

  private openServer (port: number, hostname: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.server.once('error', reject)
      this.server.listen(port, hostname, () => {
        this.server.removeListener('error', reject)
        this.address = this.server.address() as AddressInfo
        resolve()
      })
    })
  }

  private closeServer (): Promise<void> {
    return new Promise(resolve => this.server.close(() => resolve()))
  }

  private setFault (fault: Fault): void {
    if (fault.kind === 'crash' && fault.when === 'now') {
      this.crash()
      return
    }
    if (fault.kind === 'silent') this.muteConnections(fault)
    if (fault.kind === 'silent' && fault.connections === 'existing') return
    this.faults.add(fault)
    if (fault.kind === 'outage') this.startOutage(fault)
  }

  private startOutage (fault: Extract<Fault, { kind: 'outage' }>): void {
    for (const { socket, path } of this.connections.values()) {
      if (path !== faultsPath && path.startsWith(fault.path ?? '')) socket.destroy()
    }
    if (fault.mode !== 'refused' || this.address === undefined) return
    const { port, address } = this.address
    this.closeServer().catch(() => {})
    this.clock.sleep(fault.durationMilliseconds ?? 0, this.ending.signal)
      .then(() => this.ending.signal.aborted ? undefined : this.openServer(port, address))
      .catch(error => { process.stderr.write(`level=error event=listen_failed reason=${JSON.stringify(String(error))}\n`) })
  }

  private muteConnections (fault: Extract<Fault, { kind: 'silent' }>): void {
    for (const connection of this.connections.values()) {
      const isInScope = connection.path !== faultsPath && connection.path.startsWith(fault.path ?? '')
      if (isInScope && !connection.isMuted) connection.cutAfter(0, 'mute')
    }
  }

  private crash (): void {
    this.stop().catch(() => {})
    this.options.onCrash?.()
  }

  private async answer (request: Request, env: HttpBindings): Promise<Response> {
    const call = { method: request.method, path: new URL(request.url).pathname }
    const { socket } = env.incoming
    const connection = this.connections.get(socket)
    if (connection !== undefined) connection.path = call.path
    env.outgoing.once('close', () => {
      // The server waits for connections that become idle after it was closed.
      if (this.ending.signal.aborted) setImmediate(() => this.server.closeIdleConnections())
    })
    if (call.path === faultsPath) return await this.app.fetch(request, env)
    const refused = await this.applyFaults('before', call, socket)
    if (refused !== undefined) return refused
    const silent = this.faults.take('silent', call, fault => fault.connections === 'all')
    if (silent !== undefined) connection?.cutAfter(silent.afterBytes, 'mute')
    const reset = this.faults.take('reset_after_bytes', call)
    if (reset !== undefined) connection?.cutAfter(reset.bytes, 'reset')
    const response = await this.app.fetch(request, env)
    return await this.applyFaults('after', call, socket) ?? response
  }

  /** Applies the faults of one side of the effect; returns an answer that replaces the call's own. */
  private async applyFaults (when: 'before' | 'after', call: FaultCall, socket: Socket): Promise<Response | undefined> {
    const isAtThisSide = (fault: { when: string }) => fault.when === when
    const delay = this.faults.take('delay', call, isAtThisSide)
    if (delay !== undefined) await this.clock.sleep(delay.milliseconds)
    const outage = when === 'before' ? this.faults.take('outage', call) : undefined
    if (this.faults.take('crash', call, isAtThisSide) !== undefined) this.crash()
    const isLost = when === 'after' && this.faults.take('lose_answer', call) !== undefined
    if (isLost || (outage !== undefined && outage.mode !== 'unavailable')) socket.destroy()
    if (socket.destroyed) return new Response(null, { status: 500 })
    if (outage !== undefined) return errorResponseOf(failure('platform_unavailable', 'an outage was set as a fault'))
    const refuse = this.faults.take('refuse', call, isAtThisSide)
    return refuse === undefined ? undefined : refusalOf(refuse.status, when)
  }
}

function refusalOf (status: number, when: 'before' | 'after'): Response {
  const answer = errorResponseOf(when === 'before'
    ? failure('not_run', 'a refusal was set as a fault')
    : failure('upstream_failed', 'a failure after the effect was set as a fault'))
  return new Response(answer.body, { status, headers: answer.headers })
}

/** Reads and validates a JSON body; an empty body counts as the given value. Errors: `bad_request`. */
export async function readJson<Schema extends z.ZodType> (
  c: StandInContext,
  schema: Schema,
  emptyBody?: unknown
): Promise<Result<z.infer<Schema>, Failure>> {
  const text = await c.req.text().catch(() => '')
  const body = text === '' ? emptyBody : parseJson(text)
  const parsed = schema.safeParse(body)
  return parsed.success ? Result.ok(parsed.data) : Result.err(failure('bad_request', z.prettifyError(parsed.error)))
}
