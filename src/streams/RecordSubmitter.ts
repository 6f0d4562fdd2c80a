/**
 * Appends records and waits until the host's own fold has applied them. The record's id finds the record
 * again when the log's answer was lost.
 */
import { Result } from 'true-myth'
import { ChangeNotifier, type Clock, failure, type Failure, newRecordId, type Offset } from '../common/index.js'
import type { LogClient, StreamName } from '../clients/index.js'
import type { NewRecord, SubmittedRecord } from './RecordWriter.js'
import { type ApplyOutcome, currentRecordVersion } from './StreamFold.js'
import type { StreamReplica } from './StreamReplica.js'

/** Options of a `RecordSubmitter`. */
export interface RecordSubmitterOptions {
  stream: StreamName
  log: LogClient
  clock: Clock
  /** Time from the append until the record must have come back, in milliseconds. */
  applyTimeoutMilliseconds: number
}

interface Applied { offset: Offset, outcome: ApplyOutcome }

/** Writes to one stream. */
export class RecordSubmitter {
  private readonly waiting = new Map<string, { applied?: Applied }>()
  private readonly arrivals = new ChangeNotifier()

  constructor (private readonly options: RecordSubmitterOptions) {}

  /** Has to be called for each record that reached the fold. */
  noteApplied (id: string, applied: Applied): void {
    const entry = this.waiting.get(id)
    if (entry === undefined) return
    entry.applied = applied
    this.arrivals.notify()
  }

  /** Appends a record; see `RecordWriter.submit`. */
  async submit (replica: StreamReplica, record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    const obstacle = replica.writeObstacle
    if (obstacle !== undefined) return Result.err(obstacle)
    const id = record.id ?? newRecordId()
    const entry: { applied?: Applied } = {}
    this.waiting.set(id, entry)
    try {
      const sentAt = this.options.clock.monotonic()
      const value = JSON.stringify({ ...record, version: currentRecordVersion, id })
      const appended = await this.options.log.append(this.options.stream, [value])
      if (appended.isErr && isNotAppended(appended.error)) return Result.err(failure('platform_unavailable', appended.error.message))
      await this.waitForRecord(replica, entry, appended.isOk ? appended.value : undefined)
      if (entry.applied !== undefined) return Result.ok({ id, sentAt, ...entry.applied })
      return Result.err(failure('outcome_unknown', 'the record has not come back yet', { recordId: id }))
    } finally {
      this.waiting.delete(id)
    }
  }

  /** Ends when the record was applied, when the fold passed it without applying it, or at the time limit. */
  private async waitForRecord (replica: StreamReplica, entry: { applied?: Applied }, offset: Offset | undefined): Promise<void> {
    const { clock, applyTimeoutMilliseconds } = this.options
    // A snapshot can take the fold past the record; its outcome is then no longer known.
    const hasPassed = (): boolean => offset !== undefined && replica.through >= offset
    const unsubscribe = replica.changes.subscribe(() => this.arrivals.notify())
    await this.arrivals.waitAtMost(applyTimeoutMilliseconds, clock, () => entry.applied !== undefined || hasPassed())
    unsubscribe()
  }
}

function isNotAppended (error: Failure): boolean {
  return error.kind === 'platform_unavailable' || error.kind === 'overloaded'
}
