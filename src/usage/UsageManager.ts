/**
 * Keeps the usage records of this host from the end of a request until the sink has acknowledged them.
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
  /** Time between two rounds of submitting; default 1000. */
  flushMilliseconds?: number
  /** Maximum number of records in a batch; default 1000. */
  maxBatchRecords?: number
  /**
   * Maximum number of records kept until the sink acknowledges them; default 1,000,000. Records above the limit are
   * dropped and counted as lost.
   */
  maxKeptRecords?: number
}

/** Delay before `flush` repeats a failed submit. */
const retryMilliseconds = 500

/** Keeps the unacknowledged usage records, forms batches and submits them to the sink. */
export class UsageManager {
  private unbatched: UsageRecord[] = []
  private readonly batches: UsageBatch[] = []
  private sequence = 0
  private keptCount = 0
  private lostCount = 0
  private task: Task | undefined
  private submitting: Promise<boolean> | undefined

  constructor (private readonly options: UsageManagerOptions) {}

  /** Number of records that the sink has not acknowledged yet. */
  get keptRecords (): number {
    return this.keptCount
  }

  /** Number of records that were dropped because the limit was reached. */
  get lostRecords (): number {
    return this.lostCount
  }

  /** Starts submitting batches periodically. */
  start (): void {
    this.task ??= Task.start(
      signal => this.submitPeriodically(signal),
      error => this.options.events.error('usage_task_ended', { reason: String(error) })
    )
  }

  /** Stops the periodic submitting; unacknowledged records are kept. */
  async stop (): Promise<void> {
    await this.task?.stop()
    this.task = undefined
  }

  /** Adds the record of a request that has ended. */
  record (record: UsageRecord): void {
    this.options.onRecord?.(record)
    if (this.keptCount >= (this.options.maxKeptRecords ?? 1_000_000)) {
      this.lostCount += 1
      if (this.lostCount === 1) this.options.events.error('usage_lost', { request: record.requestId, reason: 'too many records wait' })
      return
    }
    this.keptCount += 1
    this.unbatched.push(record)
  }

  /** Submits all records; returns false if the signal aborted before the sink acknowledged all of them. */
  async flush (signal: AbortSignal): Promise<boolean> {
    // During an outage of the log, a submit can stay unacknowledged for the whole outage, so the abort must end the wait.
    const aborted = new Promise<false>(resolve => {
      signal.addEventListener('abort', () => resolve(false), { once: true })
    })
    while (!signal.aborted) {
      if (this.keptCount === 0) return true
      if (await Promise.race([this.submitOldest(), aborted])) continue
      await this.options.clock.sleep(retryMilliseconds, signal)
    }
    return this.keptCount === 0
  }

  private async submitPeriodically (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(this.options.flushMilliseconds ?? 1000, signal)
      while (!signal.aborted && this.keptCount > 0 && await this.submitOldest()) { /* The condition submits the next batch. */ }
    }
  }

  /**
   * Submits the oldest batch. Only one submit runs at a time, so that batches arrive in order; a call during a submit
   * waits for that one. Returns true if the sink acknowledged the batch.
   */
  private async submitOldest (): Promise<boolean> {
    if (this.submitting !== undefined) return await this.submitting
    this.submitting = this.submitFirstBatch()
    try {
      return await this.submitting
    } finally {
      this.submitting = undefined
    }
  }

  private async submitFirstBatch (): Promise<boolean> {
    if (this.batches.length === 0) this.formBatches()
    const batch = this.batches[0]
    if (batch === undefined) return true
    const submitted = await this.options.sink.submit(batch)
    if (submitted.isErr) {
      this.options.events.debug('usage_batch_not_stored', { sequence: batch.sequence, kind: submitted.error.kind })
      return false
    }
    this.batches.shift()
    this.keptCount -= batch.records.length
    return true
  }

  /** Forms batches with sequence numbers. A batch never changes afterwards, so that it counts once if submitted again. */
  private formBatches (): void {
    const { hostId, incarnation, maxBatchRecords = 1000 } = this.options
    const unbatched = this.unbatched
    this.unbatched = []
    for (let start = 0; start < unbatched.length; start += maxBatchRecords) {
      this.sequence += 1
      const records = unbatched.slice(start, start + maxBatchRecords)
      this.batches.push({ hostId, incarnation, sequence: this.sequence, records })
    }
  }
}
