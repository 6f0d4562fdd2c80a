/**
 * An in-memory log with projections that read it, for tests and tools that have no log service. The caller sets
 * `mode` to simulate failed appends.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, newRecordId, toOffset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import {
  type ApplyOutcome, currentRecordVersion, type NewRecord, RecordWriter, type StreamProjection, type StreamRecord,
  type SubmittedRecord
} from '../streams/index.js'

/**
 * Behaviour of appends. `outage`: the append fails. `lost_answer`: the record is appended, the outcome is reported as
 * unknown, and no projection reads the record before `deliver` is called.
 */
export type AppendMode = 'normal' | 'outage' | 'lost_answer'

/** Appends to a list and applies each record to all projections. `submit` returns the first projection's outcome. */
export class InMemoryRecordWriter extends RecordWriter {
  mode: AppendMode = 'normal'
  /** All records of the log; offsets start at 1. */
  readonly records: StreamRecord[] = []
  private deliveredCount = 0

  constructor (private readonly projections: StreamProjection[], private readonly clock: Clock) {
    super()
  }

  submit (stream: StreamName, record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    if (this.mode === 'outage') return Promise.resolve(Result.err(failure('platform_unavailable', `the append to stream "${stream}" failed: simulated outage`)))
    const id = record.id ?? newRecordId()
    const offset = toOffset(this.records.length + 1)
    // A real log also stores records as JSON text.
    const value = JSON.parse(JSON.stringify({ ...record, version: currentRecordVersion, id })) as StreamRecord['value']
    this.records.push({ offset, at: this.clock.wall(), value })
    if (this.mode === 'lost_answer') {
      return Promise.resolve(Result.err(failure('outcome_unknown', 'the response was lost', { recordId: id })))
    }
    const outcome = this.deliver() as ApplyOutcome
    return Promise.resolve(Result.ok({ id, offset, outcome, sentAt: this.clock.monotonic() }))
  }

  /** Applies all unread records to all projections. Returns the first projection's outcome of the last record. */
  deliver (): ApplyOutcome | undefined {
    let lastOutcome: ApplyOutcome | undefined
    for (const record of this.records.slice(this.deliveredCount)) {
      const outcomes = this.projections.map(projection => projection.apply(record))
      lastOutcome = outcomes[0]
    }
    this.deliveredCount = this.records.length
    return lastOutcome
  }
}
