/**
 * The state that a host derives from one log stream. Every host applies the same records in the same order
 * by the same rules, so all come to the same state. Managers (leases, configuration, orders) extend this.
 */
import type { Result } from 'true-myth'
import type { Failure, Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'

/** Version of the record format that this program writes and the newest that it understands. */
export const currentRecordVersion = 1

/** Head of each record in the log. The other members depend on the kind. */
export interface RecordHead {
  version: number
  /** Kind of the record; `snapshot` is handled by the follower. */
  kind: string
  /** Identity given by the writer; resolves appends whose answer was lost and drops duplicates. */
  id: string
}

/** A parsed record on its way into a fold. */
export interface FoldRecord {
  offset: Offset
  /** Unix time in milliseconds at which the log stored the record; for display only. */
  at: number
  /** The whole record, head included, not yet validated beyond the head. */
  value: RecordHead & Record<string, unknown>
}

/** Result of applying a record: whether it took effect, and if not, why. */
export type ApplyOutcome =
  | { accepted: true }
  | { accepted: false, failure: Failure }

/** State derived from one stream. */
export abstract class StreamFold {
  /** The stream. */
  abstract readonly stream: StreamName
  /** Applies a record. Deterministic: no clocks, no random numbers, no local settings. */
  abstract apply (record: FoldRecord): ApplyOutcome
  /** The whole state as JSON data. */
  abstract snapshot (): unknown
  /** Replaces the state by one made by `snapshot`. Errors: `bad_request` when the data is not a state. */
  abstract restore (state: unknown, through: Offset): Result<void, Failure>
}
