/**
 * Sends this host's usage batches to the host that appends for the zone, so that the number of appends does not grow
 * with the number of hosts. If that host does not acknowledge a batch, this host appends the batch itself.
 */
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import type { UsageAppender } from './UsageAppender.js'
import type { UsageBatch } from './UsageRecord.js'
import { UsageSink } from './UsageSink.js'

/** Client of the host that appends usage batches for the zone. */
export abstract class ZoneAppenderClient {
  /** Sends a batch; undefined if this host itself appends for the zone, or no other host is known. */
  abstract submit (batch: UsageBatch): Promise<Result<void, Failure>> | undefined
}

/** Submits batches to the host that appends for the zone, or else to the local appender. */
export class ZoneUsageSink extends UsageSink {
  constructor (private readonly zoneAppender: ZoneAppenderClient, private readonly localAppender: UsageAppender) {
    super()
  }

  async submit (batch: UsageBatch): Promise<Result<void, Failure>> {
    const submitted = await this.zoneAppender.submit(batch)
    if (submitted?.isOk === true) return submitted
    return await this.localAppender.add(batch)
  }
}
