/**
 * The administration part of a host: what operators see and do.
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

/** What the administration part needs of the rest of the host. */
export interface AdministrationPartOptions {
  context: HostContext
  control: ControlPart
  requests: RequestPart
  fleet: FleetPart
  ready: () => boolean
  draining: () => boolean
  drain: () => void
}

/** The administration part. */
export class AdministrationPart {
  readonly usage: UsageReader
  readonly application: ReturnType<typeof administrationApplication>
  private readonly closing = new AbortController()

  constructor (private readonly options: AdministrationPartOptions) {
    const { context, control } = options
    const { settings, clock, events, metrics, log } = context
    this.usage = new UsageReader({ log, clock, events })
    const administration: AdministrationOptions = {
      configuration: control.configuration,
      authenticator: new TeamAuthenticator(control.configuration, clock, settings.administration.bootstrapTokenSha256),
      clock,
      log: events,
      metrics,
      timeline: events.timeline,
      health: () => this.health(),
      fleetReport: () => this.fleetReport(),
      usageStatement: owner => this.usage.statement(owner),
      drainHost: by => {
        events.info('drain_ordered', { team: by.team })
        options.drain()
      },
      drainWorker: (worker, by) => this.drainWorker(worker, by),
      confirmOrder: (orderId, by) => options.fleet.confirm(orderId, by.team),
      writeConfigurationSnapshot: stateAt => control.restoreConfiguration(stateAt),
      closing: this.closing.signal
    }
    this.application = administrationApplication(administration)
  }

  /** Ends watches and the reading of the ledger. */
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

  /** Marks the worker as draining in its pool's document, so that every host stops sending new work to it. */
  private async drainWorker (worker: WorkerId, by: AuthenticatedTeam): Promise<Result<void, Failure>> {
    const { configuration } = this.options.control
    const pool = [...configuration.pools()].find(([, document]) => document.workers.some(({ id }) => id === worker))
    if (pool === undefined) return Result.err(failure('not_found', `no pool has a worker "${worker}"`))
    const [name, document] = pool
    const path = `/fleet/pools/${name}`
    const edit = { path, expectedVersion: configuration.get(path)?.version ?? 0, value: withDraining(document, worker) }
    return (await configuration.change(by, [edit])).map(() => undefined)
  }
}

function withDraining (document: PoolDocument, worker: WorkerId): PoolDocument {
  const workers = document.workers.map(each => each.id === worker ? { ...each, draining: true } : each)
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
