/**
 * Guards against two zones whose hosts follow each other during an outage of the log, so that neither receives the
 * newer state of a third zone. Runs real followers, with one host in each of three zones.
 */
import { afterEach, beforeAll, expect, test } from '@jest/globals'
import { failure, FailureError, type HostId } from '../common/index.js'
import { InMemoryLogClient } from '../clients/index.js'
import { type FollowerGroup, LogSource, RecordSource } from '../streams/index.js'
import { addText, advanceUntil, DigestProjection, StreamFixture } from '../streams/testSupport.js'
import { type HostHash, loadHostHash, RelayDirectory, RelayTree } from './index.js'
import { listedHost } from './membershipTestSupport.js'

let hash: HostHash
beforeAll(async () => { hash = await loadHostHash() })

const fixture = new StreamFixture()
afterEach(() => fixture.stop())

const hosts = ['a', 'b', 'c'].map(zone => listedHost(`host-${zone}`, zone))
const groups = new Map<HostId, FollowerGroup>()

/** A source backed by another host's follower group; fails if that host is unreachable or has not started. */
class GroupSource extends RecordSource {
  constructor (readonly name: HostId, private readonly isUnreachable: boolean) {
    super()
  }

  follow (...call: Parameters<RecordSource['follow']>): ReturnType<RecordSource['follow']> {
    const group = groups.get(this.name)
    if (this.isUnreachable || group === undefined) throw new FailureError(failure('not_run', 'no connection'))
    return group.follow(...call)
  }
}

function startHost (
  index: number,
  log: InMemoryLogClient,
  unreachableHost?: HostId
): { projection: DigestProjection, group: FollowerGroup } {
  const { clock } = fixture
  const self = hosts[index] as typeof hosts[number]
  const peers = new Map(hosts.filter(host => host !== self).map(host => [host.hostId, { host, state: 'live' as const }]))
  const directory = new RelayDirectory({
    view: () => ({ self, listVersion: 1, peers, tree: new RelayTree(hosts, { fanOut: 8, hash }) }),
    log: new LogSource({ log, clock, random: () => 0 }),
    peerSource: ({ hostId }) => new GroupSource(hostId, hostId === unreachableHost),
    clock
  })
  const projection = new DigestProjection()
  const group = fixture.startGroup([projection], { directory, log })
  groups.set(self.hostId, group)
  return { projection, group }
}

test('during an outage of the log, the newer state of one zone reaches all zones, also indirectly through another zone', async () => {
  const { clock } = fixture
  const sharedLog = new InMemoryLogClient(clock)
  const thirdZoneLog = new InMemoryLogClient(clock)
  for (const log of [sharedLog, thirdZoneLog]) log.appendFromOtherWriter('configuration', addText(1, { id: '1' }))
  const first = startHost(0, sharedLog)
  // The second zone's host cannot reach the third zone's host, so it receives the newer state only through the first zone's host.
  const second = startHost(1, sharedLog, hosts[2]?.hostId)
  const third = startHost(2, thirdZoneLog)
  const all = [first, second, third]
  await advanceUntil(clock, () => all.every(({ group }) => group.isReady))
  sharedLog.setOutage(true)
  await clock.advance(3000)
  thirdZoneLog.appendFromOtherWriter('configuration', addText(2, { id: '2' }))
  await advanceUntil(clock, () => all.every(({ projection }) => projection.count === 2))
  expect(new Set(all.map(({ projection }) => projection.digest)).size).toBe(1)
})
