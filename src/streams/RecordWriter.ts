/**
 * Interface for appending a record to a log stream and waiting for its outcome.
 */
import type { Result } from 'true-myth'
import type { Failure, Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import type { ApplyOutcome, RecordHead } from './StreamProjection.js'

/** A record as callers pass it to `RecordWriter`, which adds `version`, and `id` if it is absent. */
export type NewRecord = Omit<RecordHead, 'version' | 'id'> & { id?: string } & Record<string, unknown>

/** A record that is stored in the log and was passed to this host's projection. */
export interface SubmittedRecord {
  id: string
  offset: Offset
  outcome: ApplyOutcome
  /** Local monotonic time, in milliseconds, taken before the append was sent. */
  sentAt: number
}

/** Appends records and waits until this host's own projection has applied them. */
export abstract class RecordWriter {
  /**
   * Appends a record and waits until this host's projection has applied it. If the log's response to the append is lost,
   * the record is recognized by its id when this host reads it from the stream.
   * Errors: `platform_unavailable` (the record is certainly not in the log), `outcome_unknown` (the detail has
   * `recordId`), `not_ready` (this host's state is not complete yet or has a gap), `newer_version` (this host's projection is
   * paused before a record of a newer version).
   */
  abstract submit (stream: StreamName, record: NewRecord): Promise<Result<SubmittedRecord, Failure>>
}
