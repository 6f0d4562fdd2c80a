/**
 * Guards against two zones that follow each other during an outage of the log and never get the newer state
 * that a third zone has. Uses the real followers, with one host in each of three zones.
 */
import { afterEach, beforeAll, expect, test } from '@jest/globals'
import { failure, FailureError, type HostId } from '../common/index.js'
import { InMemoryLogClient } from '../clients/index.js'
import { type FollowerGroup, LogSource, RecordSource } from '../streams/index.js'
import { addText, advanceUntil, ChainFold, StreamFixture } from '../streams/testSupport.js'
import { type HostHash, loadHostHash, RelayDirectory, RelayTree } from './index.js'
import { listedHost } from './membershipTestSupport.js'

let hash: HostHash
beforeAll(async () => { hash = await loadHostHash() })

const fixture = new StreamFixture()
afterEach(() => fixture.stop())

const hosts = ['a', 'b', 'c'].map(zone => listedHost(`host-${zone}`, zone))
const groups = new Map<HostId, FollowerGroup>()

/** The records of another host, or of nobody where the network between the two is cut. */
class GroupSource extends RecordSource {
  constructor (readonly name: HostId, private readonly isCut: boolean) {
    super()
  }

  follow (...call: Parameters<RecordSource['follow']>): ReturnType<RecordSource['follow']> {
    const group = groups.get(this.name)
    if (this.isCut || group === undefined) throw new FailureError(failure('not_run', 'no connection'))
    return group.follow(...call)
  }
}

function startHost (index: number, log: InMemoryLogClient, cutFrom?: HostId): { fold: ChainFold, group: FollowerGroup } {
  const { clock } = fixture
  const self = hosts[index] as typeof hosts[number]
  const peers = new Map(hosts.filter(host => host !== self).map(host => [host.hostId, { host, state: 'live' as const }]))
  const directory = new RelayDirectory({
    view: () => ({ self, listVersion: 1, peers, tree: new RelayTree(hosts, { fanOut: 8, hash }) }),
    log: new LogSource({ log, clock, random: () => 0 }),
    peerSource: ({ hostId }) => new GroupSource(hostId, hostId === cutFrom),
    clock
  })
  const fold = new ChainFold()
  const group = fixture.group([fold], { directory, log })
  groups.set(self.hostId, group)
  return { fold, group }
}

test('newer state reaches all zones during an outage, also past zones that follow each other', async () => {
  const { clock } = fixture
  const common = new InMemoryLogClient(clock)
  const ofThird = new InMemoryLogClient(clock)
  for (const log of [common, ofThird]) log.appendFromElsewhere('configuration', addText(1, { id: '1' }))
  const first = startHost(0, common)
  // The second zone reaches only the first one.
  const second = startHost(1, common, hosts[2]?.hostId)
  const third = startHost(2, ofThird)
  const all = [first, second, third]
  await advanceUntil(clock, () => all.every(({ group }) => group.isReady))
  common.setOutage(true)
  await clock.advance(3000)
  ofThird.appendFromElsewhere('configuration', addText(2, { id: '2' }))
  await advanceUntil(clock, () => all.every(({ fold }) => fold.count === 2))
  expect(new Set(all.map(({ fold }) => fold.digest)).size).toBe(1)
})
