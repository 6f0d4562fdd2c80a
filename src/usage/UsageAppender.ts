/**
 * Appends usage batches to the log's stream `use` once a second, in as few appends as the record limit allows,
 * whatever the number of hosts that hand batches in. A batch is kept until its append was acknowledged;
 * repeating an append whose answer was lost is harmless, since a batch counts once by its identity.
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
  /** Most usage records kept while the log does not answer; default 1,000,000. Batches beyond it are refused. */
  maxKeptRecords?: number
  /** Most usage records in one log record; default 2000, about 400 KB. */
  maxRecordsPerAppend?: number
}

interface WaitingBatch {
  batch: UsageBatch
  settle: Array<(stored: Result<void, Failure>) => void>
}

function refusedAtStop<Value> (): Result<Value, Failure> {
  return Result.err(failure('platform_unavailable', 'the host stopped before the append'))
}

/** The batches of a zone on their way into the log. */
export class UsageAppender {
  private readonly waiting = new Map<string, WaitingBatch>()
  private keptRecords = 0
  private task: Task | undefined
  private appending = false
  private stopped = false

  constructor (private readonly options: UsageAppenderOptions) {}

  /** Batches that wait for the log. */
  get waitingBatches (): number {
    return this.waiting.size
  }

  /** Starts appending. */
  start (): void {
    this.task ??= Task.start(
      signal => this.appendRepeatedly(signal),
      error => this.options.events.error('usage_appender_ended', { reason: String(error) })
    )
  }

  /** Stops appending; batches that still wait get `platform_unavailable`. */
  async stop (): Promise<void> {
    this.stopped = true
    await this.task?.stop()
    this.task = undefined
    for (const { settle } of this.waiting.values()) settle.forEach(done => done(refusedAtStop<void>()))
    this.waiting.clear()
  }

  /** Resolves once the batch is in the log. Errors: `overloaded` (too much waits), `platform_unavailable` (stopped). */
  add (batch: UsageBatch): Promise<Result<void, Failure>> {
    return new Promise(resolve => {
      const admitted = this.stopped ? refusedAtStop<WaitingBatch>() : this.adopt(batch)
      if (admitted.isErr) resolve(Result.err(admitted.error))
      else admitted.value.settle.push(resolve)
    })
  }

  /** Takes a batch over for a host that is about to stop: this host keeps it until it is in the log. */
  takeCustody (batch: UsageBatch): Result<void, Failure> {
    return this.adopt(batch).map(() => undefined)
  }

  /** Appends everything that waits; returns false if the signal aborted first. */
  async flush (signal: AbortSignal): Promise<boolean> {
    while (this.waiting.size > 0 && !signal.aborted) {
      if (!this.appending && await this.appendOnce()) continue
      await this.options.clock.sleep(this.interval, signal)
    }
    return this.waiting.size === 0
  }

  /** The batches that wait, for handing them over. */
  waitingView (): UsageBatch[] {
    return [...this.waiting.values()].map(({ batch }) => batch)
  }

  private get interval (): number {
    return this.options.appendMilliseconds ?? 1000
  }

  private adopt (batch: UsageBatch): Result<WaitingBatch, Failure> {
    const key = `${batch.hostId}/${batch.incarnation}/${batch.sequence}`
    const known = this.waiting.get(key)
    if (known !== undefined) return Result.ok(known)
    if (this.keptRecords + batch.records.length > (this.options.maxKeptRecords ?? 1_000_000)) {
      return Result.err(failure('overloaded', 'too many usage records wait for the log'))
    }
    const entry: WaitingBatch = { batch, settle: [] }
    this.waiting.set(key, entry)
    this.keptRecords += batch.records.length
    return Result.ok(entry)
  }

  private async appendRepeatedly (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.options.clock.sleep(this.interval, signal)
      let mayGoOn = true
      while (mayGoOn && !signal.aborted && this.waiting.size > 0 && !this.appending) mayGoOn = await this.appendOnce()
    }
  }

  /** One append with as many whole batches as fit; true if it was acknowledged. */
  private async appendOnce (): Promise<boolean> {
    this.appending = true
    try {
      const chosen = this.chooseBatches()
      const batches = chosen.map(([, { batch }]) => batch)
      const value = JSON.stringify({ version: currentRecordVersion, kind: 'use', id: newRecordId(), batches })
      const appended = await this.options.log.append('use', [value])
      if (appended.isErr) {
        this.options.events.debug('usage_append_failed', { kind: appended.error.kind, batches: batches.length })
        return false
      }
      for (const [key, { batch, settle }] of chosen) {
        this.waiting.delete(key)
        this.keptRecords -= batch.records.length
        settle.forEach(done => done(Result.ok(undefined)))
      }
      return true
    } finally {
      this.appending = false
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
