/**
 * Base class of all stand-ins: an HTTP server on a loopback address, fault injection with its control endpoint
 * (`POST /faults` with one fault or a list, `GET /faults`, `DELETE /faults`), and two ways to shut down: `drain`
 * waits for open calls, `stop` closes all connections immediately.
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

/** Options of a stand-in that are not part of its settings. */
export interface StandInOptions {
  /** Default: the system clock. */
  clock?: Clock
  /** Called when a `crash` fault ends the stand-in, after its connections were closed. The program exits here. */
  onCrash?: () => void
}

/** Hono context of a call to a stand-in. */
export type StandInContext = Context<{ Bindings: HttpBindings }>

const faultsBodySchema = z.union([faultSchema, z.array(faultSchema)])

/** Path of the fault control endpoint; faults never apply to it. */
const faultsPath = '/faults'

/** A stand-in of an outside system, serving HTTP. */
export abstract class StandIn {
  protected readonly app = new Hono<{ Bindings: HttpBindings }>()
  protected readonly clock: Clock
  protected readonly faults: FaultTable
  private readonly server = createAdaptorServer({
    fetch: (request, env) => this.handleRequest(request, env as HttpBindings)
  }) as Server

  private readonly connections = new Map<Socket, Connection>()
  /** Abort controllers of open calls that wait for an event, such as long polls. */
  private readonly waitingCalls = new Set<AbortController>()
  private address: AddressInfo | undefined
  /** Aborted when the stand-in stops or drains. */
  private readonly shutdown = new AbortController()

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
    this.app.notFound(c => errorResponseOf(failure('not_found', `no route for ${c.req.path}`)))
  }

  /** `ip:port` */
  get listenAddress (): string {
    return `${this.address?.address}:${this.address?.port}`
  }

  /** `http://ip:port` */
  get origin (): string {
    return `http://${this.listenAddress}`
  }

  /** Validates and sets a fault; throws if it is invalid. */
  addFault (fault: FaultInput): void {
    this.setFault(faultSchema.parse(fault))
  }

  /** Clears all faults; connections that a `silent` fault has silenced stay silent. */
  clearFaults (): void {
    this.faults.clear()
  }

  /** Closes all connections immediately, without waiting for open calls. */
  async stop (): Promise<void> {
    this.shutdown.abort()
    const closed = this.closeServer()
    for (const call of this.waitingCalls) call.abort()
    for (const socket of this.connections.keys()) socket.destroy()
    await closed
    await this.onStop()
  }

  /** Accepts no new connections, ends long polls, and waits until the open calls are answered. */
  async drain (): Promise<void> {
    this.shutdown.abort()
    const closed = this.closeServer()
    for (const call of this.waitingCalls) call.abort()
    for (const { socket, isSilent } of this.connections.values()) {
      if (isSilent) socket.destroy()
    }
    await closed
    await this.onStop()
  }

  /** Called after the server has closed; a subclass stops its background tasks here. */
  protected async onStop (): Promise<void> {}

  /** Starts to listen on `host:port`; port 0 takes a free port. */
  protected async listen (address: string): Promise<this> {
    const { hostname, port } = new URL(`http://${address}`)
    this.server.on('connection', (socket: Socket) => {
      this.connections.set(socket, new Connection(socket))
      socket.once('close', () => this.connections.delete(socket))
    })
    // The idle timeout of the server would close connections that a fault keeps open, so it is disabled.
    this.server.keepAliveTimeout = 0
    await this.openServer(Number(port === '' ? 80 : port), hostname.replace(/^\[|\]$/g, ''))
    return this
  }

  /**
   * Signal that aborts when the call's response is complete or the caller has disconnected. For calls that wait for an
   * event (`wait`), it aborts as well when the stand-in stops or drains.
   */
  protected closedSignal (c: StandInContext, kind: 'work' | 'wait'): AbortSignal {
    const controller = new AbortController()
    if (kind === 'wait') {
      this.waitingCalls.add(controller)
      if (this.shutdown.signal.aborted) controller.abort()
    }
    c.env.outgoing.once('close', () => {
      this.waitingCalls.delete(controller)
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
    if (fault.kind === 'silent') this.silenceConnections(fault)
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
    this.clock.sleep(fault.durationMilliseconds ?? 0, this.shutdown.signal)
      .then(() => this.shutdown.signal.aborted ? undefined : this.openServer(port, address))
      .catch(error => { process.stderr.write(`level=error event=listen_failed reason=${JSON.stringify(String(error))}\n`) })
  }

  private silenceConnections (fault: Extract<Fault, { kind: 'silent' }>): void {
    for (const connection of this.connections.values()) {
      const isInScope = connection.path !== faultsPath && connection.path.startsWith(fault.path ?? '')
      if (isInScope && !connection.isSilent) connection.stopSendingAfter(0, 'silent')
    }
  }

  private crash (): void {
    this.stop().catch(() => {})
    this.options.onCrash?.()
  }

  private async handleRequest (request: Request, env: HttpBindings): Promise<Response> {
    const call = { method: request.method, path: new URL(request.url).pathname }
    const { socket } = env.incoming
    const connection = this.connections.get(socket)
    if (connection !== undefined) connection.path = call.path
    env.outgoing.once('close', () => {
      // A server that is closing waits for connections that become idle afterwards, so they are closed here.
      if (this.shutdown.signal.aborted) setImmediate(() => this.server.closeIdleConnections())
    })
    if (call.path === faultsPath) return await this.app.fetch(request, env)
    const injectedResponse = await this.applyCallFaults('before', call, socket)
    if (injectedResponse !== undefined) return injectedResponse
    const silentFault = this.faults.take('silent', call, fault => fault.connections === 'all')
    if (silentFault !== undefined) connection?.stopSendingAfter(silentFault.afterBytes, 'silent')
    const resetFault = this.faults.take('reset_after_bytes', call)
    if (resetFault !== undefined) connection?.stopSendingAfter(resetFault.bytes, 'reset')
    const response = await this.app.fetch(request, env)
    return await this.applyCallFaults('after', call, socket) ?? response
  }

  /**
   * Applies the faults that are due before or after the call takes effect. Returns a response if it replaces the
   * call's own.
   */
  private async applyCallFaults (when: 'before' | 'after', call: FaultCall, socket: Socket): Promise<Response | undefined> {
    const isDue = (fault: { when: string }) => fault.when === when
    const delay = this.faults.take('delay', call, isDue)
    if (delay !== undefined) await this.clock.sleep(delay.milliseconds)
    const outage = when === 'before' ? this.faults.take('outage', call) : undefined
    if (this.faults.take('crash', call, isDue) !== undefined) this.crash()
    const losesResponse = when === 'after' && this.faults.take('lose_answer', call) !== undefined
    if (losesResponse || (outage !== undefined && outage.mode !== 'unavailable')) socket.destroy()
    if (socket.destroyed) return new Response(null, { status: 500 })
    if (outage !== undefined) return errorResponseOf(failure('platform_unavailable', 'injected fault: outage'))
    const refusal = this.faults.take('refuse', call, isDue)
    return refusal === undefined ? undefined : refusalResponseOf(refusal.status, when)
  }
}

function refusalResponseOf (status: number, when: 'before' | 'after'): Response {
  const response = errorResponseOf(when === 'before'
    ? failure('not_run', 'injected fault: refusal before the call took effect')
    : failure('upstream_failed', 'injected fault: failure after the call took effect'))
  return new Response(response.body, { status, headers: response.headers })
}

/** Reads and validates a JSON body; `emptyBody` takes the place of an empty one. Errors: `bad_request`. */
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
