/**
 * Owns the usage records of this host from the end of a request until the sink has acknowledged them.
 */
import { type Clock, type HostId, type Incarnation, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { UsageBatch, UsageRecord } from './UsageRecord.js'
import type { UsageSink } from './UsageSink.js'

/** Options of a `UsageManager`. */
export interface UsageManagerOptions {
  hostId: HostId
  incarnation: Incarnation
  sink: UsageSink
  clock: Clock
  events: EventLog
  /** Called with each record, e.g. to measure demand. */
  onRecord?: (record: UsageRecord) => void
  /** Time between two hand-overs; default 1000. */
  flushMilliseconds?: number
  /** Records in one batch at most; default 1000. */
  maxBatchRecords?: number
  /** Records kept at most while the sink does not acknowledge; default 1,000,000. Later ones are lost and counted. */
  maxKeptRecords?: number
}

const retryMilliseconds = 500

/** The usage records that were not acknowledged yet. */
export class UsageManager {
  private pending: UsageRecord[] = []
  private readonly batches: UsageBatch[] = []
  private sequence = 0
  private kept = 0
  private lost = 0
  private task: Task | undefined
  private submitting: Promise<boolean> | undefined

  constructor (private readonly options: UsageManagerOptions) {}

  /** Records that wait for their acknowledgement. */
  get keptRecords (): number {
    return this.kept
  }

  /** Records that were lost because the limit was reached. */
  get lostRecords (): number {
    return this.lost
  }

  /** Starts handing records over. */
  start (): void {
    this.task ??= Task.start(
      signal => this.handOver(signal),
      error => this.options.events.error('usage_task_ended', { reason: String(error) })
    )
  }

  /** Stops handing records over. */
  async stop (): Promise<void> {
    await this.task?.stop()
    this.task = undefined
  }

  /** Adds the record of a request that has ended. */
  record (record: UsageRecord): void {
    this.options.onRecord?.(record)
    if (this.kept >= (this.options.maxKeptRecords ?? 1_000_000)) {
      this.lost += 1
      if (this.lost === 1) this.options.events.error('usage_lost', { request: record.requestId, reason: 'too many records wait' })
      return
    }
    this.kept += 1
    this.pending.push(record)
  }

  /** Hands everything over; returns false if the signal aborted before all was acknowledged. */
  async flush (signal: AbortSignal): Promise<boolean> {
    // A batch can wait for its acknowledgement as long as the log is out.
    const aborted = new Promise<false>(resolve => {
      signal.addEventListener('abort', () => resolve(false), { once: true })
    })
    while (!signal.aborted) {
      if (this.kept === 0) return true
      if (await Promise.race([this.submitOldest(), aborted])) continue
      await this.options.clock.sleep(retryMilliseconds, signal)
    }
    return this.kept === 0
  }

  private async handOver (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(this.options.flushMilliseconds ?? 1000, signal)
      while (!signal.aborted && this.kept > 0 && await this.submitOldest()) { /* goes on with the next batch */ }
    }
  }

  /** Hands the oldest batch over, one at a time, so that batches arrive in order. True if it was acknowledged. */
  private async submitOldest (): Promise<boolean> {
    if (this.submitting !== undefined) return await this.submitting
    this.submitting = this.submitOne()
    try {
      return await this.submitting
    } finally {
      this.submitting = undefined
    }
  }

  private async submitOne (): Promise<boolean> {
    if (this.batches.length === 0) this.makeBatches()
    const batch = this.batches[0]
    if (batch === undefined) return true
    const answer = await this.options.sink.submit(batch)
    if (answer.isErr) {
      this.options.events.debug('usage_batch_not_stored', { sequence: batch.sequence, kind: answer.error.kind })
      return false
    }
    this.batches.shift()
    this.kept -= batch.records.length
    return true
  }

  /** A batch never changes once it has its identity, so that a repeated hand-over counts once. */
  private makeBatches (): void {
    const { hostId, incarnation, maxBatchRecords = 1000 } = this.options
    const pending = this.pending
    this.pending = []
    for (let from = 0; from < pending.length; from += maxBatchRecords) {
      this.sequence += 1
      const records = pending.slice(from, from + maxBatchRecords)
      this.batches.push({ hostId, incarnation, sequence: this.sequence, records })
    }
  }
}
