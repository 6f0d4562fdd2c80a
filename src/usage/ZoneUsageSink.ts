/**
 * Hands this host's usage batches to the host that appends for the zone, so that the number of appends does
 * not grow with the number of hosts. While that host does not answer, this host appends itself.
 */
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import type { UsageAppender } from './UsageAppender.js'
import type { UsageBatch } from './UsageRecord.js'
import { UsageSink } from './UsageSink.js'

/** The way to the host that appends for the zone. */
export abstract class ZoneAppenderClient {
  /** Sends a batch; undefined if this host itself appends for the zone, or no other host is known. */
  abstract submit (batch: UsageBatch): Promise<Result<void, Failure>> | undefined
}

/** The sink of a host. */
export class ZoneUsageSink extends UsageSink {
  constructor (private readonly zone: ZoneAppenderClient, private readonly local: UsageAppender) {
    super()
  }

  async submit (batch: UsageBatch): Promise<Result<void, Failure>> {
    const submitted = await this.zone.submit(batch)
    if (submitted?.isOk === true) return submitted
    return await this.local.add(batch)
  }
}
