/**
 * Guards against hosts that are believed alive though silent, or gone though alive, when the platform's list
 * lags, loses an entry or cannot be read, and against a replaced host that is taken for its predecessor.
 */
import { afterEach, beforeAll, beforeEach, expect, test } from '@jest/globals'
import { failure, ManualClock } from '../common/index.js'
import { Result } from 'true-myth'
import { recordedLog } from '../peers/peerTestSupport.js'
import type { ListedHost } from '../clients/index.js'
import { hostSettingsSchema } from '../settings/index.js'
import { type HostHash, loadHostHash, type MembershipChange, MembershipManager } from './index.js'
import { listedHost, MemoryHostList, MemoryPeers } from './membershipTestSupport.js'

let hash: HostHash
beforeAll(async () => { hash = await loadHostHash() })

const settings = hostSettingsSchema.shape.membership.parse({})

/** Hosts of one zone in tree order: the first one is the parent of all others. */
function zoneOf (count: number): ListedHost[] {
  const hosts = Array.from({ length: count }, (_, index) => listedHost(`host-${index}`))
  return hosts.sort((left, right) => hash(left.hostId) < hash(right.hostId) ? -1 : 1)
}

let clock: ManualClock
let list: MemoryHostList
let peers: MemoryPeers
let running: MembershipManager[]
let changes: MembershipChange[]
beforeEach(() => {
  clock = new ManualClock()
  list = new MemoryHostList()
  peers = new MemoryPeers()
  running = []
  changes = []
})
afterEach(async () => { for (const manager of running) await manager.stop() })

async function startAt (self: ListedHost): Promise<MembershipManager> {
  const status = (): { ready: boolean, draining: boolean } => ({ ready: true, draining: false })
  const { log } = recordedLog(self.hostId)
  const manager = new MembershipManager({ self, list, pool: peers, clock, log, settings, hash, status })
  manager.onChange(change => { changes.push(change) })
  manager.start()
  running.push(manager)
  await clock.advance(0)
  return manager
}

/** Starts the last host of a zone of three, whose parent is the first one. */
async function startChild (): Promise<{ manager: MembershipManager, parent: ListedHost, sibling: ListedHost, self: ListedHost }> {
  const [parent, sibling, self] = zoneOf(3) as [ListedHost, ListedHost, ListedHost]
  list.show(parent, sibling, self)
  peers.add(parent, sibling)
  const manager = await startAt(self)
  await clock.advance(2000)
  return { manager, parent, sibling, self }
}

test('heartbeats go to parent, grandparent and up to three siblings only', async () => {
  const hosts = zoneOf(40)
  list.show(...hosts)
  peers.add(...hosts)
  const self = hosts[20] as ListedHost
  const manager = await startAt(self)
  await clock.advance(1000)
  const { tree } = manager.view()
  const expected = [...tree.ancestorsOf(self), ...tree.siblingsOf(self, 3)].map(({ hostId }) => hostId)
  expect(new Set(peers.called)).toEqual(new Set(expected))
  expect(expected).toHaveLength(5)
})

test('a neighbour that does not answer is silent after 3 s and live again at its next answer', async () => {
  const { manager, parent } = await startChild()
  peers.present.delete(parent.addresses.peers)
  await clock.advance(2000)
  expect(manager.stateOf(parent)).toBe('live')
  await clock.advance(1500)
  expect(manager.stateOf(parent)).toBe('silent')
  peers.add(parent)
  await clock.advance(1000)
  expect(manager.stateOf(parent)).toBe('live')
})

test('a neighbour whose heartbeat call hangs becomes silent', async () => {
  const { manager, parent } = await startChild()
  peers.heartbeat = (_target, options) => new Promise(resolve => {
    options?.signal?.addEventListener('abort', () => resolve(Result.err(failure('cancelled', 'stopped'))))
  })
  await clock.advance(4000)
  expect(manager.stateOf(parent)).toBe('silent')
})

test('a child that called is silent when its calls stop; children that never called and other hosts are not judged', async () => {
  const [self, child, other] = zoneOf(3) as [ListedHost, ListedHost, ListedHost]
  const stranger = listedHost('stranger', 'y')
  list.show(self, child, other, stranger)
  const manager = await startAt(self)
  const callFrom = async (sender: ListedHost): Promise<void> => {
    await manager.answerHeartbeat({ sender, expectedIncarnation: '' }, { sender, signal: new AbortController().signal })
  }
  await callFrom(child)
  await callFrom(stranger)
  await clock.advance(4000)
  expect([child, other, stranger].map(host => manager.stateOf(host))).toEqual(['silent', 'live', 'live'])
  expect(changes.filter(({ to }) => to === 'silent').map(({ hostId }) => hostId)).toEqual([child.hostId])
  await callFrom(child)
  expect(manager.stateOf(child)).toBe('live')
})

test('another start at the address of a peer replaces it before the list knows', async () => {
  const { manager, parent } = await startChild()
  const successor = listedHost(parent.hostId, 'z', '2')
  peers.add(successor)
  await clock.advance(1000)
  expect([manager.stateOf(parent), manager.stateOf(successor)]).toEqual(['gone', 'live'])
  // The list still shows the old start; it must not come back.
  await clock.advance(6000)
  expect([manager.stateOf(parent), manager.stateOf(successor)]).toEqual(['gone', 'live'])
  expect(changes.filter(({ reason }) => reason === 'replaced').map(({ to }) => to)).toEqual(['gone', 'live'])
})

test('a host of another name at the address of a peer ends the peer', async () => {
  const { manager, parent } = await startChild()
  peers.present.set(parent.addresses.peers, listedHost('newcomer', 'z', '2'))
  await clock.advance(1000)
  expect(manager.stateOf(parent)).toBe('gone')
  expect(peers.released).toContain(parent.hostId)
})

test('a new start on the list replaces the old one', async () => {
  const { manager, parent, sibling, self } = await startChild()
  const successor = listedHost(parent.hostId, 'z', '2')
  peers.add(successor)
  list.show(successor, sibling, self)
  await clock.advance(2000)
  expect([manager.stateOf(parent), manager.stateOf(successor)]).toEqual(['gone', 'live'])
})

test('a host that the list lacks for one read is kept while it answers, and gone after two', async () => {
  const { manager, parent, sibling, self } = await startChild()
  list.show(sibling, self)
  await clock.advance(2000)
  expect(manager.stateOf(parent)).toBe('live')
  list.show(parent, sibling, self)
  await clock.advance(2000)
  expect(changes.some(({ to }) => to === 'gone')).toBe(false)
  list.show(sibling, self)
  await clock.advance(4000)
  expect(manager.stateOf(parent)).toBe('gone')
})

test('a host that the list lacks and that does not answer is gone at once, and may come back', async () => {
  const { manager, parent, sibling, self } = await startChild()
  peers.present.delete(parent.addresses.peers)
  await clock.advance(3000)
  list.show(sibling, self)
  await clock.advance(2000)
  expect(manager.stateOf(parent)).toBe('gone')
  list.show(parent, sibling, self)
  await clock.advance(2000)
  expect(manager.stateOf(parent)).toBe('live')
})

test('an unreadable list leaves the view as it is', async () => {
  const { manager, parent, sibling } = await startChild()
  list.isAvailable = false
  await clock.advance(60_000)
  expect([manager.stateOf(parent), manager.stateOf(sibling)]).toEqual(['live', 'live'])
})

test('the list is read with the version that is known', async () => {
  await startChild()
  await clock.advance(4000)
  expect(list.readVersions.at(-1)).toBe(list.readVersions.at(-2))
  expect(list.readVersions.at(-1)).toBeDefined()
})

test('a peer that drains is leaving before the list says so and no longer a parent', async () => {
  const { manager, parent, self } = await startChild()
  peers.present.set(parent.addresses.peers, { ...parent, draining: true })
  await clock.advance(1000)
  expect(manager.stateOf(parent)).toBe('leaving')
  expect(manager.view().tree.ancestorsOf(self)).not.toContain(parent)
})

test('a host registers with retries, leaves with retries, and removes itself at the end', async () => {
  list.isAvailable = false
  const self = listedHost('alone')
  const manager = await startAt(self)
  await clock.advance(5000)
  expect(list.registered).toEqual([])
  list.isAvailable = true
  await clock.advance(1000)
  expect(list.registered.map(({ state }) => state)).toEqual(['live'])
  list.isAvailable = false
  manager.leave()
  await clock.advance(3000)
  list.isAvailable = true
  await clock.advance(1000)
  expect(list.registered.map(({ state }) => state)).toEqual(['live', 'leaving'])
  await manager.stop()
  expect(list.hosts.size).toBe(0)
})

test('a host that the list lost registers again', async () => {
  const self = listedHost('alone')
  await startAt(self)
  await clock.advance(3000)
  list.show()
  await clock.advance(11_000)
  expect(list.registered).toHaveLength(2)
})
