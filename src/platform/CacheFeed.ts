/**
 * Follows the cache events of the workers of the cells that this host schedules, so that the scheduler knows which
 * worker holds which shared parts. Events arrive late and a few are lost; what is wrong is corrected by later events.
 */
import { type Clock, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { HeldParts } from '../placement/index.js'
import type { Upstream } from '../upstreams/index.js'
import { CacheEventReader, type CacheEvents } from './CacheEventReader.js'

/** Options of a `CacheFeed`. */
export interface CacheFeedOptions {
  /** Workers whose events are followed at the moment; empty if this host schedules no prompts. */
  workers: () => readonly Upstream[]
  held: HeldParts
  clock: Clock
  events: EventLog
}

/** Pause between two reads of a worker's events, in milliseconds. Reads that wait less than 200 ms are charged. */
const readIntervalMilliseconds = 300

/** Number of characters that are logged of the reason for an unread response, which may quote the response. */
const maxReasonLength = 200

/** Interval of the checks which workers have to be followed, in milliseconds. */
const reconcileMilliseconds = 500

/** Follows the events of all workers of this host's cells. */
export class CacheFeed {
  private readonly tasks = new Map<Upstream, Task>()
  private task: Task | undefined

  constructor (private readonly options: CacheFeedOptions) {}

  start (): void {
    this.task ??= Task.start(signal => this.reconcileRepeatedly(signal), error => {
      this.options.events.error('cache_feed_ended', { reason: String(error) })
    })
  }

  async stop (): Promise<void> {
    await this.task?.stop()
    await Promise.all([...this.tasks.values()].map(async task => await task.stop()))
    this.tasks.clear()
  }

  private async reconcileRepeatedly (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const wanted = new Set(this.options.workers())
      for (const [worker, task] of this.tasks) {
        if (wanted.has(worker)) continue
        this.tasks.delete(worker)
        await task.stop()
      }
      for (const worker of wanted) if (!this.tasks.has(worker)) this.tasks.set(worker, this.follow(worker))
      await this.options.clock.sleep(reconcileMilliseconds, signal)
    }
  }

  private follow (worker: Upstream): Task {
    const { clock, events } = this.options
    return Task.start(async signal => {
      const reader = new CacheEventReader(worker)
      let lastReason: string | undefined
      while (!signal.aborted) {
        const read = await reader.read(signal)
        if (read.isOk) this.apply(worker, read.value)
        const reason = read.isErr ? read.error.slice(0, maxReasonLength) : undefined
        if (reason !== undefined && reason !== lastReason && !signal.aborted) {
          events.warn('cache_events_unread', { worker: worker.id, reason })
        }
        lastReason = reason
        await clock.sleep(readIntervalMilliseconds, signal)
      }
      reader.close()
    }, error => { events.error('cache_feed_ended', { worker: worker.id, reason: String(error) }) })
  }

  private apply ({ id }: Upstream, { isContinuous, events }: CacheEvents): void {
    const { held } = this.options
    if (!isContinuous) held.removeWorker(id)
    for (const { part, model, tokens } of events) held.record(id, `${model}/${part}`, tokens)
  }
}
