/**
 * Writing to a log stream and learning what became of the record.
 */
import type { Result } from 'true-myth'
import type { Failure, Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import type { ApplyOutcome, RecordHead } from './StreamFold.js'

/** A record as its writer gives it; the writer class adds `version`, and `id` where it is absent. */
export type NewRecord = Omit<RecordHead, 'version' | 'id'> & { id?: string } & Record<string, unknown>

/** A record that is in the log and was applied by this host's fold. */
export interface SubmittedRecord {
  id: string
  offset: Offset
  outcome: ApplyOutcome
  /** Local monotonic time, in milliseconds, taken before the append was sent. */
  sentAt: number
}

/** Appends records and waits until this host's own fold has applied them. */
export abstract class RecordWriter {
  /**
   * Appends a record and waits for it to come back through the fold. An append whose answer was lost is
   * resolved by reading on: the record's id decides.
   * Errors: `platform_unavailable` (certainly not in the log), `outcome_unknown` (the detail has `recordId`),
   * `not_ready` (this host's fold is behind or has a gap), `newer_version`.
   */
  abstract submit (stream: StreamName, record: NewRecord): Promise<Result<SubmittedRecord, Failure>>
}
