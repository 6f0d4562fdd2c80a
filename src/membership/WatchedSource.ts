/**
 * A source of records that is given up when it holds its follower back. A follower stays at a source while
 * it sends messages, so without these rules a follower could wait for good at a host that is behind it or,
 * during an outage of the log, at one that gets nothing new while others have newer state.
 */
import { type Clock, failure, FailureError, type Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from '../streams/RecordSource.js'

/** Why a follower left a source. */
export type LeaveReason = 'failed' | 'behind' | 'term_over'

/** Options of a `WatchedSource`. */
export interface WatchedSourceOptions {
  source: RecordSource
  clock: Clock
  /** Longest time for which the source may lack the offset that the follower wants. */
  behindMilliseconds: number
  /** Longest time at a source at which the follower may not stay; it then chooses anew. */
  termMilliseconds: number
  /** True while the follower may use the source without limit. */
  mayStay: () => boolean
  /** Called when the follower leaves the source because of the source. */
  onLeave: (reason: LeaveReason) => void
}

/**
 * A follower that stops this long after the last message left because of silence, in milliseconds. Sources
 * send a message every second; followers give up after 3 s.
 */
const silentMilliseconds = 2000

/** A source under the rules. */
export class WatchedSource extends RecordSource {
  constructor (private readonly options: WatchedSourceOptions) {
    super()
  }

  get name (): string {
    return this.options.source.name
  }

  async * follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    const { clock, source, behindMilliseconds, termMilliseconds, mayStay, onLeave } = this.options
    let wanted: number = from
    let aheadAt = clock.monotonic()
    let allowedAt = clock.monotonic()
    let heardAt = clock.monotonic()
    let reason: LeaveReason = 'failed'
    try {
      for await (const message of source.follow(stream, from, signal)) {
        heardAt = clock.monotonic()
        yield message
        const now = clock.monotonic()
        if (message.kind !== 'heartbeat') wanted = Math.max(wanted, deliveredOffsetOf(message))
        if (nextOffsetOf(message) >= wanted) aheadAt = now
        if (mayStay()) allowedAt = now
        if (now - aheadAt >= behindMilliseconds) reason = 'behind'
        else if (now - allowedAt >= termMilliseconds) reason = 'term_over'
        if (reason !== 'failed') throw new FailureError(failure('not_ready', `source ${this.name} is left: ${reason}`))
      }
    } finally {
      const isSilent = clock.monotonic() - heardAt >= silentMilliseconds
      if (!signal.aborted || isSilent) onLeave(reason)
    }
  }
}

function nextOffsetOf (message: SourceMessage): number {
  return message.kind === 'snapshot' ? message.through + 1 : message.nextOffset
}

/** The offset that the follower wants after a message. */
function deliveredOffsetOf (message: Extract<SourceMessage, { kind: 'records' | 'snapshot' }>): number {
  if (message.kind === 'snapshot') return message.through + 1
  const last = message.records.at(-1)
  return last === undefined ? 0 : last.offset + 1
}
