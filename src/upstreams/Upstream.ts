/**
 * One upstream process, as seen by this host: identity from the configuration, load, health, and connections.
 * Only `UpstreamManager` changes it.
 */
import { Pool as ConnectionPool } from 'undici'
import { BoundedClient } from '../clients/index.js'
import type { Clock, Model, Pool, WorkerId, Zone } from '../common/index.js'
import type { EngineRole, WorkerDocument } from '../configuration/index.js'
import { connectUpstream } from './connectUpstream.js'
import { LoadEstimate } from './LoadEstimate.js'
import { UpstreamHealth } from './UpstreamHealth.js'

/** Time limit for opening a connection, in milliseconds. */
export const connectTimeoutMilliseconds = 1000

/** Default time after which an idle connection is closed: sooner than by Node's HTTP server, which usually waits 5 s. */
const defaultKeepAliveMilliseconds = 4000

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

/** Holds the state of one upstream process and the connections of this host to it. */
export class Upstream {
  readonly load = new LoadEstimate()
  readonly health: UpstreamHealth
  readonly origin: string
  private connectionPool: ConnectionPool | undefined
  /** True if the upstream reports that it is about to stop. */
  leaving = false
  /** True while the engine is sent no new work because it is about to change its role. */
  draining = false
  /** True if the configuration no longer contains the worker. */
  removed = false
  /** Value of `acceptsNewRequests` on which the current candidate lists are based. */
  available = false

  constructor (
    public description: UpstreamDescription,
    clock: Clock,
    private readonly keepAliveMilliseconds = defaultKeepAliveMilliseconds
  ) {
    this.health = new UpstreamHealth(clock, description.worker.reportsLoad)
    this.origin = `http://${description.worker.address}`
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
    const isDraining = this.draining || this.description.worker.draining
    return !this.removed && !this.leaving && !isDraining && this.health.isHealthy
  }

  /** Connection pool for requests. */
  get http (): ConnectionPool {
    this.connectionPool ??= new ConnectionPool(this.origin, {
      factory: (origin, options) => new BoundedClient(origin, options),
      pipelining: 1,
      connect: connectUpstream(connectTimeoutMilliseconds),
      keepAliveTimeout: this.keepAliveMilliseconds,
      keepAliveMaxTimeout: this.keepAliveMilliseconds,
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
