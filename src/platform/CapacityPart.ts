/**
 * The part of a host that orders workers: measures the demand of this host, and, while the host holds the duty, plans the
 * workers of the services that the operators allow to grow and shrink.
 */
import { CapacityTask, type CountedWorker, OccupancyMeter, type OccupiedWorker, type PoolDemand, type ScaledPool } from '../capacity/index.js'
import type { Clock, Pool } from '../common/index.js'
import type { DutyPlatform } from '../duties/index.js'
import type { GroupLease } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import type { UpstreamManager } from '../upstreams/index.js'
import type { PlatformDirectory } from './PlatformDirectory.js'

/** Options of a `CapacityPart`. */
export interface CapacityPartOptions {
  directory: Pick<PlatformDirectory, 'routes' | 'workerEntries'>
  upstreams: Pick<UpstreamManager, 'view'>
  lease: GroupLease
  /** Share of the engines that compute prompts. */
  prefillShare: number
  /** Demand of all hosts. */
  demandOf: (pool: Pool) => PoolDemand | undefined
  platform: DutyPlatform
  clock: Clock
  events: EventLog
}

/**
 * Prompts in progress for each engine that computes them. An engine computes one at a time; half of its time is kept for
 * bursts, and for the engines of a zone that may be taken away.
 */
const promptsPerEngine = 0.5

/** Share of a worker's slots that requests in progress take, so that the steps of streams stay short. */
const usedSlotShare = 0.25

/** Owns the meter and the task. */
export class CapacityPart {
  private readonly meter: OccupancyMeter
  private readonly task: CapacityTask

  constructor (private readonly options: CapacityPartOptions) {
    const { clock, events, lease, demandOf, platform } = options
    this.meter = new OccupancyMeter({ clock, events, workers: () => this.occupiedWorkers() })
    this.task = new CapacityTask({ clock, events, lease, demandOf, platform, pools: () => this.scaledPools() })
  }

  /** True if the configuration lets some service grow and shrink. */
  get isNeeded (): boolean {
    return this.options.directory.routes?.configuration.services.some(({ scaling }) => scaling !== undefined) === true
  }

  /** Demand of this host since the previous call. */
  takeDemand (): Map<Pool, PoolDemand> {
    return this.meter.take()
  }

  start (): void {
    this.meter.start()
    this.task.start()
  }

  async stop (): Promise<void> {
    await this.task.stop()
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
      const slots = Math.min(...members.map(member => member.slots))
      if (members.length === 0) return []
      return [{
        pool,
        scaling,
        throughput: {
          promptsPerWorker: promptsPerEngine,
          answersPerWorker: Math.max(1, slots * usedSlotShare),
          promptShare: models.length > 0 ? this.options.prefillShare : 0
        },
        workers: members.map(({ zone, spot, leaving }): CountedWorker => ({ zone, kind: spot ? 'spot' : 'standard', leaving }))
      }]
    })
  }
}
