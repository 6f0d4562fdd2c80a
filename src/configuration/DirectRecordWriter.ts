/**
 * A log in memory with projections that read it, for tests and tools that have no log service. Its failures are
 * switched on by hand.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, newRecordId, toOffset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import {
  type ApplyOutcome, currentRecordVersion, type NewRecord, RecordWriter, type StreamProjection, type StreamRecord,
  type SubmittedRecord
} from '../streams/index.js'

/** How appends go. `lost_answer`: the record is in the log, and no projection reads it before `deliver`. */
export type AppendMode = 'normal' | 'outage' | 'lost_answer'

/** Appends to a list and applies each record to all projections; the first one is the writer's own. */
export class DirectRecordWriter extends RecordWriter {
  mode: AppendMode = 'normal'
  /** The whole log; offsets start at 1. */
  readonly records: StreamRecord[] = []
  private delivered = 0

  constructor (private readonly projections: StreamProjection[], private readonly clock: Clock) {
    super()
  }

  submit (stream: StreamName, record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    if (this.mode === 'outage') return Promise.resolve(Result.err(failure('platform_unavailable', `no append to ${stream}: outage`)))
    const id = record.id ?? newRecordId()
    const offset = toOffset(this.records.length + 1)
    // As JSON text and back, as a log does it.
    const value = JSON.parse(JSON.stringify({ ...record, version: currentRecordVersion, id })) as StreamRecord['value']
    this.records.push({ offset, at: this.clock.wall(), value })
    if (this.mode === 'lost_answer') {
      return Promise.resolve(Result.err(failure('outcome_unknown', 'the answer was lost', { recordId: id })))
    }
    const outcome = this.deliver() as ApplyOutcome
    return Promise.resolve(Result.ok({ id, offset, outcome, sentAt: this.clock.monotonic() }))
  }

  /** Lets all projections read up to the end of the log. Returns the own projection's outcome of the last record. */
  deliver (): ApplyOutcome | undefined {
    let last: ApplyOutcome | undefined
    for (const record of this.records.slice(this.delivered)) {
      const outcomes = this.projections.map(projection => projection.apply(record))
      last = outcomes[0]
    }
    this.delivered = this.records.length
    return last
  }
}
