/**
 * Runs the role planner on the holder of the zone's planner lease and carries out the role changes that it plans. While
 * no host holds the lease, roles stay as they are and only routing adapts to the mix of prompt and output tokens.
 */
import type { Result } from 'true-myth'
import { type Clock, type Failure, failureOf, Task, type WorkerId } from '../common/index.js'
import type { EngineRole } from '../configuration/index.js'
import type { EventLog } from '../observability/index.js'
import type { DemandCollector, EngineCapacity, PlannedEngine, RoleChange, RolePlanner } from '../roles/index.js'

/** An engine of the zone as the request path sees it; `RolePlannerTask` adds the fields that are missing here. */
export type ObservedEngine = Omit<PlannedEngine, 'roleSince' | 'isBeingReplaced'>

/** Carries out role changes. */
export interface RoleChanger {
  /** Changes the role of an engine and resolves with the result when the change has ended. */
  changeRole: (
    worker: WorkerId,
    role: EngineRole,
    options: { drainLimitMilliseconds: number }
  ) => Promise<Result<{ result: string }, Failure>>
}

/** Options of a `RolePlannerTask`. Times are in milliseconds. */
export interface RolePlannerTaskOptions {
  clock: Clock
  events: EventLog
  planner: RolePlanner
  demand: DemandCollector
  capacity: EngineCapacity
  orders: RoleChanger
  /** Returns the engines of the zone that are serving at the time of the call. */
  engines: () => ObservedEngine[]
  /** True while this host holds the zone's planner lease. */
  hasAuthority: () => boolean
  /** Called after each change that ended with the result `done`. */
  onChanged?: (change: RoleChange) => void
  /** Interval between plans. Default: 1,000. */
  intervalMilliseconds?: number
  /** Maximum wait for running streams; the change is abandoned if streams are still running after it. Default: 60,000. */
  drainLimitMilliseconds?: number
}

/** Plans the roles of one zone's engines and carries out the changes. */
export class RolePlannerTask {
  private readonly roleSince = new Map<WorkerId, { role: PlannedEngine['role'], at: number }>()
  private readonly changingEngines = new Set<WorkerId>()
  private task: Task | undefined

  constructor (private readonly options: RolePlannerTaskOptions) {}

  /** Starts planning. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('role_duty_failed', { reason: failureOf(error).message })
    })
  }

  /** Stops planning. Does not wait for changes in progress. */
  async stop (): Promise<void> {
    await this.task?.stop()
    this.task = undefined
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock, intervalMilliseconds = 1000 } = this.options
    while (!signal.aborted) {
      await clock.sleep(intervalMilliseconds, signal)
      const engines = this.observe()
      if (signal.aborted || !this.options.hasAuthority()) continue
      const { planner, demand, capacity } = this.options
      const changes = planner.plan({ now: clock.monotonic(), engines, demand: demand.total(), capacity })
      for (const change of changes) this.startChange(change)
    }
  }

  /**
   * Returns the engines with the time since which each has its current role. Called even while this host does not hold
   * the lease, so that the times are known when it acquires the lease.
   */
  private observe (): PlannedEngine[] {
    const now = this.options.clock.monotonic()
    return this.options.engines().map(engine => {
      const previous = this.roleSince.get(engine.worker)
      const since = previous?.role === engine.role ? previous : { role: engine.role, at: now }
      this.roleSince.set(engine.worker, since)
      return {
        ...engine,
        unavailable: engine.unavailable || this.changingEngines.has(engine.worker),
        roleSince: since.at,
        isBeingReplaced: false
      }
    })
  }

  /** Starts a change without waiting for it, since it takes seconds. The planner sees the engine as unavailable meanwhile. */
  private startChange (change: RoleChange): void {
    this.changingEngines.add(change.worker)
    this.execute(change)
      .catch(caught => this.options.events.error('role_change_failed', { engine: change.worker, reason: failureOf(caught).message }))
      .finally(() => { this.changingEngines.delete(change.worker) })
  }

  private async execute (change: RoleChange): Promise<void> {
    const { events, orders, drainLimitMilliseconds = 60_000 } = this.options
    const { worker, from, to, reason } = change
    events.info('role_change_started', { engine: worker, from, to, reason })
    const outcome = await orders.changeRole(worker, to, { drainLimitMilliseconds })
    if (outcome.isErr) {
      events.warn('role_change_refused', { engine: worker, kind: outcome.error.kind, reason: outcome.error.message })
      return
    }
    events.info('role_changed', { engine: worker, from, to, kind: outcome.value.result })
    if (outcome.value.result === 'done') this.options.onChanged?.(change)
  }
}
