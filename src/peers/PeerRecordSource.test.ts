/**
 * Guards against records that are lost or delivered twice when a relaying host goes away and the follower
 * turns to another one, and against a relay that fails without telling its followers.
 */
import { afterEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { failure, FailureError, type Offset, toOffset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from '../streams/RecordSource.js'
import { PeerRecordSource } from './index.js'
import { Cleanup, GrowingSource, identityOf, makePool, startServer, TcpForwarder } from './peerTestSupport.js'

const cleanup = new Cleanup()
afterEach(() => cleanup.run())

/** Follows the sources in turn, as a follower does: it keeps its offset and goes on at the next source on an error. */
async function collect (sources: RecordSource[], wanted: number, onProgress: (offsets: number[]) => void): Promise<number[]> {
  const offsets: number[] = []
  const controller = new AbortController()
  for (const source of sources) {
    try {
      for await (const message of source.follow('leases', toOffset(offsets.length + 1), controller.signal)) {
        if (message.kind === 'records') offsets.push(...message.records.map(record => record.offset))
        onProgress(offsets)
        if (offsets.length >= wanted) return offsets
      }
    } catch (caught) {
      if (!(caught instanceof FailureError)) throw caught
    }
  }
  return offsets
}

test('a follower whose source breaks in the middle gets every record once from the next one', async () => {
  const source = new GrowingSource()
  source.append(50)
  const first = await startServer(cleanup, { identity: identityOf('b'), handlers: { follow: source } })
  const second = await startServer(cleanup, { identity: identityOf('c'), handlers: { follow: source } })
  const forwarder = await TcpForwarder.start(first.address)
  cleanup.add(() => forwarder.stop())
  const pool = makePool(cleanup, 'a')
  const sources = [
    new PeerRecordSource(pool, { hostId: identityOf('b').hostId, address: forwarder.address }),
    new PeerRecordSource(pool, { hostId: identityOf('c').hostId, address: second.address })
  ]
  let dropped = false
  const offsets = await collect(sources, 120, () => {
    if (dropped) return
    dropped = true
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

test('all kinds of messages arrive as they were sent, and a stopping relay says draining', async () => {
  const server = await startServer(cleanup, { identity: identityOf('b'), handlers: { follow: new ScriptedSource(messages) } })
  const source = new PeerRecordSource(makePool(cleanup, 'a'), { hostId: identityOf('b').hostId, address: server.address })
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

test('a follower that stops ends the call at the relaying host', async () => {
  const scripted = new ScriptedSource(messages)
  let ended = (): void => {}
  const relayEnded = new Promise<void>(resolve => { ended = resolve })
  const follow = scripted.follow.bind(scripted)
  scripted.follow = (stream, from, signal) => {
    signal.addEventListener('abort', () => ended())
    return follow(stream, from, signal)
  }
  const server = await startServer(cleanup, { identity: identityOf('b'), handlers: { follow: scripted } })
  const source = new PeerRecordSource(makePool(cleanup, 'a'), { hostId: identityOf('b').hostId, address: server.address })
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

test('a follower that does not read holds the relay up instead of filling its memory', async () => {
  const endless = new EndlessSource()
  const handlers = { follow: endless, heartbeat: async () => Result.err(failure('not_ready', 'test')) }
  const server = await startServer(cleanup, { identity: identityOf('b'), handlers })
  const pool = makePool(cleanup, 'a')
  const target = { hostId: identityOf('b').hostId, address: server.address }
  const following = pool.follow(target, 'leases', toOffset(1), new AbortController().signal)
  await following.next()
  // Each answer takes its turn after what the relay could send meanwhile.
  for (let call = 0; call < 50; call += 1) await pool.heartbeat(target)
  expect(endless.produced).toBeLessThan(500)
  await following.return()
})
