/**
 * Guards against conclusions from responses that a store gave before it came back from an older copy, and against a host
 * that mistakes an odd header field for a restore.
 */
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { HybridClock, EventLog, Timeline } from '../observability/index.js'
import { StoreClient } from './StoreClient.js'
import { StoreEra } from './StoreEra.js'
import { FakeStore } from './testing/FakeStore.js'

const topic = 'keyed.op'

// A host that takes the response to a delayed call for a current one believes what the store no longer knows.
test.each<[string, Array<string | undefined>, Array<number | undefined>]>([
  ['rises', ['1', '2', '3'], [1, 2, 3]],
  ['is missing in some responses', [undefined, '4', undefined, '4'], [0, 4, 4, 4]],
  ['is that of an earlier response', ['5', '4', '5'], [5, undefined, 5]],
  ['cannot be read', ['2', 'x', '-1', '1e3', '3.5', '', '99999999999999999999'], [2, 2, 2, 2, 2, 2, 2]],
  ['leaves no room for a fencing number', ['2', '9999999', '3'], [2, 2, 3]]
])('accepts responses whose era %s', (_name, stated, expected) => {
  const era = new StoreEra()
  expect(stated.map(text => era.accept(text))).toEqual(expected)
})

// Without a line for each restore, an operator cannot tell a restored store from one that was away.
test('logs each restore once, and not the first era', () => {
  const lines: string[] = []
  const clock = new ManualClock()
  const era = new StoreEra(new EventLog({ timeline: new Timeline('host-1', new HybridClock(clock)), level: 'info', write: line => { lines.push(line) } }))
  for (const stated of ['3', '3', '4', '4', '3']) era.accept(stated)
  expect(lines.filter(line => line.includes('event=store_restored'))).toEqual([expect.stringContaining('era=4 before=3')])
})

describe('a client of a store that is restored', () => {
  let store: FakeStore
  let client: StoreClient

  beforeEach(async () => {
    store = await FakeStore.start()
    client = new StoreClient(store.address)
  })

  afterEach(async () => {
    await client.close()
    await store.stop()
  })

  // Offsets that are compared across a restore skip the records that are written again below them.
  test('states the era of records and of the group', async () => {
    const copy = store.copy()
    store.write(topic, 'config', 'lost')
    expect((await client.newest(topic)).unwrapOr(undefined)).toMatchObject({ end: 1, era: 1 })
    store.restore(copy)
    // The client may find only now that its connection is closed.
    await client.newest(topic)
    expect((await client.newest(topic)).unwrapOr(undefined)).toMatchObject({ records: [], end: 0, era: 2 })
    expect((await client.read(topic, 0, 0)).unwrapOr(undefined)).toMatchObject({ records: [], next: 0, era: 2 })
    expect((await client.join('hosts', 'a', { topics: ['duties'], timeToLiveMilliseconds: 1000, generation: 0 })).unwrapOr(undefined))
      .toMatchObject({ era: 2 })
  })

  // The store has given the offset out again by the time that a host takes such a read for an empty one.
  test('reads from an offset beyond the end as expired', async () => {
    const copy = store.copy()
    store.write(topic, 'config', 'lost')
    store.restore(copy)
    await client.newest(topic)
    expect((await client.read(topic, 1, 1000)).unwrapOr(undefined)).toBe('expired')
  })

  // A response that was on its way while another client heard of the restore is about records that are gone.
  test('fails for a response of an earlier era than another client of the host has seen', async () => {
    const era = new StoreEra()
    const sharing = new StoreClient(store.address, era)
    store.era = 2
    expect((await sharing.newest(topic)).isOk).toBe(true)
    store.era = 1
    expect((await sharing.newest(topic)).isErr).toBe(true)
    await sharing.close()
  })
})

// The first page is about records that the restored store lacks, and its end is an offset of the earlier era.
test.each([
  ['fails if the store is restored between two pages', '2', undefined],
  ['returns the records of all pages otherwise', '1', ['a', 'b']]
])('a read of the newest records %s', async (_name, secondEra, keys) => {
  const server = createServer((request, response) => {
    const isFirst = !request.url!.includes('after=')
    response.setHeader('store-era', isFirst ? '1' : secondEra)
    response.end(JSON.stringify({ items: [{ key: isFirst ? 'a' : 'b', value: '' }], truncated: isFirst, end: 2 }))
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const client = new StoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`)
  const read = await client.newest(topic)
  await client.close()
  await new Promise(resolve => { server.close(resolve) })
  expect(read.unwrapOr(undefined)?.records.map(({ key }) => key)).toEqual(keys)
})
