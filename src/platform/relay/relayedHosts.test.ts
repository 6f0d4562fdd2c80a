/**
 * Guards against hosts that read the store each for itself although others read the same, since each call is charged, and
 * against changes that do not arrive through a relay. The hosts and their connections are real, the store is a fake.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { loadHash, SystemClock, type Zone } from '../../common/index.js'
import { PlatformHost } from '../PlatformHost.js'
import { RelayChoice } from './RelayChoice.js'
import { FakeStore } from '../testing/FakeStore.js'
import { FakeWorker } from '../testing/FakeWorker.js'
import { configurationDocument, testSettings, unusedAddress, waitUntil } from '../testing/platformTestSupport.js'

const hostCount = 6
const changeCount = 8
const workerTopic = 'keyed.servers'

let store: FakeStore
let worker: FakeWorker
let hosts: PlatformHost[]
let peers: string[]

beforeEach(async () => {
  store = await FakeStore.start()
  worker = await FakeWorker.start('app-0')
  store.write('keyed.op', 'config', configurationDocument(1))
  hosts = []
})

afterEach(async () => {
  await Promise.all(hosts.map(async host => await host.close()))
  await worker.stop()
  await store.stop()
})

async function startHosts (relayReads: boolean): Promise<void> {
  peers = []
  for (let index = 0; index < hostCount; index += 1) {
    const address = await unusedAddress()
    peers.push(address)
    const settings = testSettings(store, { name: `host-${index}` }, { peers: address })
    settings.bounds.stableWindowMilliseconds = 4000
    settings.store.relayReads = relayReads
    hosts.push(await PlatformHost.create(settings))
  }
  await Promise.all(hosts.map(async host => await host.start()))
  await waitUntil(() => hosts.every(host => host.isReady))
}

/** Number of reads of a topic as a whole. A lost relay that counts as a lost store causes further ones. */
const wholeReads = (): number => store.calls.filter(call => call === 'GET /v1/log-newest').length

/** Adds workers one after the other, and waits until all hosts know each. Returns the number of reads of the topic. */
async function readsOfChanges (from: number): Promise<number> {
  const before = store.reads.length
  for (let change = from; change < from + changeCount; change += 1) {
    const id = `added-${change}`
    store.write(workerTopic, id, worker.createEntry('app'))
    await waitUntil(() => hosts.every(host => host.workers().some(known => known.id === id)))
  }
  return store.reads.slice(before).filter(({ topic }) => topic === workerTopic).length
}

test('six hosts that share reads make less than half of the calls for changes, and each learns every change, also after the relay ended', async () => {
  await startHosts(false)
  const unshared = await readsOfChanges(0)
  await Promise.all(hosts.map(async host => await host.close()))
  hosts = []
  const callsBefore = store.calls.length
  await startHosts(true)
  // The hosts have read who relays, and one of them polls with the short wait for the others.
  await waitUntil(() => store.calls.slice(callsBefore).filter(call => call.endsWith('/v1/log-owners')).length >= hostCount)
  await waitUntil(() => store.reads.slice(-8).every(({ waitMilliseconds }) => waitMilliseconds <= 1000))
  const shared = await readsOfChanges(changeCount)
  expect(shared).toBeLessThan(unshared / 2)
  const choice = new RelayChoice({ zone: 'zone-a' as Zone, clock: new SystemClock(), hash: await loadHash() })
  const relay = choice.choose(peers.map(address => ({ address, zone: 'zone-a' })))!
  await hosts.splice(peers.indexOf(relay.address), 1)[0]!.close()
  const wholeBefore = wholeReads()
  await readsOfChanges(2 * changeCount)
  expect(wholeReads()).toBe(wholeBefore)
}, 60_000)
