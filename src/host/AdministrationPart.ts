/**
 * The administration part of a host: the HTTP interface for operators, with health, reports, drains and configuration.
 */
import { Result } from 'true-myth'
import {
  administrationApplication, type AdministrationOptions, type FleetReport, type LeaseReport, type OpenOrderReport,
  type StreamReport, type WorkerReport
} from '../administration/index.js'
import { failure, type Failure, type WorkerId } from '../common/index.js'
import { type AuthenticatedTeam, type PoolDocument, TeamAuthenticator } from '../configuration/index.js'
import type { OpenIntent } from '../orders/index.js'
import type { UpstreamView } from '../upstreams/index.js'
import type { ControlPart } from './ControlPart.js'
import type { FleetPart } from './FleetPart.js'
import type { HostContext } from './HostContext.js'
import type { RequestPart } from './RequestPart.js'
import { UsageReader } from './UsageReader.js'

/** Options of an `AdministrationPart`. */
export interface AdministrationPartOptions {
  context: HostContext
  control: ControlPart
  requests: RequestPart
  fleet: FleetPart
  ready: () => boolean
  draining: () => boolean
  /** Starts the graceful shutdown of the host. */
  drain: () => void
}

/** Builds the administration application from the other parts of the host. */
export class AdministrationPart {
  readonly usage: UsageReader
  readonly application: ReturnType<typeof administrationApplication>
  private readonly closing = new AbortController()

  constructor (private readonly options: AdministrationPartOptions) {
    const { context, control } = options
    const { settings, clock, events, metrics, log } = context
    this.usage = new UsageReader({
      log,
      clock,
      events,
      snapshotAuthority: () => control.snapshotAuthority(),
      retentionMilliseconds: settings.platform.logRetentionSeconds * 1000
    })
    const administrationOptions: AdministrationOptions = {
      configuration: control.configuration,
      authenticator: new TeamAuthenticator(control.configuration, clock, settings.administration.bootstrapTokenSha256),
      clock,
      events,
      metrics,
      timeline: events.timeline,
      health: () => this.health(),
      fleetReport: () => this.fleetReport(),
      usageStatement: owner => this.usage.statement(owner),
      drainHost: operator => {
        events.info('drain_ordered', { team: operator.team })
        options.drain()
      },
      drainWorker: (worker, operator) => this.drainWorker(worker, operator),
      confirmOrder: (orderId, operator) => options.fleet.confirm(orderId, operator.team),
      writeConfigurationSnapshot: stateAt => control.restoreConfiguration(stateAt),
      closing: this.closing.signal
    }
    this.application = administrationApplication(administrationOptions)
  }

  /** Ends the open watches of the configuration and stops following the usage ledger. */
  async stop (): Promise<void> {
    this.closing.abort()
    await this.usage.stop()
  }

  private health (): { live: boolean, ready: boolean, reasons: string[] } {
    const reasons: string[] = []
    if (this.options.draining()) reasons.push('draining')
    else if (!this.options.control.followers.isReady) reasons.push('no_complete_configuration')
    return { live: true, ready: this.options.ready(), reasons }
  }

  private fleetReport (): FleetReport {
    const { context, control, fleet, requests } = this.options
    const { self, peers } = control.membership.view()
    return {
      at: context.clock.wall(),
      reportedBy: self.hostId,
      incarnation: self.incarnation,
      hosts: [self, ...[...peers.values()].map(({ host, state }) => ({ ...host, reachable: state !== 'silent' }))],
      workers: requests.upstreams.view().map(workerReportOf),
      leases: control.leases.report().map((lease): LeaseReport => ({
        lease: lease.lease,
        ...(lease.isReleased ? {} : { holder: lease.holder.hostId }),
        fencingNumber: lease.fencingNumber
      })),
      openOrders: fleet.orders.engineReports().flatMap(({ engine, open, formerSenders }): OpenOrderReport[] =>
        open === undefined ? [] : [openOrderOf(engine, open, formerSenders.length > 0)]),
      streams: control.followers.followers().map((follower): StreamReport => ({
        stream: follower.stream,
        through: follower.through,
        state: follower.isReady ? 'current' : 'behind'
      }))
    }
  }

  /** Marks the worker as draining in its pool's document, so that every host stops sending new requests to it. */
  private async drainWorker (worker: WorkerId, operator: AuthenticatedTeam): Promise<Result<void, Failure>> {
    const { configuration } = this.options.control
    const poolEntry = [...configuration.pools()].find(([, document]) => document.workers.some(({ id }) => id === worker))
    if (poolEntry === undefined) return Result.err(failure('not_found', `no pool has a worker "${worker}"`))
    const [name, document] = poolEntry
    const path = `/fleet/pools/${name}`
    const edit = { path, expectedVersion: configuration.get(path)?.version ?? 0, value: withDraining(document, worker) }
    return (await configuration.change(operator, [edit])).map(() => undefined)
  }
}

function withDraining (document: PoolDocument, worker: WorkerId): PoolDocument {
  const workers = document.workers.map(current => current.id === worker ? { ...current, draining: true } : current)
  return { ...document, workers }
}

function stateOf (worker: UpstreamView): WorkerReport['state'] {
  if (worker.leaving) return 'leaving'
  if (worker.draining) return 'draining'
  return worker.available ? 'serving' : 'unreachable'
}

function workerReportOf (worker: UpstreamView): WorkerReport {
  return {
    worker: worker.id,
    pool: worker.pool,
    kind: worker.kind,
    zone: worker.zone,
    address: worker.address,
    state: stateOf(worker),
    ...(worker.kind === 'engines' ? { role: worker.role } : {}),
    inFlight: worker.outstanding,
    queuedPrefillTokens: Math.max(0, worker.queuedPrefillTokens)
  }
}

function openOrderOf (engine: WorkerId, intent: OpenIntent, needsConfirmation: boolean): OpenOrderReport {
  return { orderId: intent.orderId, engine, kind: intent.order.kind, fencingNumber: intent.fencingNumber, needsConfirmation }
}
