/**
 * Appends records to one stream and waits until this host's projection has applied them. Records are matched by id, so
 * a record is also recognized when the log's response to the append was lost.
 */
import { Result } from 'true-myth'
import { ChangeNotifier, type Clock, failure, type Failure, newRecordId, type Offset } from '../common/index.js'
import type { LogClient, StreamName } from '../clients/index.js'
import type { NewRecord, SubmittedRecord } from './RecordWriter.js'
import { type ApplyOutcome, currentRecordVersion } from './StreamProjection.js'
import type { StreamReplica } from './StreamReplica.js'

/** Options of a `RecordSubmitter`. */
export interface RecordSubmitterOptions {
  stream: StreamName
  log: LogClient
  clock: Clock
  /** Maximum wait until this host's projection has applied the record, counted from the append response, in milliseconds. */
  applyTimeoutMilliseconds: number
}

interface AppliedRecord { offset: Offset, outcome: ApplyOutcome }

/** Submits records to one stream; learns through `markApplied` which records the projection has applied. */
export class RecordSubmitter {
  /** Records whose `submit` is in progress, by record id. */
  private readonly pending = new Map<string, { appliedRecord?: AppliedRecord }>()
  /** Notified when a pending record was applied and when the replica changed. */
  private readonly progress = new ChangeNotifier()

  constructor (private readonly options: RecordSubmitterOptions) {}

  /** Must be called for every record that was passed to the projection; ignores those that no `submit` waits for. */
  markApplied (id: string, appliedRecord: AppliedRecord): void {
    const entry = this.pending.get(id)
    if (entry === undefined) return
    entry.appliedRecord = appliedRecord
    this.progress.notify()
  }

  /** Appends a record; see `RecordWriter.submit`. */
  async submit (replica: StreamReplica, record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    const refusal = replica.writeRefusal
    if (refusal !== undefined) return Result.err(refusal)
    const id = record.id ?? newRecordId()
    const entry: { appliedRecord?: AppliedRecord } = {}
    this.pending.set(id, entry)
    try {
      const sentAt = this.options.clock.monotonic()
      const value = JSON.stringify({ ...record, version: currentRecordVersion, id })
      const appended = await this.options.log.append(this.options.stream, [value])
      if (appended.isErr && isNotAppended(appended.error)) return Result.err(failure('platform_unavailable', appended.error.message))
      await this.waitForRecord(replica, entry, appended.isOk ? appended.value : undefined)
      if (entry.appliedRecord !== undefined) return Result.ok({ id, sentAt, ...entry.appliedRecord })
      return Result.err(failure('outcome_unknown', 'this host did not observe the outcome of the record', { recordId: id }))
    } finally {
      this.pending.delete(id)
    }
  }

  /** Returns once the record was applied, the replica is past its offset, or the apply timeout has elapsed. */
  private async waitForRecord (
    replica: StreamReplica, entry: { appliedRecord?: AppliedRecord }, offset: Offset | undefined
  ): Promise<void> {
    const { clock, applyTimeoutMilliseconds } = this.options
    // Restoring a snapshot can move the replica past the record without applying it; its outcome then stays unknown.
    const isPastRecord = (): boolean => offset !== undefined && replica.through >= offset
    const unsubscribe = replica.changes.subscribe(() => this.progress.notify())
    await this.progress.waitUntilOrTimeout(applyTimeoutMilliseconds, clock,
      () => entry.appliedRecord !== undefined || isPastRecord())
    unsubscribe()
  }
}

function isNotAppended (error: Failure): boolean {
  return error.kind === 'platform_unavailable' || error.kind === 'overloaded'
}
