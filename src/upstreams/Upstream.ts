/**
 * One upstream process as this host sees it: identity from the configuration, load, health, and connections.
 * Only `UpstreamManager` changes it.
 */
import { Pool as ConnectionPool } from 'undici'
import type { Clock, Model, Pool, WorkerId, Zone } from '../common/index.js'
import type { EngineRole, WorkerDocument } from '../configuration/index.js'
import { connectUpstream } from './connectUpstream.js'
import { LoadEstimate } from './LoadEstimate.js'
import { UpstreamHealth } from './UpstreamHealth.js'

/** Time for setting up a connection, in milliseconds. */
export const connectTimeoutMilliseconds = 1000

/** Idle connections are closed after this time by default, before the usual 5 s of Node's HTTP server. */
const defaultKeepAliveMilliseconds = 4000

/** Parts of an upstream that the configuration states. */
export interface UpstreamDescription {
  pool: Pool
  kind: 'engines' | 'service'
  worker: WorkerDocument
  /** Models that the pool serves; empty for a service. */
  models: readonly Model[]
  role: EngineRole
  /** True if the worker is in this host's availability zone. */
  ownZone: boolean
}

/** One upstream process. */
export class Upstream {
  readonly load = new LoadEstimate()
  readonly health: UpstreamHealth
  readonly origin: string
  private connections: ConnectionPool | undefined
  /** The upstream says that it will stop. */
  leaving = false
  /** No new work, since the engine is about to change its role. */
  draining = false
  /** The configuration no longer contains the worker. */
  removed = false
  /** Last published decision whether the upstream is a candidate. */
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

  get ownZone (): boolean {
    return this.description.ownZone
  }

  /** The reported role; before the first report the configured one. */
  get role (): EngineRole {
    return this.load.lastReport?.role ?? this.description.role
  }

  /** The reported models; before the first report those of the pool. */
  get models (): readonly Model[] {
    return this.load.lastReport?.models ?? this.description.models
  }

  /** True if the upstream may get new work. */
  get usable (): boolean {
    const isDraining = this.draining || this.description.worker.draining
    return !this.removed && !this.leaving && !isDraining && this.health.usable
  }

  /** Connections for requests. */
  get http (): ConnectionPool {
    this.connections ??= new ConnectionPool(this.origin, {
      pipelining: 1,
      connect: connectUpstream(connectTimeoutMilliseconds),
      keepAliveTimeout: this.keepAliveMilliseconds,
      keepAliveMaxTimeout: this.keepAliveMilliseconds,
      headersTimeout: 0,
      bodyTimeout: 0
    })
    return this.connections
  }

  /** Closes the connections once their requests have ended. */
  async close (): Promise<void> {
    await this.connections?.close()
  }
}
