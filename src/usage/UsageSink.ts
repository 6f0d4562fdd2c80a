/**
 * Destination of a host's usage batches. One host appends the batches of a zone: the first of the zone in the relay tree.
 */
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import type { UsageBatch } from './UsageRecord.js'

/** Accepts usage batches and reports when they are in the log. */
export abstract class UsageSink {
  /** Submits a batch. Ok means that it is in the log; after an error, the caller submits the same batch again. */
  abstract submit (batch: UsageBatch): Promise<Result<void, Failure>>
}
