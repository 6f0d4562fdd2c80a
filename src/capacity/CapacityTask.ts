/**
 * Orders workers while this host holds the duty: plans the numbers of each pool once a second, and gives an order only
 * right after the store has confirmed the host's authority.
 */
import { type Clock, type Pool, Task } from '../common/index.js'
import { CallHold, type DutyPlatform } from '../duties/index.js'
import type { GroupLease } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import { CapacityPlanner } from './CapacityPlanner.js'
import type { CountedWorker, PoolDemand, PoolScaling, WorkerOrder } from './WorkerOrder.js'
import type { WorkerThroughput } from './WorkerTarget.js'

/** Interval between plans, in milliseconds. */
const planMilliseconds = 1000

/** Interval of the log lines about the workers and the demand of a pool, in milliseconds. */
const stateLogMilliseconds = 5000

/** A pool that the operators allow to grow and shrink. */
export interface ScaledPool {
  pool: Pool
  scaling: PoolScaling
  throughput: WorkerThroughput
  workers: CountedWorker[]
}

/** Options of a `CapacityTask`. */
export interface CapacityTaskOptions {
  clock: Clock
  events: EventLog
  lease: Pick<GroupLease, 'authority' | 'confirmedAuthority' | 'handleRefusal'>
  pools: () => ScaledPool[]
  demandOf: (pool: Pool) => PoolDemand | undefined
  platform: Pick<DutyPlatform, 'orderWorkers'>
  /** Time for which calls with a greater fencing number wait after one with an unknown outcome. Default: 3 s. */
  holdMilliseconds?: number
}

/** Plans and orders on the holder of the duty. */
export class CapacityTask {
  /** Planners since this host gained the duty. */
  private readonly planners = new Map<Pool, CapacityPlanner>()
  private readonly hold: CallHold
  private stateLoggedAt = -Infinity
  private task: Task | undefined

  constructor (private readonly options: CapacityTaskOptions) {
    this.hold = new CallHold(options.clock, options.holdMilliseconds)
  }

  start (): void {
    const { clock, events } = this.options
    this.task ??= Task.start(async signal => {
      while (!signal.aborted) {
        await clock.sleep(planMilliseconds, signal)
        if (!signal.aborted) await this.runOnce(signal)
      }
    }, error => { events.error('capacity_task_ended', { reason: String(error) }) })
  }

  async stop (): Promise<void> {
    await this.task?.stop()
  }

  /** Plans once and gives the orders that are due. */
  async runOnce (signal?: AbortSignal): Promise<void> {
    const { lease, pools, demandOf, clock } = this.options
    // What a former holder ordered is unknown, so a new holder begins with what it counts.
    if (lease.authority() === undefined) return this.planners.clear()
    this.logState()
    for (const { pool, scaling, throughput, workers } of pools()) {
      const planner = this.planners.get(pool) ?? new CapacityPlanner(pool, throughput)
      this.planners.set(pool, planner)
      for (const order of planner.plan({ now: clock.monotonic(), workers, demand: demandOf(pool), scaling })) {
        if (signal?.aborted === true || !await this.give(order, planner)) return
      }
    }
  }

  /** Logs what the plans start from, also while no order is due. */
  private logState (): void {
    const { clock, events, pools, demandOf } = this.options
    const now = clock.monotonic()
    if (now - this.stateLoggedAt < stateLogMilliseconds) return
    this.stateLoggedAt = now
    for (const { pool, workers } of pools()) {
      const serving = workers.filter(({ leaving }) => !leaving)
      const demand = demandOf(pool)
      events.info('capacity_state', {
        pool,
        workers: [...countBy(serving, ({ zone, kind }) => `${zone}/${kind}`)].map(([group, count]) => `${group}=${count}`).join(','),
        open_prompts: demand === undefined ? undefined : Math.round(demand.openPrompts * 10) / 10,
        open_answers: demand === undefined ? undefined : Math.round(demand.openAnswers * 10) / 10
      })
    }
  }

  /** Gives an order. Returns false if this host has lost its authority. */
  private async give (order: WorkerOrder, planner: CapacityPlanner): Promise<boolean> {
    const { lease, platform, events, clock } = this.options
    const { pool, zone, kind, desired, before, reason } = order
    if (this.hold.holds(lease.authority())) {
      planner.recordFailure(zone, kind)
      return true
    }
    const fencingNumber = await lease.confirmedAuthority()
    if (fencingNumber === undefined) {
      planner.recordFailure(zone, kind)
      return false
    }
    const given = await platform.orderWorkers({ pool, zone, kind, desired }, fencingNumber)
    const outcome = given.isOk ? 'accepted' : given.error.kind
    events.info('workers_ordered', { pool, zone, kind, desired, before, fencing: fencingNumber, outcome, reason })
    if (given.isOk) return true
    const { kind: errorKind, detail } = given.error
    if (errorKind === 'lost_authority') {
      lease.handleRefusal(fencingNumber)
      return false
    }
    if (errorKind === 'conflict' && detail?.isUnavailable !== true && await lease.confirmedAuthority() === undefined) {
      // A store that does not answer shows nothing about the reason, and the authority goes on.
      planner.recordFailure(zone, kind)
      return lease.authority() !== undefined
    }
    if (errorKind === 'outcome_unknown') this.hold.recordUnknown(fencingNumber)
    if (errorKind === 'conflict' || errorKind === 'bad_request') planner.recordUnavailable(zone, kind, clock.monotonic())
    else planner.recordFailure(zone, kind)
    return true
  }
}

function countBy<Item> (items: readonly Item[], groupOf: (item: Item) => string): Map<string, number> {
  const counts = new Map<string, number>()
  for (const item of items) counts.set(groupOf(item), (counts.get(groupOf(item)) ?? 0) + 1)
  return counts
}
