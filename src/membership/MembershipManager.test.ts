/**
 * Guards against silent hosts that count as live, and live hosts that count as gone, while the platform's list lags,
 * omits an entry or cannot be read. Also guards against confusing a host with the incarnation that it replaced.
 */
import { afterEach, beforeAll, beforeEach, expect, test } from '@jest/globals'
import { failure, ManualClock } from '../common/index.js'
import { Result } from 'true-myth'
import { createRecordingLog } from '../peers/peerTestSupport.js'
import type { ListedHost } from '../clients/index.js'
import { hostSettingsSchema } from '../settings/index.js'
import { type HostHash, loadHostHash, type MembershipChange, MembershipManager } from './index.js'
import { listedHost, MemoryHostList, MemoryPeers } from './membershipTestSupport.js'

let hash: HostHash
beforeAll(async () => { hash = await loadHostHash() })

const settings = hostSettingsSchema.shape.membership.parse({})

/** Hosts of one zone in tree order: the first host is the root. */
function createZone (count: number): ListedHost[] {
  const hosts = Array.from({ length: count }, (_, index) => listedHost(`host-${index}`))
  return hosts.sort((left, right) => hash(left.hostId) < hash(right.hostId) ? -1 : 1)
}

let clock: ManualClock
let list: MemoryHostList
let peers: MemoryPeers
let startedManagers: MembershipManager[]
let changes: MembershipChange[]
beforeEach(() => {
  clock = new ManualClock()
  list = new MemoryHostList()
  peers = new MemoryPeers()
  startedManagers = []
  changes = []
})
afterEach(async () => { for (const manager of startedManagers) await manager.stop() })

async function startManager (self: ListedHost): Promise<MembershipManager> {
  const status = (): { ready: boolean, draining: boolean } => ({ ready: true, draining: false })
  const { events } = createRecordingLog(self.hostId)
  const manager = new MembershipManager({ self, list, peerPool: peers, clock, events, settings, hash, status })
  manager.onChange(change => { changes.push(change) })
  manager.start()
  startedManagers.push(manager)
  await clock.advance(0)
  return manager
}

/** Starts the third of three hosts in a zone; the first is its parent and the second its sibling. */
async function startChild (): Promise<{ manager: MembershipManager, parent: ListedHost, sibling: ListedHost, self: ListedHost }> {
  const [parent, sibling, self] = createZone(3) as [ListedHost, ListedHost, ListedHost]
  list.setHosts(parent, sibling, self)
  peers.addResponders(parent, sibling)
  const manager = await startManager(self)
  await clock.advance(2000)
  return { manager, parent, sibling, self }
}

test('a host sends heartbeats to its parent, its grandparent and three siblings only', async () => {
  const hosts = createZone(40)
  list.setHosts(...hosts)
  peers.addResponders(...hosts)
  const self = hosts[20] as ListedHost
  const manager = await startManager(self)
  await clock.advance(1000)
  const { tree } = manager.view()
  const expected = [...tree.ancestorsOf(self), ...tree.siblingsOf(self, 3)].map(({ hostId }) => hostId)
  expect(new Set(peers.calledHostIds)).toEqual(new Set(expected))
  expect(expected).toHaveLength(5)
})

test('a neighbour that does not respond becomes silent after 3 s, and live with its next response', async () => {
  const { manager, parent } = await startChild()
  peers.responders.delete(parent.addresses.peers)
  await clock.advance(2000)
  expect(manager.stateOf(parent)).toBe('live')
  await clock.advance(1500)
  expect(manager.stateOf(parent)).toBe('silent')
  peers.addResponders(parent)
  await clock.advance(1000)
  expect(manager.stateOf(parent)).toBe('live')
})

test('a neighbour becomes silent even while a heartbeat call to it still waits for a response', async () => {
  const { manager, parent } = await startChild()
  peers.heartbeat = (_target, options) => new Promise(resolve => {
    options?.signal?.addEventListener('abort', () => resolve(Result.err(failure('cancelled', 'stopped'))))
  })
  await clock.advance(4000)
  expect(manager.stateOf(parent)).toBe('silent')
})

test('a child becomes silent when its heartbeats stop; children that never sent one and hosts of other zones stay live', async () => {
  const [self, child, other] = createZone(3) as [ListedHost, ListedHost, ListedHost]
  const otherZoneHost = listedHost('stranger', 'y')
  list.setHosts(self, child, other, otherZoneHost)
  const manager = await startManager(self)
  const callFrom = async (sender: ListedHost): Promise<void> => {
    await manager.answerHeartbeat({ sender, expectedIncarnation: '' }, { sender, signal: new AbortController().signal })
  }
  await callFrom(child)
  await callFrom(otherZoneHost)
  await clock.advance(4000)
  expect([child, other, otherZoneHost].map(host => manager.stateOf(host))).toEqual(['silent', 'live', 'live'])
  expect(changes.filter(({ to }) => to === 'silent').map(({ hostId }) => hostId)).toEqual([child.hostId])
  await callFrom(child)
  expect(manager.stateOf(child)).toBe('live')
})

test('a new incarnation that responds at a peer\'s address replaces the peer before the list shows the new incarnation', async () => {
  const { manager, parent } = await startChild()
  const successor = listedHost(parent.hostId, 'z', '2')
  peers.addResponders(successor)
  await clock.advance(1000)
  expect([manager.stateOf(parent), manager.stateOf(successor)]).toEqual(['gone', 'live'])
  // The list still shows the old incarnation, which must not become live again.
  await clock.advance(6000)
  expect([manager.stateOf(parent), manager.stateOf(successor)]).toEqual(['gone', 'live'])
  expect(changes.filter(({ reason }) => reason === 'replaced').map(({ to }) => to)).toEqual(['gone', 'live'])
})

test('when another host responds at a peer\'s address, the peer is gone and the channel to the peer is released', async () => {
  const { manager, parent } = await startChild()
  peers.responders.set(parent.addresses.peers, listedHost('newcomer', 'z', '2'))
  await clock.advance(1000)
  expect(manager.stateOf(parent)).toBe('gone')
  expect(peers.releasedHostIds).toContain(parent.hostId)
})

test('a new incarnation on the list replaces the old one', async () => {
  const { manager, parent, sibling, self } = await startChild()
  const successor = listedHost(parent.hostId, 'z', '2')
  peers.addResponders(successor)
  list.setHosts(successor, sibling, self)
  await clock.advance(2000)
  expect([manager.stateOf(parent), manager.stateOf(successor)]).toEqual(['gone', 'live'])
})

test('a host that answers heartbeats stays live if one read of the list omits it, and is gone after two such reads in a row', async () => {
  const { manager, parent, sibling, self } = await startChild()
  list.setHosts(sibling, self)
  await clock.advance(2000)
  expect(manager.stateOf(parent)).toBe('live')
  list.setHosts(parent, sibling, self)
  await clock.advance(2000)
  expect(changes.some(({ to }) => to === 'gone')).toBe(false)
  list.setHosts(sibling, self)
  await clock.advance(4000)
  expect(manager.stateOf(parent)).toBe('gone')
})

test('a silent host is gone if one read of the list omits it, and live again when the list contains it again', async () => {
  const { manager, parent, sibling, self } = await startChild()
  peers.responders.delete(parent.addresses.peers)
  await clock.advance(3000)
  list.setHosts(sibling, self)
  await clock.advance(2000)
  expect(manager.stateOf(parent)).toBe('gone')
  list.setHosts(parent, sibling, self)
  await clock.advance(2000)
  expect(manager.stateOf(parent)).toBe('live')
})

test('peers stay live while the list cannot be read', async () => {
  const { manager, parent, sibling } = await startChild()
  list.isAvailable = false
  await clock.advance(60_000)
  expect([manager.stateOf(parent), manager.stateOf(sibling)]).toEqual(['live', 'live'])
})

test('the list is read with the version of the previous read', async () => {
  await startChild()
  await clock.advance(4000)
  expect(list.readVersions.at(-1)).toBe(list.readVersions.at(-2))
  expect(list.readVersions.at(-1)).toBeDefined()
})

test('a peer that reports draining is leaving, and no longer a parent, before the list shows it as leaving', async () => {
  const { manager, parent, self } = await startChild()
  peers.responders.set(parent.addresses.peers, { ...parent, draining: true })
  await clock.advance(1000)
  expect(manager.stateOf(parent)).toBe('leaving')
  expect(manager.view().tree.ancestorsOf(self)).not.toContain(parent)
})

test('a host retries to register and to mark itself as leaving, and removes its entry when it stops', async () => {
  list.isAvailable = false
  const self = listedHost('alone')
  const manager = await startManager(self)
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

test('a host whose entry is missing from the list registers again', async () => {
  const self = listedHost('alone')
  await startManager(self)
  await clock.advance(3000)
  list.setHosts()
  await clock.advance(11_000)
  expect(list.registered).toHaveLength(2)
})
