/**
 * Runs the role planner at the holder of the zone's planner lease and carries its changes out. Without
 * authority roles stay as they are, and routing alone follows the mix.
 */
import type { Result } from 'true-myth'
import { type Clock, type Failure, failureOf, Task, type WorkerId } from '../common/index.js'
import type { EngineRole } from '../configuration/index.js'
import type { EventLog } from '../observability/index.js'
import type { DemandCollector, EngineCapacity, PlannedEngine, RoleChange, RolePlanner } from '../roles/index.js'

/** An engine of the zone, as the request path sees it. */
export type ObservedEngine = Omit<PlannedEngine, 'roleSince' | 'isBeingReplaced'>

/** Carries out changes of roles. */
export interface RoleChanger {
  /** Changes the role of an engine; resolves when the change has ended. */
  changeRole: (
    worker: WorkerId,
    role: EngineRole,
    options: { drainLimitMilliseconds: number }
  ) => Promise<Result<{ result: string }, Failure>>
}

/** Options of a `RoleDuty`. Times are in milliseconds. */
export interface RoleDutyOptions {
  clock: Clock
  events: EventLog
  planner: RolePlanner
  demand: DemandCollector
  capacity: EngineCapacity
  orders: RoleChanger
  /** The engines of the zone that serve, asked anew each time. */
  engines: () => ObservedEngine[]
  hasAuthority: () => boolean
  /** Called after each change that was carried out. */
  onChanged?: (change: RoleChange) => void
  /** Time between two plans. Default: 1,000. */
  intervalMilliseconds?: number
  /** Longest wait for running streams; when it passes the change is given up. Default: 60,000. */
  drainLimitMilliseconds?: number
}

/** The planning of one zone's roles. */
export class RoleDuty {
  private readonly roleSince = new Map<WorkerId, { role: PlannedEngine['role'], at: number }>()
  private readonly changing = new Set<WorkerId>()
  private task: Task | undefined

  constructor (private readonly options: RoleDutyOptions) {}

  /** Starts to plan. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('role_duty_failed', { reason: failureOf(error).message })
    })
  }

  /** Stops to plan. */
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

  /** The engines with the time since which each has its role; also kept up without authority, for a later holder. */
  private observe (): PlannedEngine[] {
    const now = this.options.clock.monotonic()
    return this.options.engines().map(engine => {
      const known = this.roleSince.get(engine.worker)
      const since = known?.role === engine.role ? known : { role: engine.role, at: now }
      this.roleSince.set(engine.worker, since)
      return {
        ...engine,
        unavailable: engine.unavailable || this.changing.has(engine.worker),
        roleSince: since.at,
        isBeingReplaced: false
      }
    })
  }

  /** Not awaited: a change takes seconds, and the planner sees the engine as unavailable meanwhile. */
  private startChange (change: RoleChange): void {
    this.changing.add(change.worker)
    this.carryOut(change)
      .catch(caught => this.options.events.error('role_change_failed', { engine: change.worker, reason: failureOf(caught).message }))
      .finally(() => { this.changing.delete(change.worker) })
  }

  private async carryOut (change: RoleChange): Promise<void> {
    const { events, orders, drainLimitMilliseconds = 60_000 } = this.options
    const { worker, from, to, reason } = change
    events.info('role_change_started', { engine: worker, from, to, reason })
    const ended = await orders.changeRole(worker, to, { drainLimitMilliseconds })
    if (ended.isErr) {
      events.warn('role_change_refused', { engine: worker, kind: ended.error.kind, reason: ended.error.message })
      return
    }
    events.info('role_changed', { engine: worker, from, to, kind: ended.value.result })
    if (ended.value.result === 'done') this.options.onChanged?.(change)
  }
}
