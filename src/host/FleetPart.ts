/**
 * The fleet part of a host. At the holder of the zone's planner lease it manages the zone's engines: it sends orders,
 * reconciles the engines with the configuration and plans their roles. Every host reports its demand to that holder and
 * sends no new requests to engines that are marked as draining.
 */
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { TokenBucket } from '../admission/index.js'
import { type Failure, failure, type FencingNumber, type Model, Task, type WorkerId } from '../common/index.js'
import { DrainMarks, FleetReconciler, LogEngineDrain, type ObservedEngine, PeerPredecessorEvidence, RolePlannerTask } from '../fleet/index.js'
import { leaseNameSchema } from '../leases/index.js'
import {
  type EngineTarget, HttpEngineOrderClient, OrderManager, type PossibleSender, type OrderId
} from '../orders/index.js'
import type { LeaseStatusAnswer, PeerHandlers } from '../peers/index.js'
import {
  DemandCollector, DemandMeter, defaultPaybackOptions, type ModelDemand, PaybackRolePlanner, type RolePlanner, StaticRolePlanner,
  ThresholdRolePlanner
} from '../roles/index.js'
import { HttpClient } from '../clients/index.js'
import type { HostSettings } from '../settings/index.js'
import { loadReportSchema } from '../upstreams/index.js'
import type { ControlPart } from './ControlPart.js'
import type { HostContext } from './HostContext.js'
import type { RequestPart } from './RequestPart.js'

/** Time after which a drain mark expires, in milliseconds. Covers the time limit of the drain and the order itself. */
const drainMarkLifetimeMilliseconds = 240_000

/** Time until every host has read a drain mark and load reports include the requests sent before, in milliseconds. */
const drainMarkPropagationMilliseconds = 3000

/** Interval at which the load of an engine is read during its drain, in milliseconds. */
const drainPollMilliseconds = 250

/** Timeout for reading the load of an engine, in milliseconds. */
const loadTimeoutMilliseconds = 2000

/** Interval of demand reports and of checks of the drain marks, in milliseconds. */
const reportIntervalMilliseconds = 1000

/** Uptime of this host, in milliseconds, after which a lease holder that it never saw on the host list is considered gone. */
const unknownHolderTimeoutMilliseconds = 30_000

/** Maximum number of weight loads that a zone starts at once. */
const weightLoadBurst = 2

function createRolePlanner (settings: HostSettings['roles']): RolePlanner {
  return match(settings.planner)
    .with('static', () => new StaticRolePlanner())
    .with('threshold', () => new ThresholdRolePlanner())
    .with('payback', () => new PaybackRolePlanner({ ...defaultPaybackOptions, changeWeightSeconds: settings.changeWeightSeconds }))
    .exhaustive()
}

/** Options of a `FleetPart`. */
export interface FleetPartOptions {
  context: HostContext
  control: ControlPart
  requests: () => RequestPart
}

/** Runs the tasks that manage the zone's engines and those that every host runs for its own demand and drain marks. */
export class FleetPart {
  readonly demandMeter: DemandMeter
  readonly orders: OrderManager
  private readonly client = new HttpEngineOrderClient()
  private readonly demandCollector: DemandCollector
  private readonly drainMarks: DrainMarks
  private readonly reconciler: FleetReconciler
  private readonly rolePlannerTask: RolePlannerTask
  private readonly createdAtMilliseconds: number
  private task: Task | undefined

  constructor (private readonly options: FleetPartOptions) {
    const { context, control } = options
    const { clock, events, settings } = context
    this.createdAtMilliseconds = clock.monotonic()
    this.demandMeter = new DemandMeter(clock)
    this.demandCollector = new DemandCollector(clock)
    const drain = new LogEngineDrain({
      clock,
      orders: () => this.orders,
      readRunningWork: worker => this.readRunningWork(worker),
      markLifetimeMilliseconds: drainMarkLifetimeMilliseconds,
      markPropagationMilliseconds: drainMarkPropagationMilliseconds,
      pollMilliseconds: drainPollMilliseconds
    })
    this.orders = new OrderManager({
      clock,
      events,
      holder: control.identity,
      lease: control.plannerLease,
      leases: control.leases,
      engines: () => this.engines(),
      client: this.client,
      evidence: new PeerPredecessorEvidence({
        requestLeaseStatus: (sender, engine) => this.requestLeaseStatus(sender, engine),
        senderState: sender => this.senderState(sender)
      }),
      drain,
      weightLoads: new TokenBucket(settings.orders.weightLoadsPerSecond, weightLoadBurst, clock.monotonic())
    })
    this.drainMarks = new DrainMarks(this.orders, clock)
    const hasAuthority = (): boolean => control.leases.authority(control.plannerLease) !== undefined
    this.reconciler = new FleetReconciler({
      clock,
      events,
      configuration: control.configuration,
      orders: this.orders,
      client: this.client,
      engines: () => this.engines(),
      hasAuthority,
      // A planner that changes roles would conflict with configured roles.
      appliesConfiguredRoles: settings.roles.planner === 'static'
    })
    this.rolePlannerTask = new RolePlannerTask({
      clock,
      events,
      planner: createRolePlanner(settings.roles),
      demand: this.demandCollector,
      capacity: settings.roles.capacity,
      orders: this.orders,
      engines: () => this.observedEngines(),
      hasAuthority
    })
  }

  /** Starts the tasks. Tasks that need the planner lease wait until this host holds the lease. */
  start (): void {
    const { events } = this.options.context
    this.orders.start(this.options.control.followers)
    this.reconciler.start()
    this.rolePlannerTask.start()
    this.task = Task.start(signal => this.runPeriodically(signal), error => {
      events.error('fleet_part_failed', { reason: String(error) })
    })
  }

  /** Stops the tasks. Must be called before the lease is released. */
  async stop (): Promise<void> {
    await Promise.all([this.task?.stop(), this.rolePlannerTask.stop(), this.reconciler.stop()])
    await this.orders.stop()
  }

  /** Closes the connections to engines. */
  async close (): Promise<void> {
    await this.client.close()
  }

  /**
   * Records an operator's confirmation that no former lease holder can send the order any more. Errors: see
   * `OrderManager.confirm`.
   */
  async confirm (orderId: string, operator: string): Promise<Result<void, Failure>> {
    return await this.orders.confirm(orderId as OrderId, operator)
  }

  /** Returns the handlers of the peer calls that this part serves. */
  peerHandlers (): PeerHandlers {
    return {
      demand: async ({ models }, { sender }) => {
        this.demandCollector.add(sender.hostId, new Map(models.map(({ model, ...demand }) => [model as Model, demand])))
        return Result.ok({ accepted: true })
      },
      leaseStatus: async ({ lease, fencingNumber, engine }) => {
        const name = leaseNameSchema.safeParse(lease)
        if (!name.success) return Result.err(failure('bad_request', 'the lease name is malformed'))
        const status = await this.orders.leaseStatus(name.data, fencingNumber as FencingNumber, engine as WorkerId)
        return Result.ok<LeaseStatusAnswer, Failure>({ ...status, responder: this.options.control.identity })
      }
    }
  }

  private async runPeriodically (signal: AbortSignal): Promise<void> {
    const { clock } = this.options.context
    while (!signal.aborted) {
      await clock.sleep(reportIntervalMilliseconds, signal)
      this.applyDrainMarks()
      await this.sendDemand()
    }
  }

  private applyDrainMarks (): void {
    const { upstreams } = this.options.requests()
    const drainedIds = this.drainMarks.drainedEngines()
    for (const { id } of upstreams.view()) {
      const upstream = upstreams.worker(id)
      if (upstream !== undefined && upstream.draining !== drainedIds.has(id)) upstreams.setDraining(id, drainedIds.has(id))
    }
  }

  private async sendDemand (): Promise<void> {
    const { control } = this.options
    const demand = this.demandMeter.takeRates()
    const lease = control.leases.lease(control.plannerLease)
    if (lease === undefined || lease.isReleased) return
    if (lease.holder.hostId === control.identity.hostId) return this.demandCollector.add(control.identity.hostId, demand)
    const target = control.knownTargetOf(lease.holder.hostId, lease.holder.incarnation)
    if (target === undefined || demand.size === 0) return
    const models = [...demand].map(([model, rates]: [Model, ModelDemand]) => ({ model, ...rates, queuedRequests: 0 }))
    await control.peerPool.demand(target, { models }, { timeoutMilliseconds: reportIntervalMilliseconds })
  }

  private engines (): EngineTarget[] {
    const { control, context } = this.options
    return [...control.configuration.pools().values()]
      .filter(document => document.kind === 'engines')
      .flatMap(document => document.workers)
      .filter(worker => worker.zone === context.settings.host.zone)
      .map(({ id, address, checksFencing }) => ({ worker: id, address, checksFencing }))
  }

  private observedEngines (): ObservedEngine[] {
    const models = new Map([...this.options.control.configuration.pools()].map(([pool, document]) =>
      [pool, document.kind === 'engines' ? document.models[0] : undefined]))
    return this.options.requests().upstreams.view().flatMap(view => {
      const model = models.get(view.pool)
      if (model === undefined || view.zone !== this.options.context.settings.host.zone) return []
      return [{ worker: view.id, model, role: view.role, unavailable: !view.available }]
    })
  }

  private async readRunningWork (worker: WorkerId): Promise<number | undefined> {
    const engine = this.engines().find(target => target.worker === worker)
    if (engine === undefined) return undefined
    const http = new HttpClient(`http://${engine.address}`)
    const response = await http.send({ method: 'GET', path: '/load', timeoutMilliseconds: loadTimeoutMilliseconds })
    await http.close()
    const report = response.isOk ? loadReportSchema.safeParse(response.value.body) : undefined
    return report?.success === true ? report.data.runningDecodes + report.data.queuedPrefillTokens : undefined
  }

  private senderState ({ holder }: PossibleSender): 'present' | 'replaced' | 'left_list' | 'unknown' {
    const { membership } = this.options.control
    const state = membership.stateOf(holder)
    if (state === 'gone') return membership.view().peers.has(holder.hostId) ? 'replaced' : 'left_list'
    if (state !== undefined) return 'present'
    if (membership.view().peers.has(holder.hostId)) return 'unknown'
    const uptime = this.options.context.clock.monotonic() - this.createdAtMilliseconds
    return membership.view().listVersion !== undefined && uptime > unknownHolderTimeoutMilliseconds ? 'left_list' : 'unknown'
  }

  private async requestLeaseStatus (
    { holder, lease, fencingNumber }: PossibleSender, engine: WorkerId
  ): Promise<Result<{ knowsLeaseIsOver: boolean, orderInFlight: boolean }, Failure>> {
    const target = this.options.control.knownTargetOf(holder.hostId, holder.incarnation)
    if (target === undefined) return Result.err(failure('not_run', `the incarnation of host ${holder.hostId} that held the lease is not in the membership view`))
    return await this.options.control.peerPool.leaseStatus(target, { lease, fencingNumber, engine })
  }
}
