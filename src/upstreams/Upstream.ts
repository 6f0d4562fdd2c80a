/**
 * One upstream process, as seen by this host: identity from the configuration, load, health, and connections.
 * Only `UpstreamManager` changes it.
 */
import { Pool as ConnectionPool, type Dispatcher } from 'undici'
import { BoundedClient, type SendOptions, sendRequest } from '../clients/index.js'
import { BoundedTable, type Clock, type Model, type Pool, type RequestId, type WorkerId, type Zone } from '../common/index.js'
import type { EngineRole, WorkerDocument } from '../configuration/index.js'
import { UsualLatencies, WorkerCapacity } from '../concurrency/index.js'
import { connectUpstream } from './connectUpstream.js'
import { ConnectionDoubt } from './ConnectionDoubt.js'
import { LoadEstimate } from './LoadEstimate.js'
import { StatedLimit } from './StatedLimit.js'
import { UpstreamHealth } from './UpstreamHealth.js'
import type { UpstreamResponseHead } from './WorkerNotice.js'

/** Time limit for opening a connection, in milliseconds. */
const connectTimeoutMilliseconds = 1000

/** Default time after which an idle connection is closed: sooner than by Node's HTTP server, which usually waits 5 s. */
const defaultKeepAliveMilliseconds = 4000

/** Number of calls of which it is remembered that a kept connection may have carried them, over all upstreams of a host. */
export const maxCarriedCalls = 16_384

/**
 * A call to the upstream. `requestId`: the request that the call is made for, if its responses bear that id; undefined
 * otherwise.
 */
export type UpstreamCall = SendOptions & { requestId?: RequestId }

/** Properties of an upstream that the configuration defines. */
export interface UpstreamDescription {
  pool: Pool
  kind: 'engines' | 'service'
  worker: WorkerDocument
  /** Models that the pool serves; empty for a service. */
  models: readonly Model[]
  role: EngineRole
  /** True if the worker is in this host's availability zone. */
  isInOwnZone: boolean
}

/** Options of an `Upstream`. */
export interface UpstreamOptions {
  clock: Clock
  /** Time after which an idle connection is closed, in milliseconds. Default: 4,000. */
  keepAliveMilliseconds?: number
  /**
   * Called with the head of each response, before anything else acts on the response. `sentAt`: monotonic time in
   * milliseconds at which the request was passed to the connection; `requestId`: as in the call.
   */
  onResponse?: (upstream: Upstream, head: UpstreamResponseHead, sentAt: number, requestId?: RequestId) => void
  /** Shared by the upstreams of a host. Default: a table of its own. */
  carriedCalls?: BoundedTable<true>
  /** Called when the upstream has sent bytes on a connection on which no call was open. */
  onSurplus?: (upstream: Upstream) => void
  /** Shared by the upstreams of a host. Default: latencies of its own. */
  usualLatencies?: UsualLatencies
}

/** Why connections are in doubt. `foreign_response`: a response belonged to no call; `surplus`: bytes while no call was open. */
export type DoubtReason = 'foreign_response' | 'surplus'

/** Holds the state of one upstream process and the connections of this host to it. */
export class Upstream {
  readonly load = new LoadEstimate()
  readonly health: UpstreamHealth
  /** How much work the process handles well. */
  readonly capacity: WorkerCapacity
  /** Rate of requests that the process states. */
  readonly limit = new StatedLimit()
  readonly origin: string
  private connectionPool: ConnectionPool | undefined
  /** The latest calls, by upstream and request. */
  private readonly carriedCalls: BoundedTable<true>
  private readonly doubt: ConnectionDoubt
  /** True if the last load report states that the upstream is about to stop. */
  leaving = false
  /** True if the upstream has stated in a response that it is about to stop; holds as long as its process. */
  hasAnnouncedStop = false
  /** True while the engine is sent no new work because it is about to change its role. */
  draining = false
  /** True if the configuration no longer contains the worker. */
  removed = false
  /** Value of `acceptsNewRequests` on which the current candidate lists are based. */
  available = false

  constructor (
    public description: UpstreamDescription,
    private readonly options: UpstreamOptions
  ) {
    this.health = new UpstreamHealth(options.clock, description.worker.reportsLoad)
    this.capacity = new WorkerCapacity(options.clock, options.usualLatencies ?? new UsualLatencies(), () => this.slots)
    this.origin = `http://${description.worker.address}`
    this.carriedCalls = options.carriedCalls ?? new BoundedTable(maxCarriedCalls)
    this.doubt = new ConnectionDoubt(options.clock)
  }

  get id (): WorkerId {
    return this.description.worker.id
  }

  get zone (): Zone {
    return this.description.worker.zone
  }

  get isInOwnZone (): boolean {
    return this.description.isInOwnZone
  }

  /** Version of the worker's software; undefined if it is not known. */
  get softwareVersion (): string | undefined {
    return this.description.worker.softwareVersion
  }

  /** Number of requests that the worker processes at once; infinite if it is not known. */
  get slots (): number {
    return this.description.worker.slots ?? Infinity
  }

  /** The reported role, or the configured one before the first report. */
  get role (): EngineRole {
    return this.load.lastReport?.role ?? this.description.role
  }

  /** The reported models, or those of the pool before the first report. */
  get models (): readonly Model[] {
    return this.load.lastReport?.models ?? this.description.models
  }

  /** True if new requests may be sent to the upstream. */
  get acceptsNewRequests (): boolean {
    return this.stays && this.health.isHealthy
  }

  /** True if only a pause keeps new requests from the upstream. */
  get isPaused (): boolean {
    return this.stays && this.health.remainingPauseMilliseconds > 0
  }

  /** True if the process is known to stop in order, so that its end is no failure. */
  get isLeaving (): boolean {
    return this.removed || this.leaving || this.hasAnnouncedStop || this.description.worker.draining
  }

  private get stays (): boolean {
    return !this.isLeaving && !this.draining
  }

  /**
   * Makes a call and resolves when the head of the response has arrived. Rejects with the errors of `sendRequest`. The
   * call is sent on the given dispatcher or on a pooled connection. It has a connection to itself while the connections
   * are in doubt, and if it is a further call for the same request: a late response to the earlier call bears the same id.
   */
  async request ({ requestId, ...call }: UpstreamCall, dispatcher?: Dispatcher): Promise<Dispatcher.ResponseData> {
    const sentAt = this.options.clock.monotonic()
    const isFurtherCall = requestId !== undefined && this.hasCarried(requestId)
    if (requestId !== undefined) this.carriedCalls.set(this.callKey(requestId), true)
    const response = dispatcher === undefined && (isFurtherCall || this.isDoubted)
      ? await this.sendAlone(call)
      : await sendRequest(dispatcher ?? this.connections, call)
    this.options.onResponse?.(this, { status: response.statusCode, headers: response.headers }, sentAt, requestId)
    return response
  }

  /** True if the upstream was recently sent a call for the request. */
  hasCarried (requestId: string): boolean {
    return this.carriedCalls.get(this.callKey(requestId)) === true
  }

  private callKey (requestId: string): string {
    return `${this.origin} ${requestId}`
  }

  /**
   * Keeps no connection for a while, since the upstream has answered out of turn: a late response may arrive on
   * any connection that has carried a call. Open calls go on. Returns false if the connections were already in doubt.
   */
  doubtConnections (): boolean {
    this.close().catch(() => {})
    this.connectionPool = undefined
    return this.doubt.record()
  }

  /** True while each call has a connection to itself. */
  get isDoubted (): boolean {
    return this.doubt.isActive
  }

  /** Sends a call on a connection that is closed when the call has ended. */
  private async sendAlone (call: SendOptions): Promise<Dispatcher.ResponseData> {
    const client = this.openConnection()
    const response = sendRequest(client, call)
    client.close().catch(() => {})
    return await response
  }

  /** Opens a connection that is not part of the pool; the caller destroys it. */
  openConnection (): BoundedClient {
    return new BoundedClient(this.origin, {
      connect: connectUpstream(connectTimeoutMilliseconds), headersTimeout: 0, bodyTimeout: 0, onSurplus: this.onSurplus
    })
  }

  private readonly onSurplus = (): void => { this.options.onSurplus?.(this) }

  /** Pool of connections for requests. */
  private get connections (): ConnectionPool {
    const { keepAliveMilliseconds = defaultKeepAliveMilliseconds } = this.options
    this.connectionPool ??= new ConnectionPool(this.origin, {
      factory: (origin, options) => new BoundedClient(origin, { ...options, onSurplus: this.onSurplus }),
      pipelining: 1,
      connect: connectUpstream(connectTimeoutMilliseconds),
      keepAliveTimeout: keepAliveMilliseconds,
      keepAliveMaxTimeout: keepAliveMilliseconds,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return this.connectionPool
  }

  /** Closes the connections after the requests on them have ended. */
  async close (): Promise<void> {
    await this.connectionPool?.close()
  }
}
