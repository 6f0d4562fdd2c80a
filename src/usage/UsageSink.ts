/**
 * Where a host's usage batches go: up the relay tree to the host that appends them for the zone.
 */
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import type { UsageBatch } from './UsageRecord.js'

/** Receiver of batches. */
export abstract class UsageSink {
  /** Hands a batch over. Ok means that it is stored; after an error the same batch is handed over again. */
  abstract submit (batch: UsageBatch): Promise<Result<void, Failure>>
}
