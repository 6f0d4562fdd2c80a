/**
 * Appends the usage batches of a zone to the log's stream `use` once a second. Each append has as many whole batches as
 * the record limit allows, so that the number of appends does not depend on the number of hosts that submit batches. A
 * batch is kept until the log has acknowledged its append. Repeating an append whose response was lost is harmless,
 * because the ledger counts a batch once by its identity.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, newRecordId, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { LogClient } from '../clients/index.js'
import { currentRecordVersion } from '../streams/index.js'
import type { UsageBatch } from './UsageRecord.js'

/** Options of a `UsageAppender`. */
export interface UsageAppenderOptions {
  log: LogClient
  clock: Clock
  events: EventLog
  /** Time between two rounds of appends; default 1000. */
  appendMilliseconds?: number
  /**
   * Maximum number of usage records that wait for the log; default 1,000,000. A batch that would exceed the limit fails
   * with `overloaded`.
   */
  maxKeptRecords?: number
  /** Maximum number of usage records in one log record; default 2000, about 400 KB. */
  maxRecordsPerAppend?: number
}

interface WaitingBatch {
  batch: UsageBatch
  /** Resolve the promises of the `add` calls for this batch. */
  resolvers: Array<(stored: Result<void, Failure>) => void>
}

function stoppedResult<Value> (): Result<Value, Failure> {
  return Result.err(failure('platform_unavailable', 'the host stopped before the usage batch was appended'))
}

/** Keeps the batches of a zone until they are in the log, and appends them. */
export class UsageAppender {
  private readonly waiting = new Map<string, WaitingBatch>()
  private keptRecords = 0
  private task: Task | undefined
  private isAppending = false
  private isStopped = false

  constructor (private readonly options: UsageAppenderOptions) {}

  /** Number of batches that are not yet in the log. */
  get waitingBatchCount (): number {
    return this.waiting.size
  }

  /** Starts the periodic appends. */
  start (): void {
    this.task ??= Task.start(
      signal => this.appendRepeatedly(signal),
      error => this.options.events.error('usage_appender_ended', { reason: String(error) })
    )
  }

  /** Stops the periodic appends. Calls of `add` whose batch is not yet in the log end with `platform_unavailable`. */
  async stop (): Promise<void> {
    this.isStopped = true
    await this.task?.stop()
    this.task = undefined
    for (const { resolvers } of this.waiting.values()) resolvers.forEach(resolve => resolve(stoppedResult<void>()))
    this.waiting.clear()
  }

  /**
   * Adds a batch and resolves once it is in the log. Errors: `overloaded` (too many records wait),
   * `platform_unavailable` (the appender was stopped).
   */
  add (batch: UsageBatch): Promise<Result<void, Failure>> {
    return new Promise(resolve => {
      const admitted = this.isStopped ? stoppedResult<WaitingBatch>() : this.admit(batch)
      if (admitted.isErr) resolve(Result.err(admitted.error))
      else admitted.value.resolvers.push(resolve)
    })
  }

  /**
   * Adds a batch without waiting for its append, for a host that is about to stop: this host keeps the batch until it is
   * in the log. Errors: `overloaded`.
   */
  enqueue (batch: UsageBatch): Result<void, Failure> {
    return this.admit(batch).map(() => undefined)
  }

  /** Appends all waiting batches; returns false if the signal aborted before all were acknowledged. */
  async flush (signal: AbortSignal): Promise<boolean> {
    while (this.waiting.size > 0 && !signal.aborted) {
      if (!this.isAppending && await this.appendOnce()) continue
      await this.options.clock.sleep(this.appendInterval, signal)
    }
    return this.waiting.size === 0
  }

  /** The batches that are not yet in the log, so that another host can take them over. */
  listWaitingBatches (): UsageBatch[] {
    return [...this.waiting.values()].map(({ batch }) => batch)
  }

  private get appendInterval (): number {
    return this.options.appendMilliseconds ?? 1000
  }

  private admit (batch: UsageBatch): Result<WaitingBatch, Failure> {
    const key = `${batch.hostId}/${batch.incarnation}/${batch.sequence}`
    const existing = this.waiting.get(key)
    if (existing !== undefined) return Result.ok(existing)
    if (this.keptRecords + batch.records.length > (this.options.maxKeptRecords ?? 1_000_000)) {
      return Result.err(failure('overloaded', 'too many usage records wait for the log'))
    }
    const entry: WaitingBatch = { batch, resolvers: [] }
    this.waiting.set(key, entry)
    this.keptRecords += batch.records.length
    return Result.ok(entry)
  }

  private async appendRepeatedly (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(this.appendInterval, signal)
      let acknowledged = true
      while (acknowledged && !signal.aborted && this.waiting.size > 0 && !this.isAppending) acknowledged = await this.appendOnce()
    }
  }

  /** Appends one log record with the oldest whole batches that fit; returns true if the log acknowledged it. */
  private async appendOnce (): Promise<boolean> {
    this.isAppending = true
    try {
      const chosen = this.chooseBatches()
      const batches = chosen.map(([, { batch }]) => batch)
      const value = JSON.stringify({ version: currentRecordVersion, kind: 'use', id: newRecordId(), batches })
      const appended = await this.options.log.append('use', [value])
      if (appended.isErr) {
        this.options.events.debug('usage_append_failed', { kind: appended.error.kind, batches: batches.length })
        return false
      }
      for (const [key, { batch, resolvers }] of chosen) {
        this.waiting.delete(key)
        this.keptRecords -= batch.records.length
        resolvers.forEach(resolve => resolve(Result.ok(undefined)))
      }
      return true
    } finally {
      this.isAppending = false
    }
  }

  private chooseBatches (): Array<[string, WaitingBatch]> {
    const limit = this.options.maxRecordsPerAppend ?? 2000
    const chosen: Array<[string, WaitingBatch]> = []
    let records = 0
    for (const entry of this.waiting) {
      if (chosen.length > 0 && records + entry[1].batch.records.length > limit) break
      chosen.push(entry)
      records += entry[1].batch.records.length
    }
    return chosen
  }
}
