/**
 * Conversion between the messages of a record source and those of the `Follow` call.
 */
import { match } from 'ts-pattern'
import { failure, FailureError, toOffset } from '../common/index.js'
import type { SourceMessage } from '../streams/index.js'
import { FollowMessage } from './generated/peer.js'

/** Makes the message that goes over the wire. */
export function encodeSourceMessage (message: SourceMessage): FollowMessage {
  const empty = FollowMessage.create()
  return match(message)
    .with({ kind: 'records' }, ({ startOffset, nextOffset, records }) => ({ ...empty, records: { startOffset, nextOffset, records } }))
    .with({ kind: 'snapshot' }, ({ through, state }) => ({ ...empty, snapshot: { through, state: JSON.stringify(state) } }))
    .with({ kind: 'heartbeat' }, ({ nextOffset }) => ({ ...empty, heartbeat: { nextOffset } }))
    .exhaustive()
}

function parseState (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    throw new FailureError(failure('stream_interrupted', 'the relaying host sent a snapshot that is not JSON'))
  }
}

/** Reads a message that came over the wire. Throws `FailureError` (`stream_interrupted`) when it has no known body. */
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
    return { kind: 'snapshot', through: toOffset(message.snapshot.through), state: parseState(message.snapshot.state) }
  }
  if (message.heartbeat !== undefined) return { kind: 'heartbeat', nextOffset: toOffset(message.heartbeat.nextOffset) }
  throw new FailureError(failure('stream_interrupted', 'the relaying host sent a message without a known body'))
}
