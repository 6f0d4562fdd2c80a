/**
 * Guards against a relay that passes on an outdated view as a fresh one, skips records, or keeps records without bound.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, ManualClock } from '../../common/index.js'
import type { KeyedRecord, ReadOutcome } from '../StoreClient.js'
import { StoreEra } from '../StoreEra.js'
import { RelayedTopic } from './RelayedTopic.js'

const never = new AbortController().signal

let clock: ManualClock
let era: StoreEra
let topic: RelayedTopic
/** Reads of the store that wait for their response. */
let reads: Array<{ from: number, wait: number, answer: (outcome: ReadOutcome) => void }>
let closes: number
let drops: number

beforeEach(async () => {
  clock = new ManualClock()
  era = new StoreEra()
  era.accept('1')
  reads = []
  closes = 0
  drops = 0
  const read = async (_topic: string, from: number, wait: number, signal = never): Promise<Result<ReadOutcome, Failure>> =>
    await new Promise(resolve => {
      reads.push({ from, wait, answer: outcome => { resolve(Result.ok(outcome)) } })
      signal.addEventListener('abort', () => { resolve(Result.err(failure('platform_unavailable', 'aborted'))) })
    })
  const store = { read, close: async () => { closes += 1 } }
  topic = new RelayedTopic({ topic: 'keyed.op', store, era, clock, onDropped: () => { drops += 1 } })
})

afterEach(async () => { await topic.stop() })

const recordOf = (key: string, bytes = 10): KeyedRecord => ({ key, value: Buffer.alloc(bytes, 'v') })

/** Answers the open read of the store with records. */
async function answer (...records: KeyedRecord[]): Promise<void> {
  const { from, answer: resolve } = reads.at(-1)!
  resolve({ records, next: from + records.length, era: era.current })
  await clock.advance(0)
}

/** Starts to read for the follower of the host and for another host, so that the topic is polled for both. */
async function startServing (from: number): Promise<void> {
  topic.read(from, 3000, never).catch(() => {})
  const first = topic.readForPeer(from, 1, 0)
  await clock.advance(0)
  await first
}

// A frozen host takes the response that waited in its socket for a new one when it goes on.
test('a response that arrives long after its call does not make the view fresh', async () => {
  await startServing(5)
  await clock.advance(5000)
  await answer(recordOf('a'))
  const read = topic.readForPeer(6, 1, 0)
  expect(await read).toEqual({ kind: 'stale' })
})

test('a read of the store without records makes the view fresh as of the end of its wait', async () => {
  await startServing(5)
  await answer()
  expect(reads.at(-1)).toMatchObject({ from: 5, wait: 1000 })
  await clock.advance(1100)
  await answer()
  expect(await topic.readForPeer(5, 1, 0)).toMatchObject({ kind: 'records', next: 5, age: 100 })
})

test.each<[string, number, number, object]>([
  ['a known offset gets the records after it', 6, 1, { kind: 'records', next: 7, texts: [expect.stringContaining('"b"')] }],
  ['an offset that the host has not reached gets no records', 9, 1, { kind: 'records', next: 9, texts: [] }],
  ['an offset before the records that are kept is sent to the store', 4, 1, { kind: 'behind' }],
  ['an offset of another era gets nothing', 5, 2, { kind: 'stale' }]
])('%s', async (_name, from, stated, expected) => {
  await startServing(5)
  await answer(recordOf('a'), recordOf('b'))
  expect(await topic.readForPeer(from, stated, 0)).toMatchObject(expected)
})

// The offsets of the other records are unknown if the page lacks some.
test('a page that lacks malformed records is passed on to the follower of the host alone', async () => {
  await startServing(5)
  const read = topic.read(5, 3000, never)
  reads.at(-1)!.answer({ records: [recordOf('a')], next: 8, era: 1 })
  await clock.advance(0)
  expect((await read).unwrapOr(undefined)).toMatchObject({ records: [{ key: 'a' }], next: 8 })
  expect(await topic.readForPeer(5, 1, 0)).toEqual({ kind: 'behind' })
  expect(await topic.readForPeer(8, 1, 0)).toMatchObject({ kind: 'records', next: 8 })
})

test('the oldest records are dropped beyond the bound of memory', async () => {
  await startServing(0)
  await answer(...Array.from({ length: 50 }, (_, index) => recordOf(`key-${index}`, 200_000)))
  expect(await topic.readForPeer(0, 1, 0)).toEqual({ kind: 'behind' })
  expect(await topic.readForPeer(49, 1, 0)).toMatchObject({ kind: 'records', next: 50 })
})

test.each<[string, () => Promise<void>]>([
  ['the store dropped history', async () => { reads.at(-1)!.answer('expired') }],
  ['the store was restored', async () => { era.accept('2') }]
])('after %s, nothing is served until the follower of the host has read the topic again', async (_name, interrupt) => {
  await startServing(5)
  await answer(recordOf('a'))
  await clock.advance(250)
  await interrupt()
  await clock.advance(0)
  const calls = reads.length
  const waiting = topic.readForPeer(6, era.current, 1000)
  await clock.advance(1000)
  expect(await waiting).toEqual({ kind: 'stale' })
  expect(reads).toHaveLength(calls)
  topic.read(20, 3000, never).catch(() => {})
  await clock.advance(0)
  await answer()
  expect(await topic.readForPeer(20, era.current, 0)).toMatchObject({ kind: 'records', next: 20 })
})

// An idle connection may become silent, and a poll that goes on unasked is charged and delays the next read.
test('the store is polled once for a read of the follower, and the connection is closed when the follower reads elsewhere', async () => {
  const read = topic.read(5, 3000, never)
  await answer()
  await read
  expect(reads).toHaveLength(1)
  await topic.release()
  topic.read(5, 0, never).catch(() => {})
  await clock.advance(0)
  expect([closes, reads.at(-1)!.wait]).toEqual([1, 0])
})

test('a poll for other hosts that read no more is ended when the follower of the host reads elsewhere', async () => {
  await startServing(5)
  await answer()
  await clock.advance(5000)
  await topic.release()
  topic.read(5, 0, never).catch(() => {})
  await clock.advance(0)
  expect([closes, reads.at(-1)!.wait]).toEqual([1, 0])
})

// The reader would avoid this relay for 3 s. `onDropped` closes the connections of the readers.
test('the first reader of a host that read elsewhere meanwhile is answered, and not closed', async () => {
  const read = topic.read(5, 3000, never)
  await answer()
  await read
  await topic.release()
  const first = topic.readForPeer(9, 1, 1000)
  topic.read(9, 3000, never).catch(() => {})
  await clock.advance(0)
  await answer(recordOf('a'))
  expect([await first, drops]).toMatchObject([{ kind: 'records', next: 10 }, 0])
})
