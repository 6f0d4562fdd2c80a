/**
 * Sources from which a follower of a log stream receives records: the log itself, or another host that relays them.
 */
import type { LogRecord, StreamName } from '../clients/index.js'
import type { Offset } from '../common/index.js'

/** A message from a source to a follower. */
export type SourceMessage =
  /**
   * Records in offset order, without gaps between them. `startOffset` is the first offset that the log retains and
   * `nextOffset` is the offset of the next append, both as known to the source.
   */
  | { kind: 'records', startOffset: Offset, nextOffset: Offset, records: LogRecord[] }
  /** The source's state at offset `through`, sent when the source no longer has the requested records. */
  | { kind: 'snapshot', through: Offset, state: unknown }
  /** Sent every second while the source has nothing else to send. */
  | { kind: 'heartbeat', nextOffset: Offset }

/** Sends the records or the state of a stream to followers. */
export abstract class RecordSource {
  /** Name in log lines: `log` for the platform's log, otherwise the id of the relaying host. */
  abstract readonly name: string

  /**
   * Yields messages starting at the given offset until the signal aborts. Throws `FailureError` if the source fails; the
   * follower then switches to its next source. Detecting a silent source is up to the follower.
   */
  abstract follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage>
}

/** Lists the sources that a follower can use. */
export abstract class SourceDirectory {
  /** The sources to try, in order of preference. Called every time a follower chooses a source. */
  abstract sources (): RecordSource[]
}

/** A directory that always returns the same sources. */
export class FixedSourceDirectory extends SourceDirectory {
  constructor (private readonly fixedSources: RecordSource[]) {
    super()
  }

  sources (): RecordSource[] {
    return this.fixedSources
  }
}
