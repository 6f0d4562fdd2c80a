/**
 * Guards against records that are lost or delivered twice when a relaying host fails and the follower switches to
 * another source, against a relay that ends without reporting an error to its followers, and against relays that
 * continue after their follower has stopped or that buffer without limit for a follower that does not read.
 */
import { afterEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { failure, FailureError, type Offset, toOffset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from '../streams/RecordSource.js'
import { PeerRecordSource } from './index.js'
import { Cleanup, GrowingSource, identityOf, createPeerPool, startServer, TcpForwarder } from './peerTestSupport.js'

const cleanup = new Cleanup()
afterEach(() => cleanup.run())

/** Follows the sources one after the other. On an error it continues at the next source from the offset it has reached. */
async function collectOffsets (
  sources: RecordSource[], count: number, onProgress: (offsets: number[]) => void
): Promise<number[]> {
  const offsets: number[] = []
  const controller = new AbortController()
  for (const source of sources) {
    try {
      for await (const message of source.follow('leases', toOffset(offsets.length + 1), controller.signal)) {
        if (message.kind === 'records') offsets.push(...message.records.map(record => record.offset))
        onProgress(offsets)
        if (offsets.length >= count) return offsets
      }
    } catch (caught) {
      if (!(caught instanceof FailureError)) throw caught
    }
  }
  return offsets
}

test('if the connection to a source breaks, a follower that continues at the next source receives every record exactly once', async () => {
  const source = new GrowingSource()
  source.append(50)
  const firstServer = await startServer(cleanup, { identity: identityOf('b'), handlers: { follow: source } })
  const secondServer = await startServer(cleanup, { identity: identityOf('c'), handlers: { follow: source } })
  const forwarder = await TcpForwarder.start(firstServer.address)
  cleanup.add(() => forwarder.stop())
  const pool = createPeerPool(cleanup, 'a')
  const sources = [
    new PeerRecordSource(pool, { hostId: identityOf('b').hostId, address: forwarder.address }),
    new PeerRecordSource(pool, { hostId: identityOf('c').hostId, address: secondServer.address })
  ]
  let hasReset = false
  const offsets = await collectOffsets(sources, 120, () => {
    if (hasReset) return
    hasReset = true
    forwarder.reset()
    source.append(70)
  })
  expect(offsets).toEqual(Array.from({ length: 120 }, (_, index) => index + 1))
})

class ScriptedSource extends RecordSource {
  readonly name = 'scripted'

  constructor (private readonly messages: SourceMessage[]) {
    super()
  }

  async * follow (_stream: StreamName, _from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    yield * this.messages
    await new Promise(resolve => signal.addEventListener('abort', resolve))
  }
}

const messages: SourceMessage[] = [
  { kind: 'records', startOffset: toOffset(3), nextOffset: toOffset(8), records: [{ offset: toOffset(7), at: 1.5, value: 'ä' }] },
  { kind: 'snapshot', through: toOffset(9), state: { leases: [{ holder: null }] } },
  { kind: 'heartbeat', nextOffset: toOffset(10) }
]

test('messages of all kinds arrive unchanged, and stopping the server ends the stream with the failure draining', async () => {
  const server = await startServer(cleanup, { identity: identityOf('b'), handlers: { follow: new ScriptedSource(messages) } })
  const source = new PeerRecordSource(createPeerPool(cleanup, 'a'), { hostId: identityOf('b').hostId, address: server.address })
  const received: SourceMessage[] = []
  const following = (async () => {
    for await (const message of source.follow('leases', toOffset(1), new AbortController().signal)) {
      received.push(message)
      if (received.length === messages.length) server.stop()
    }
  })()
  await expect(following).rejects.toMatchObject({ failure: { kind: 'draining' } })
  expect(received).toEqual(messages)
})

test('when a follower aborts, the relaying host stops reading from its own source', async () => {
  const scripted = new ScriptedSource(messages)
  let resolveRelayEnded = (): void => {}
  const relayEnded = new Promise<void>(resolve => { resolveRelayEnded = resolve })
  const follow = scripted.follow.bind(scripted)
  scripted.follow = (stream, from, signal) => {
    signal.addEventListener('abort', () => resolveRelayEnded())
    return follow(stream, from, signal)
  }
  const server = await startServer(cleanup, { identity: identityOf('b'), handlers: { follow: scripted } })
  const source = new PeerRecordSource(createPeerPool(cleanup, 'a'), { hostId: identityOf('b').hostId, address: server.address })
  const controller = new AbortController()
  for await (const message of source.follow('leases', toOffset(1), controller.signal)) {
    if (message.kind === 'heartbeat') controller.abort()
  }
  await relayEnded
})

class EndlessSource extends RecordSource {
  readonly name = 'endless'
  produced = 0

  async * follow (_stream: StreamName, _from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    const value = 'x'.repeat(65_536)
    while (!signal.aborted && this.produced < 1000) {
      this.produced += 1
      const offset = toOffset(this.produced)
      yield { kind: 'records', startOffset: toOffset(1), nextOffset: toOffset(this.produced + 1), records: [{ offset, at: 0, value }] }
    }
  }
}

test('if a follower does not read, its relay pauses instead of buffering all records', async () => {
  const endless = new EndlessSource()
  const handlers = { follow: endless, heartbeat: async () => Result.err(failure('not_ready', 'test')) }
  const server = await startServer(cleanup, { identity: identityOf('b'), handlers })
  const pool = createPeerPool(cleanup, 'a')
  const target = { hostId: identityOf('b').hostId, address: server.address }
  const following = pool.follow(target, 'leases', toOffset(1), new AbortController().signal)
  await following.next()
  // Each round trip gives the relay time to send as much as it can, since the response follows its earlier messages.
  for (let call = 0; call < 50; call += 1) await pool.heartbeat(target)
  expect(endless.produced).toBeLessThan(500)
  await following.return()
})
