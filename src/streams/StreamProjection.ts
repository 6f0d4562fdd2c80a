/**
 * The state that a host derives from one log stream. Every host applies the same records in the same order by the
 * same rules, so all hosts reach the same state. The projections of leases, configuration, orders and usage extend
 * this class.
 */
import type { Result } from 'true-myth'
import type { Failure, Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'

/** Version of the record format that this program writes, and the newest version that it can read. */
export const currentRecordVersion = 1

/** Members that every record in the log has; the other members depend on `kind`. */
export interface RecordHead {
  version: number
  /** Kind of the record. Records of kind `snapshot` are handled by the replica and not passed to the projection. */
  kind: string
  /** Id chosen by the writer, used to recognize duplicates and to find a record whose append response was lost. */
  id: string
}

/** A parsed record that is passed to a projection. */
export interface StreamRecord {
  offset: Offset
  /** Unix time in milliseconds at which the log stored the record; for display only. */
  at: number
  /** The complete record including its head; only the head has been validated. */
  value: RecordHead & Record<string, unknown>
}

/** Result of applying a record: whether it took effect, and if not, why. */
export type ApplyOutcome =
  | { accepted: true }
  | { accepted: false, failure: Failure }

/** State derived from one stream. */
export abstract class StreamProjection {
  /** The stream that the state is derived from. */
  abstract readonly stream: StreamName
  /** Applies a record. Must be deterministic: no clocks, no random numbers, no local settings. */
  abstract apply (record: StreamRecord): ApplyOutcome
  /** Returns the complete state as JSON data. */
  abstract snapshot (): unknown
  /** Replaces the state by one that `snapshot` returned at offset `through`. Errors: `bad_request` for any other data. */
  abstract restore (state: unknown, through: Offset): Result<void, Failure>
}
