import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { loadHash, type Pool, type RequestId, SystemClock, type WorkerId } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import type { StreamBegin } from '../versions/index.js'
import { StoreClient } from './StoreClient.js'
import { StoreEra } from './StoreEra.js'
import { streamTopic, StreamVersionTopics, versionTopic } from './StreamVersionTopics.js'
import { FakeStore } from './testing/FakeStore.js'
import { waitUntil } from './testing/platformTestSupport.js'

const pool = 'llm' as Pool
const request = 'r-1' as RequestId

let store: FakeStore
let hosts: StreamVersionTopics[]

async function createHost (): Promise<StreamVersionTopics> {
  const era = new StoreEra()
  const clock = new SystemClock()
  const createClient = (): StoreClient => new StoreClient(store.address, era)
  const host = new StreamVersionTopics({
    reader: createClient(), writer: createClient(), era, clock, events: discardingEventLog(clock), hash: await loadHash()
  })
  hosts.push(host)
  return host
}

function recordCount (): number {
  return Array.from({ length: 8 }, (_, partition) => store.recordCount(partition === 0 ? streamTopic : `${streamTopic}#${partition}`))
    .reduce((sum, count) => sum + count, 0)
}

function beginAt (version: string, worker: string): StreamBegin {
  return { pool, request, version, worker: worker as WorkerId }
}

beforeEach(async () => {
  store = await FakeStore.start()
  hosts = []
})

afterEach(async () => {
  for (const host of hosts) await host.stop()
  await store.stop()
})

// Guards against a second version under one name that is overlooked behind several begins at the first.
test.each([
  ['one version', ['v1', 'v1', 'v1'], ['v1']],
  ['a second version at the end', ['v1', 'v1', 'v2'], ['v1', 'v2']],
  ['a second version at the start', ['v2', 'v1', 'v1'], ['v1', 'v2']]
])('begins under one name at %s are read by all hosts', async (_name, versions, expected) => {
  const [writer, reader] = [await createHost(), await createHost()]
  for (const [number, version] of versions.entries()) {
    writer.publish([beginAt(version, `w${number}`)])
    await waitUntil(() => recordCount() === number + 1)
    await reader.readBegins({ pool, request })
  }
  for (const host of [writer, reader]) {
    const begins = (await host.readBegins({ pool, request })).unwrapOr([])
    expect([...new Set(begins.map(({ version }) => version))].sort()).toEqual(expected)
  }
})

// Guards against a registration that takes away what another host has registered meanwhile.
test('versions are registered only if no other host has registered any since the last read', async () => {
  const [first, second] = [await createHost(), await createHost()]
  await first.readRegistered()
  await second.readRegistered()
  expect((await first.register(pool, new Set(['v1']))).isOk).toBe(true)
  expect((await second.register(pool, new Set(['v2']))).isOk).toBe(false)
  expect([...(await second.readRegistered()).unwrapOr(new Map()).get(pool) ?? []]).toEqual(['v1'])
  expect((await second.register(pool, new Set(['v1', 'v2']))).isOk).toBe(true)
})

// Guards against records of other programs, and against a store that has dropped a part of its history.
test('odd records and dropped history do not hide the begins of other streams', async () => {
  const host = await createHost()
  for (const value of ['', '{', '{"pool":7}', JSON.stringify({ pool, version: 'x'.repeat(1000), worker: 'w' })]) {
    for (let partition = 0; partition < 8; partition += 1) store.write(partition === 0 ? streamTopic : `${streamTopic}#${partition}`, request, value)
  }
  store.write(versionTopic, pool, { versions: 'v1' })
  for (let partition = 0; partition < 8; partition += 1) store.compact(partition === 0 ? streamTopic : `${streamTopic}#${partition}`)
  const before = recordCount()
  host.publish([beginAt('v1', 'w1')])
  await waitUntil(() => recordCount() > before)
  expect((await host.readBegins({ pool, request })).unwrapOr([])).toEqual([beginAt('v1', 'w1')])
  expect((await host.readRegistered()).unwrapOr(new Map()).size).toBe(0)
})
