/**
 * Measures how many requests of this host are in progress at the workers of each pool, on average between two reports.
 * The average number in progress is the arrival rate times the time that requests take, so it tells demand also when
 * workers are overloaded and answer late. Prompts that are refused for lack of workers are never in progress, so they are
 * counted beside it: otherwise a pool that is too small would seem to need even less.
 */
import { type Clock, type Pool, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { OpenWork } from '../duties/index.js'

/** Interval between two counts, in milliseconds. */
const sampleMilliseconds = 100

/** A worker with the requests of this host in progress there. */
export interface OccupiedWorker { pool: Pool, computesPrompts: boolean, openRequests: number }

/** Average work of a host, and prompts a second. */
export interface MeasuredDemand extends OpenWork { computedPrompts: number, refusedPrompts: number }

/** Options of an `OccupancyMeter`. */
export interface OccupancyMeterOptions {
  clock: Clock
  events: EventLog
  /** The workers of the pools whose demand is measured. */
  workers: () => Iterable<OccupiedWorker>
}

/** Counts the requests in progress repeatedly. */
export class OccupancyMeter {
  private sums = new Map<Pool, OpenWork>()
  private prompts = new Map<Pool, { computed: number, refused: number }>()
  private samples = 0
  private task: Task | undefined

  constructor (private readonly options: OccupancyMeterOptions) {}

  start (): void {
    const { clock, events } = this.options
    this.task ??= Task.start(async signal => {
      while (!signal.aborted) {
        await clock.sleep(sampleMilliseconds, signal)
        this.sample()
      }
    }, error => { events.error('occupancy_meter_ended', { reason: String(error) }) })
  }

  async stop (): Promise<void> {
    await this.task?.stop()
  }

  /** Counts the requests in progress once. */
  sample (): void {
    this.samples += 1
    for (const { pool, computesPrompts, openRequests } of this.options.workers()) {
      const sum = this.sums.get(pool) ?? { openPrompts: 0, openAnswers: 0 }
      if (computesPrompts) sum.openPrompts += openRequests
      else sum.openAnswers += openRequests
      this.sums.set(pool, sum)
    }
  }

  /** Records that a prompt was computed, or refused because no worker could compute it before its caller gives up. */
  recordPrompt (pool: Pool, outcome: 'computed' | 'refused'): void {
    const counts = this.prompts.get(pool) ?? { computed: 0, refused: 0 }
    counts[outcome] += 1
    this.prompts.set(pool, counts)
  }

  /** The averages since the previous call. */
  take (): Map<Pool, MeasuredDemand> {
    const { sums, prompts } = this
    const samples = Math.max(1, this.samples)
    const seconds = samples * sampleMilliseconds / 1000
    this.sums = new Map()
    this.prompts = new Map()
    this.samples = 0
    return new Map([...new Set([...sums.keys(), ...prompts.keys()])].map(pool => {
      const { openPrompts, openAnswers } = sums.get(pool) ?? { openPrompts: 0, openAnswers: 0 }
      const { computed, refused } = prompts.get(pool) ?? { computed: 0, refused: 0 }
      return [pool, {
        openPrompts: openPrompts / samples,
        openAnswers: openAnswers / samples,
        computedPrompts: computed / seconds,
        refusedPrompts: refused / seconds
      }]
    }))
  }
}
