/**
 * Converts between the messages of a record source and the protocol messages of the `Follow` call.
 */
import { match } from 'ts-pattern'
import { failure, FailureError, toOffset } from '../common/index.js'
import type { SourceMessage } from '../streams/index.js'
import { FollowMessage } from './generated/peer.js'

/** Converts a record source's message into a protocol message. */
export function encodeSourceMessage (message: SourceMessage): FollowMessage {
  const emptyMessage = FollowMessage.create()
  return match(message)
    .with({ kind: 'records' }, ({ startOffset, nextOffset, records }) => ({ ...emptyMessage, records: { startOffset, nextOffset, records } }))
    .with({ kind: 'snapshot' }, ({ through, state }) => ({ ...emptyMessage, snapshot: { through, state: JSON.stringify(state) } }))
    .with({ kind: 'heartbeat' }, ({ nextOffset }) => ({ ...emptyMessage, heartbeat: { nextOffset } }))
    .exhaustive()
}

function parseSnapshotState (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new FailureError(failure('stream_interrupted', 'the relaying host sent a snapshot that is not JSON'))
  }
}

/** Converts a received message. Throws `FailureError` (`stream_interrupted`) if its body is unknown or malformed. */
export function decodeSourceMessage (message: FollowMessage): SourceMessage {
  if (message.records !== undefined) {
    const { startOffset, nextOffset, records } = message.records
    return {
      kind: 'records',
      startOffset: toOffset(startOffset),
      nextOffset: toOffset(nextOffset),
      records: records.map(({ offset, at, value }) => ({ offset: toOffset(offset), at, value }))
    }
  }
  if (message.snapshot !== undefined) {
    return { kind: 'snapshot', through: toOffset(message.snapshot.through), state: parseSnapshotState(message.snapshot.state) }
  }
  if (message.heartbeat !== undefined) return { kind: 'heartbeat', nextOffset: toOffset(message.heartbeat.nextOffset) }
  throw new FailureError(failure('stream_interrupted', 'the relaying host sent a message without a known body'))
}
