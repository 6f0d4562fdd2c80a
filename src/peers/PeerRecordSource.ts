/**
 * Reads a log stream's records from another host of the relay tree with the `Follow` call.
 */
import type { Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from '../streams/RecordSource.js'
import { decodeSourceMessage } from './followMessages.js'
import type { PeerPool } from './PeerPool.js'
import type { PeerTarget } from './PeerIdentity.js'

/**
 * Follows streams at one peer. Throws `FailureError` as `PeerPool.follow` does, and with `stream_interrupted` if a message
 * is malformed.
 */
export class PeerRecordSource extends RecordSource {
  constructor (private readonly pool: PeerPool, private readonly target: PeerTarget) {
    super()
  }

  get name (): string {
    return this.target.hostId
  }

  async * follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    for await (const message of this.pool.follow(this.target, stream, from, signal)) {
      yield decodeSourceMessage(message)
    }
  }
}
