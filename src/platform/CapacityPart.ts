/**
 * The part of a host that orders workers: measures the demand of this host, and, while the host holds the duty, plans the
 * workers of the services that the operators allow to grow and shrink.
 */
import { CapacityTask, type CountedWorker, OccupancyMeter, type OccupiedWorker, type ScaledPool } from '../capacity/index.js'
import type { Clock, Pool } from '../common/index.js'
import type { HostPoolDemand } from '../duties/index.js'
import type { GroupLease } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import type { UpstreamManager } from '../upstreams/index.js'
import type { DutyPart } from './DutyPart.js'
import type { PlatformDirectory } from './PlatformDirectory.js'

/** Options of a `CapacityPart`. */
export interface CapacityPartOptions {
  directory: Pick<PlatformDirectory, 'routes' | 'workerEntries'>
  upstreams: Pick<UpstreamManager, 'view'>
  lease: GroupLease
  /** Share of the engines that compute prompts. */
  prefillShare: number
  duties: Pick<DutyPart, 'board' | 'platform' | 'ordersWorkers'>
  clock: Clock
  events: EventLog
}

/**
 * Prompts in progress for each engine that computes them, on average. An engine computes one at a time, but a prompt is in
 * progress for longer than it is computed: by the time of the messages, of the fetch of its parts, and of prompts before it.
 */
const promptsPerEngine = 1.5

/** Share of a worker's slots that requests in progress take, so that the steps of streams stay short. */
const usedSlotShare = 0.25

/** Largest share of the engines that compute prompts; some have to answer. */
const maxPromptShare = 0.95

/** Owns the meter and the task. */
export class CapacityPart {
  private readonly meter: OccupancyMeter
  /** Undefined if the platform asks for no orders of workers. */
  private readonly task: CapacityTask | undefined

  constructor (private readonly options: CapacityPartOptions) {
    const { clock, events, lease, duties: { board, platform, ordersWorkers } } = options
    this.meter = new OccupancyMeter({ clock, events, workers: () => this.occupiedWorkers() })
    if (platform === undefined || !ordersWorkers) return
    this.task = new CapacityTask({
      clock, events, lease, platform, demandOf: pool => board.demandOf(pool), pools: () => this.scaledPools()
    })
  }

  /** True if the configuration lets some service grow and shrink. */
  get isNeeded (): boolean {
    return this.options.directory.routes?.configuration.services.some(({ scaling }) => scaling !== undefined) === true
  }

  /** Demand of this host since the previous call. */
  takeDemand (): HostPoolDemand[] {
    return [...this.meter.take()].map(([pool, demand]) => ({ pool, ...demand }))
  }

  /** Records the outcome of a prompt; see `OccupancyMeter.recordPrompt`. */
  recordPrompt (pool: Pool, outcome: 'computed' | 'refused'): void {
    if (this.task !== undefined && this.isNeeded) this.meter.recordPrompt(pool, outcome)
  }

  start (): void {
    if (this.task === undefined) return
    this.meter.start()
    this.task.start()
  }

  async stop (): Promise<void> {
    await this.task?.stop()
    await this.meter.stop()
  }

  private occupiedWorkers (): OccupiedWorker[] {
    if (!this.isNeeded) return []
    return this.options.upstreams.view().map(({ pool, role, outstanding }) =>
      ({ pool, computesPrompts: role === 'prefill', openRequests: outstanding }))
  }

  private scaledPools (): ScaledPool[] {
    const services = this.options.directory.routes?.configuration.services ?? []
    const entries = [...this.options.directory.workerEntries]
    return services.flatMap(({ pool, models, scaling }) => {
      if (scaling === undefined) return []
      const members = entries.filter(entry => entry.pool === pool)
      const slots = members.length === 0 ? 1 : Math.min(...members.map(member => member.slots))
      return [{
        pool,
        scaling,
        throughput: {
          promptsPerWorker: promptsPerEngine,
          answersPerWorker: Math.max(1, slots * usedSlotShare),
          promptShare: models.length > 0 ? Math.min(maxPromptShare, this.options.prefillShare) : 0
        },
        workers: members.map(({ zone, spot, leaving }): CountedWorker => ({ zone, kind: spot ? 'spot' : 'standard', leaving }))
      }]
    })
  }
}
