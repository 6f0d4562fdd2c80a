/**
 * Reconciles the engines of a zone with the configuration: models, versions, adapters and, where they are configured,
 * roles. Only the holder of the zone's planner lease sends orders. Within the zone, orders that interrupt an engine go
 * to one engine of a pool at a time, and only if the pool has another engine.
 */
import { type Clock, failureOf, Task, type WorkerId } from '../common/index.js'
import type { ConfigurationReader } from '../configuration/index.js'
import type { EventLog } from '../observability/index.js'
import { type EngineOrder, type EngineOrderClient, type EngineTarget, interruptsEngine, type OrderManager } from '../orders/index.js'
import { nextOrder, desiredEngines } from './desiredEngines.js'

/** Options of a `FleetReconciler`. Times are in milliseconds. */
export interface FleetReconcilerOptions {
  clock: Clock
  events: EventLog
  configuration: ConfigurationReader
  orders: OrderManager
  client: EngineOrderClient
  /** Returns the current engines of the zone. */
  engines: () => EngineTarget[]
  /** True while this host holds the zone's planner lease. */
  hasAuthority: () => boolean
  /** True: engines receive their configured roles. False: a role planner sets the roles. */
  appliesConfiguredRoles: boolean
  /**
   * Maximum number of engines compared in one round. Successive rounds cycle through the zone, so that the reads per
   * round do not grow with the size of the zone. Default: 16.
   */
  enginesPerRound?: number
  /** Interval between rounds. Default: 2,000. */
  intervalMilliseconds?: number
  /** Maximum wait for running streams before an order that interrupts them. Default: 120,000. */
  drainLimitMilliseconds?: number
}

/** Compares the engines of one zone with the configuration and sends the orders that are missing. */
export class FleetReconciler {
  private task: Task | undefined
  private nextEngineIndex = 0
  private readonly ordersInProgress = new Map<WorkerId, EngineOrder['kind']>()

  constructor (private readonly options: FleetReconcilerOptions) {}

  /** Engines on which an order of this reconciler is in progress, with the kind of the order. */
  get busyEngines (): ReadonlyMap<WorkerId, EngineOrder['kind']> {
    return this.ordersInProgress
  }

  /** Starts the rounds of comparison. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('fleet_reconciler_failed', { reason: failureOf(error).message })
    })
  }

  /** Stops the rounds. Does not wait for orders in progress; the order manager ends them. */
  async stop (): Promise<void> {
    await this.task?.stop()
    this.task = undefined
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock, intervalMilliseconds = 2000 } = this.options
    while (!signal.aborted) {
      if (this.options.hasAuthority()) await this.reconcile()
      await clock.sleep(intervalMilliseconds, signal)
    }
  }

  private async reconcile (): Promise<void> {
    const desiredByWorker = desiredEngines(this.options.configuration)
    await Promise.all(this.takeNextEngines().map(async engine => {
      const desired = desiredByWorker.get(engine.worker)
      if (desired === undefined || this.ordersInProgress.has(engine.worker)) return
      const state = await this.options.client.state(engine)
      if (state.isErr) return
      const order = nextOrder(this.options.appliesConfiguredRoles ? desired : { ...desired, role: undefined }, state.value)
      if (order !== undefined) this.startOrder(engine.worker, order)
    }))
  }

  private takeNextEngines (): EngineTarget[] {
    const engines = this.options.engines()
    const count = Math.min(engines.length, this.options.enginesPerRound ?? 16)
    const start = this.nextEngineIndex % Math.max(1, engines.length)
    this.nextEngineIndex = start + count
    return Array.from({ length: count }, (_, index) => engines[(start + index) % engines.length] as EngineTarget)
  }

  /** Starts an order without waiting for it, since loading weights takes long and other engines must not wait for it. */
  private startOrder (worker: WorkerId, order: EngineOrder): void {
    if (interruptsEngine(order.kind) && !this.mayInterrupt(worker)) return
    this.ordersInProgress.set(worker, order.kind)
    this.execute(worker, order)
      .catch(caught => this.options.events.error('fleet_order_failed', { engine: worker, reason: failureOf(caught).message }))
      .finally(() => { this.ordersInProgress.delete(worker) })
  }

  private async execute (worker: WorkerId, order: EngineOrder): Promise<void> {
    const { orders, events, drainLimitMilliseconds = 120_000 } = this.options
    events.info('fleet_order_started', { engine: worker, kind: order.kind })
    const outcome = interruptsEngine(order.kind)
      ? await orders.executeDrained(worker, order, { drainLimitMilliseconds })
      : await orders.execute(worker, order)
    if (outcome.isErr) events.warn('fleet_order_refused', { engine: worker, kind: outcome.error.kind, reason: outcome.error.message })
  }

  /** True if the engine's pool has another engine, and no other engine of the pool in this zone is being interrupted. */
  private mayInterrupt (worker: WorkerId): boolean {
    const pool = [...this.options.configuration.pools().values()]
      .find(document => document.workers.some(({ id }) => id === worker))
    const zoneEngines = new Set(this.options.engines().map(engine => engine.worker))
    const siblings = (pool?.workers ?? []).filter(({ id }) => id !== worker)
    if (siblings.length === 0) return false
    return !siblings.some(({ id }) => zoneEngines.has(id) && interruptsEngine(this.ordersInProgress.get(id) ?? 'load_model'))
  }
}
