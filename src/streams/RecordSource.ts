/**
 * Where a follower of a log stream gets its records: the log itself, or another host that relays them.
 */
import type { LogRecord, StreamName } from '../clients/index.js'
import type { Offset } from '../common/index.js'

/** What a source sends to a follower. */
export type SourceMessage =
  /**
   * Records in offset order, without gaps between them. `startOffset` is the log's first retained offset as
   * the source knows it.
   */
  | { kind: 'records', startOffset: Offset, nextOffset: Offset, records: LogRecord[] }
  /** State of the source's fold, sent when the wanted records are no longer available to it. */
  | { kind: 'snapshot', through: Offset, state: unknown }
  /** Sent every second while there is nothing else to send. */
  | { kind: 'heartbeat', nextOffset: Offset }

/** A source of records. */
export abstract class RecordSource {
  /** Name for logs: `log`, or the id of the relaying host. */
  abstract readonly name: string

  /**
   * Sends messages from the given offset on until the signal aborts. Throws `FailureError` when the source
   * fails; the follower then turns to its next source. The follower itself gives a silent source up.
   */
  abstract follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage>
}

/** Chooses sources. */
export abstract class SourceDirectory {
  /** The sources to try, the most wanted first. Called anew each time that a follower has to choose. */
  abstract sources (): RecordSource[]
}

/** A directory that always names the same sources. */
export class FixedSourceDirectory extends SourceDirectory {
  constructor (private readonly list: RecordSource[]) {
    super()
  }

  sources (): RecordSource[] {
    return this.list
  }
}
