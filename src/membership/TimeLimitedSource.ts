/**
 * A record source with time limits, which throws when it has been behind its follower, or in use, for too long. A
 * follower stays at a source that sends messages. Without the limits, a follower could stay forever at a host that is
 * behind it or, during an outage of the log, at a host that receives nothing new while other hosts have newer state.
 */
import { type Clock, failure, FailureError, type Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from '../streams/RecordSource.js'

/** Why a follower abandoned a source. `behind` and `term_over` are the two time limits; `failed` includes silence. */
export type AbandonReason = 'failed' | 'behind' | 'term_over'

/** Options of a `TimeLimitedSource`. */
export interface TimeLimitedSourceOptions {
  source: RecordSource
  clock: Clock
  /** Maximum time for which the source may be behind the follower, in milliseconds. */
  maxBehindMilliseconds: number
  /** Maximum use of the source while `isUnlimited` is false, in milliseconds; the follower then chooses a source again. */
  maxUseMilliseconds: number
  /** Returns true while the follower may use the source without a time limit. */
  isUnlimited: () => boolean
  /** Called when the follower abandons the source; not called if the follower stops or has found a preferred source. */
  onAbandon: (reason: AbandonReason) => void
}

/**
 * Minimum time between the last message and the end of the subscription, in milliseconds, for the source to count
 * as silent. Sources send a message every second, and followers abandon a source after 3 s without one.
 */
const silenceThresholdMilliseconds = 2000

/** A record source that enforces the time limits on another source. */
export class TimeLimitedSource extends RecordSource {
  constructor (private readonly options: TimeLimitedSourceOptions) {
    super()
  }

  get name (): string {
    return this.options.source.name
  }

  async * follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    const { clock, source, maxBehindMilliseconds, maxUseMilliseconds, isUnlimited, onAbandon } = this.options
    let wantedOffset: number = from
    let lastNotBehindAt = clock.monotonic()
    let lastUnlimitedAt = clock.monotonic()
    let lastMessageAt = clock.monotonic()
    let reason: AbandonReason = 'failed'
    try {
      for await (const message of source.follow(stream, from, signal)) {
        lastMessageAt = clock.monotonic()
        yield message
        const now = clock.monotonic()
        if (message.kind !== 'heartbeat') wantedOffset = Math.max(wantedOffset, wantedOffsetAfter(message))
        if (nextOffsetOf(message) >= wantedOffset) lastNotBehindAt = now
        if (isUnlimited()) lastUnlimitedAt = now
        if (now - lastNotBehindAt >= maxBehindMilliseconds) reason = 'behind'
        else if (now - lastUnlimitedAt >= maxUseMilliseconds) reason = 'term_over'
        if (reason !== 'failed') throw new FailureError(failure('not_ready', `source ${this.name} exceeded a time limit: ${reason}`))
      }
    } finally {
      const isSilent = clock.monotonic() - lastMessageAt >= silenceThresholdMilliseconds
      if (!signal.aborted || isSilent) onAbandon(reason)
    }
  }
}

function nextOffsetOf (message: SourceMessage): number {
  return message.kind === 'snapshot' ? message.through + 1 : message.nextOffset
}

/** The offset that the follower wants after it has received the message. */
function wantedOffsetAfter (message: Extract<SourceMessage, { kind: 'records' | 'snapshot' }>): number {
  if (message.kind === 'snapshot') return message.through + 1
  const lastRecord = message.records.at(-1)
  return lastRecord === undefined ? 0 : lastRecord.offset + 1
}
