/**
 * Brings the engines of a zone to what the configuration wants: models, versions, adapters and, where they are
 * configured, roles. It works at the holder of the zone's planner lease only. Orders that interrupt an engine
 * go to one engine of a pool at a time, and only while another engine of the pool serves.
 */
import { type Clock, failureOf, Task, type WorkerId } from '../common/index.js'
import type { ConfigurationReader } from '../configuration/index.js'
import type { EventLog } from '../observability/index.js'
import { type EngineOrder, type EngineOrderClient, type EngineTarget, interruptsEngine, type OrderManager } from '../orders/index.js'
import { nextOrder, wantedEngines } from './wantedOrders.js'

/** Options of a `FleetReconciler`. Times are in milliseconds. */
export interface FleetReconcilerOptions {
  clock: Clock
  events: EventLog
  configuration: ConfigurationReader
  orders: OrderManager
  client: EngineOrderClient
  /** The engines of the zone, asked anew each time. */
  engines: () => EngineTarget[]
  /** True while this host holds the zone's planner lease. */
  hasAuthority: () => boolean
  /** False: configured roles are left to a role planner. */
  followsRoles: boolean
  /** Engines looked at in one round; rounds take turns, so that the reading does not grow with the zone. Default: 16. */
  enginesPerRound?: number
  /** Time between two comparisons. Default: 2,000. */
  intervalMilliseconds?: number
  /** Longest wait for running streams before an order that interrupts them. Default: 120,000. */
  drainLimitMilliseconds?: number
}

/** The comparison of one zone's engines with the configuration. */
export class FleetReconciler {
  private task: Task | undefined
  private nextEngine = 0
  private readonly working = new Map<WorkerId, EngineOrder['kind']>()

  constructor (private readonly options: FleetReconcilerOptions) {}

  /** Engines that an order of this reconciler is on its way to. */
  get busyEngines (): ReadonlyMap<WorkerId, EngineOrder['kind']> {
    return this.working
  }

  /** Starts to compare. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('fleet_reconciler_failed', { reason: failureOf(error).message })
    })
  }

  /** Stops to compare; an order on its way is ended by the order manager. */
  async stop (): Promise<void> {
    await this.task?.stop()
    this.task = undefined
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock, intervalMilliseconds = 2000 } = this.options
    while (!signal.aborted) {
      if (this.options.hasAuthority()) await this.compareAll()
      await clock.sleep(intervalMilliseconds, signal)
    }
  }

  private async compareAll (): Promise<void> {
    const wanted = wantedEngines(this.options.configuration)
    await Promise.all(this.enginesOfRound().map(async engine => {
      const target = wanted.get(engine.worker)
      if (target === undefined || this.working.has(engine.worker)) return
      const state = await this.options.client.state(engine)
      if (state.isErr) return
      const order = nextOrder(this.options.followsRoles ? target : { ...target, role: undefined }, state.value)
      if (order !== undefined) this.startOrder(engine.worker, order)
    }))
  }

  private enginesOfRound (): EngineTarget[] {
    const engines = this.options.engines()
    const count = Math.min(engines.length, this.options.enginesPerRound ?? 16)
    const from = this.nextEngine % Math.max(1, engines.length)
    this.nextEngine = from + count
    return Array.from({ length: count }, (_, index) => engines[(from + index) % engines.length] as EngineTarget)
  }

  /** Not awaited: loading weights takes long, and other engines go on meanwhile. */
  private startOrder (worker: WorkerId, order: EngineOrder): void {
    if (interruptsEngine(order.kind) && !this.mayInterrupt(worker)) return
    this.working.set(worker, order.kind)
    this.carryOut(worker, order)
      .catch(caught => this.options.events.error('fleet_order_failed', { engine: worker, reason: failureOf(caught).message }))
      .finally(() => { this.working.delete(worker) })
  }

  private async carryOut (worker: WorkerId, order: EngineOrder): Promise<void> {
    const { orders, events, drainLimitMilliseconds = 120_000 } = this.options
    events.info('fleet_order_started', { engine: worker, kind: order.kind })
    const ended = interruptsEngine(order.kind)
      ? await orders.executeDrained(worker, order, { drainLimitMilliseconds })
      : await orders.execute(worker, order)
    if (ended.isErr) events.warn('fleet_order_refused', { engine: worker, kind: ended.error.kind, reason: ended.error.message })
  }

  /** An engine may be interrupted if no other one of its pool in this zone is, and at least one other is there. */
  private mayInterrupt (worker: WorkerId): boolean {
    const pool = [...this.options.configuration.pools().values()]
      .find(document => document.workers.some(({ id }) => id === worker))
    const zoneEngines = new Set(this.options.engines().map(engine => engine.worker))
    const siblings = (pool?.workers ?? []).filter(({ id }) => id !== worker)
    if (siblings.length === 0) return false
    return !siblings.some(({ id }) => zoneEngines.has(id) && interruptsEngine(this.working.get(id) ?? 'load_model'))
  }
}
