/**
 * The fleet part of a host: the zone's duties towards engines (orders, comparison with the configuration, role
 * planning) at the holder of the planner lease, and on every host the report of its demand and the marks of
 * engines that get no new work.
 */
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { TokenBucket } from '../admission/index.js'
import { type Failure, failure, type FencingNumber, type Model, Task, type WorkerId } from '../common/index.js'
import { DrainMarks, FleetReconciler, LogEngineDrain, type ObservedEngine, PeerPredecessorEvidence, RoleDuty } from '../fleet/index.js'
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

/** Life of a mark that an engine gets no new work; covers the drain limit and the order. */
const drainMarkMilliseconds = 240_000

/** Time for a mark to reach every host and for what they sent before to show in load reports. */
const drainSettleMilliseconds = 3000

const drainPollMilliseconds = 250

const loadTimeoutMilliseconds = 2000

/** Time between two demand reports and two looks at the marks. */
const reportMilliseconds = 1000

/** A lease holder that this host has never seen on the list counts as gone after this time. */
const unknownHostMilliseconds = 30_000

/** Loads of weights that one zone may start at once. */
const weightLoadBurst = 2

function plannerOf (settings: HostSettings['roles']): RolePlanner {
  return match(settings.planner)
    .with('static', () => new StaticRolePlanner())
    .with('threshold', () => new ThresholdRolePlanner())
    .with('payback', () => new PaybackRolePlanner({ ...defaultPaybackOptions, changeWeightSeconds: settings.changeWeightSeconds }))
    .exhaustive()
}

/** What the fleet part needs of the rest of the host. */
export interface FleetPartOptions {
  context: HostContext
  control: ControlPart
  requests: () => RequestPart
}

/** The fleet part. */
export class FleetPart {
  readonly meter: DemandMeter
  readonly orders: OrderManager
  private readonly client = new HttpEngineOrderClient()
  private readonly collector: DemandCollector
  private readonly marks: DrainMarks
  private readonly reconciler: FleetReconciler
  private readonly roles: RoleDuty
  private readonly startedAt: number
  private task: Task | undefined

  constructor (private readonly options: FleetPartOptions) {
    const { context, control } = options
    const { clock, events, settings } = context
    this.startedAt = clock.monotonic()
    this.meter = new DemandMeter(clock)
    this.collector = new DemandCollector(clock)
    const drain = new LogEngineDrain({
      clock,
      orders: () => this.orders,
      readRunning: worker => this.readRunning(worker),
      markMilliseconds: drainMarkMilliseconds,
      settleMilliseconds: drainSettleMilliseconds,
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
        askStatus: (sender, engine) => this.askStatus(sender, engine),
        stateOf: sender => this.stateOf(sender)
      }),
      drain,
      weightLoads: new TokenBucket(settings.orders.weightLoadsPerSecond, weightLoadBurst, clock.monotonic())
    })
    this.marks = new DrainMarks(this.orders, clock)
    const hasAuthority = (): boolean => control.leases.authority(control.plannerLease) !== undefined
    this.reconciler = new FleetReconciler({
      clock,
      events,
      configuration: control.configuration,
      orders: this.orders,
      client: this.client,
      engines: () => this.engines(),
      hasAuthority,
      // A planner that moves roles would fight with configured ones.
      followsRoles: settings.roles.planner === 'static'
    })
    this.roles = new RoleDuty({
      clock,
      events,
      planner: plannerOf(settings.roles),
      demand: this.collector,
      capacity: settings.roles.capacity,
      orders: this.orders,
      engines: () => this.observedEngines(),
      hasAuthority
    })
  }

  /** Starts the duties. Those that need the lease wait for it. */
  start (): void {
    const { events } = this.options.context
    this.orders.start(this.options.control.followers)
    this.reconciler.start()
    this.roles.start()
    this.task = Task.start(signal => this.report(signal), error => {
      events.error('fleet_part_failed', { reason: String(error) })
    })
  }

  /** Ends the duties; has to be called before the lease is released. */
  async stop (): Promise<void> {
    await Promise.all([this.task?.stop(), this.roles.stop(), this.reconciler.stop()])
    await this.orders.stop()
  }

  /** Closes connections. */
  async close (): Promise<void> {
    await this.client.close()
  }

  /** Records that a former lease holder can no longer send an order. Errors: those of `OrderManager.confirm`. */
  async confirm (orderId: string, operator: string): Promise<Result<void, Failure>> {
    return await this.orders.confirm(orderId as OrderId, operator)
  }

  /** Handlers of the calls between hosts that this part answers. */
  peerHandlers (): PeerHandlers {
    return {
      demand: async ({ models }, { sender }) => {
        this.collector.add(sender.hostId, new Map(models.map(({ model, ...demand }) => [model as Model, demand])))
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

  private async report (signal: AbortSignal): Promise<void> {
    const { clock } = this.options.context
    while (!signal.aborted) {
      await clock.sleep(reportMilliseconds, signal)
      this.applyMarks()
      await this.sendDemand()
    }
  }

  private applyMarks (): void {
    const { upstreams } = this.options.requests()
    const drained = this.marks.drainedEngines()
    for (const { id } of upstreams.view()) {
      const upstream = upstreams.worker(id)
      if (upstream !== undefined && upstream.draining !== drained.has(id)) upstreams.setDraining(id, drained.has(id))
    }
  }

  private async sendDemand (): Promise<void> {
    const { control } = this.options
    const demand = this.meter.takeRates()
    const holder = control.leases.lease(control.plannerLease)
    if (holder === undefined || holder.isReleased) return
    if (holder.holder.hostId === control.identity.hostId) return this.collector.add(control.identity.hostId, demand)
    const target = control.targetOf(holder.holder.hostId, holder.holder.incarnation)
    if (target === undefined || demand.size === 0) return
    const models = [...demand].map(([model, rates]: [Model, ModelDemand]) => ({ model, ...rates, queuedRequests: 0 }))
    await control.pool.demand(target, { models }, { timeoutMilliseconds: reportMilliseconds })
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

  private async readRunning (worker: WorkerId): Promise<number | undefined> {
    const engine = this.engines().find(target => target.worker === worker)
    if (engine === undefined) return undefined
    const http = new HttpClient(`http://${engine.address}`)
    const answered = await http.send({ method: 'GET', path: '/load', timeoutMilliseconds: loadTimeoutMilliseconds })
    await http.close()
    const report = answered.isOk ? loadReportSchema.safeParse(answered.value.body) : undefined
    return report?.success === true ? report.data.runningDecodes + report.data.queuedPrefillTokens : undefined
  }

  private stateOf ({ holder }: PossibleSender): 'present' | 'replaced' | 'left_list' | 'unknown' {
    const { membership } = this.options.control
    const state = membership.stateOf(holder)
    if (state === 'gone') return membership.view().peers.has(holder.hostId) ? 'replaced' : 'left_list'
    if (state !== undefined) return 'present'
    if (membership.view().peers.has(holder.hostId)) return 'unknown'
    const uptime = this.options.context.clock.monotonic() - this.startedAt
    return membership.view().listVersion !== undefined && uptime > unknownHostMilliseconds ? 'left_list' : 'unknown'
  }

  private async askStatus (
    { holder, lease, fencingNumber }: PossibleSender, engine: WorkerId
  ): Promise<Result<{ knowsLeaseIsOver: boolean, orderInFlight: boolean }, Failure>> {
    const target = this.options.control.targetOf(holder.hostId, holder.incarnation)
    if (target === undefined) return Result.err(failure('not_run', `host ${holder.hostId} is not known`))
    return await this.options.control.pool.leaseStatus(target, { lease, fencingNumber, engine })
  }
}
