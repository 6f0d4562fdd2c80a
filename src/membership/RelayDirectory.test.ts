/**
 * Guards against followers that receive nothing new because they stay at a silent parent, at a source that is behind
 * them, at a source without new records during an outage of the log, or at another zone after the outage.
 */
import { beforeAll, beforeEach, expect, test } from '@jest/globals'
import { failure, FailureError, type HostId, ManualClock, type Offset, toOffset } from '../common/index.js'
import type { ListedHost, StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from '../streams/RecordSource.js'
import { type HostHash, loadHostHash, type Peer, type PeerState, RelayDirectory, RelayTree } from './index.js'
import { listedHost } from './membershipTestSupport.js'

let hash: HostHash
beforeAll(async () => { hash = await loadHostHash() })

/** Sends a heartbeat every second with the offset that the test sets; fails while the offset is `undefined`. */
class HeartbeatSource extends RecordSource {
  constructor (
    readonly name: string, private readonly clock: ManualClock, private readonly nextOffset: () => number | undefined
  ) {
    super()
  }

  async * follow (_stream: StreamName, _from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    while (!signal.aborted) {
      const next = this.nextOffset()
      if (next === undefined) throw new FailureError(failure('platform_unavailable', 'outage'))
      yield { kind: 'heartbeat', nextOffset: toOffset(next) }
      await this.clock.sleep(1000, signal)
    }
  }
}

let clock: ManualClock
let hosts: ListedHost[]
let states: Map<HostId, PeerState>
let nextOffsets: Map<string, number | undefined>
beforeEach(() => {
  clock = new ManualClock()
  const createZone = (name: string, count: number): ListedHost[] => Array.from({ length: count })
    .map((_, index) => listedHost(`${name}-${index}`, name))
    .sort((left, right) => hash(left.hostId) < hash(right.hostId) ? -1 : 1)
  hosts = [...createZone('a', 20), ...createZone('b', 2), ...createZone('c', 2)]
  states = new Map()
  nextOffsets = new Map([['log', 10], ...hosts.map(({ hostId }): [string, number] => [hostId, 10])])
})

/** Creates the directory of the host at the given position in zone `a`. */
function directoryAt (position: number): RelayDirectory {
  const self = hosts[position] as ListedHost
  const tree = (): RelayTree<ListedHost> => new RelayTree(hosts, { fanOut: 4, hash })
  const peers = (): Map<HostId, Peer> => new Map(hosts.filter(host => host !== self)
    .map(host => [host.hostId, { host, state: states.get(host.hostId) ?? 'live' }]))
  return new RelayDirectory({
    view: () => ({ self, listVersion: 1, peers: peers(), tree: tree() }),
    log: new HeartbeatSource('log', clock, () => nextOffsets.get('log')),
    peerSource: ({ hostId }) => new HeartbeatSource(hostId, clock, () => nextOffsets.get(hostId)),
    clock
  })
}

function sourceNamesOf (directory: RelayDirectory): string[] {
  return directory.sources().map(({ name }) => name)
}

const hostIdAt = (position: number): HostId => (hosts[position] as ListedHost).hostId

/** Follows the first source of the directory, chooses a source again after each failure, and records the sources it used. */
class RecordingFollower {
  readonly usedSources: string[] = []
  private readonly controller = new AbortController()
  private readonly ended: Promise<void>

  constructor (private readonly directory: RelayDirectory, private readonly from: number) {
    this.ended = this.run()
  }

  /** Advances the clock. A first step of 0 ms lets the follower reach its next wait, which the clock would skip otherwise. */
  async advance (seconds: number): Promise<void> {
    await clock.advance(0)
    await clock.advance(seconds * 1000)
  }

  async stop (): Promise<string[]> {
    this.controller.abort()
    await this.ended
    return this.usedSources
  }

  private async run (): Promise<void> {
    while (!this.controller.signal.aborted) {
      const source = this.directory.sources()[0] as RecordSource
      if (this.usedSources.at(-1) !== source.name) this.usedSources.push(source.name)
      await this.followOne(source)
      await new Promise(resolve => setImmediate(resolve))
    }
  }

  private async followOne (source: RecordSource): Promise<void> {
    try {
      for await (const message of source.follow('configuration', toOffset(this.from), this.controller.signal)) {
        if (message.kind !== 'heartbeat') throw new Error('unexpected message')
      }
    } catch (caught) {
      if (!(caught instanceof FailureError)) throw caught
    }
  }
}

async function followFor (directory: RelayDirectory, from: number, seconds: number): Promise<string[]> {
  const follower = new RecordingFollower(directory, from)
  await follower.advance(seconds)
  return await follower.stop()
}

test('a host below its zone\'s first host prefers its ancestors, then the log, then the first hosts of the other zones', () => {
  expect(sourceNamesOf(directoryAt(9))).toEqual([hostIdAt(2), hostIdAt(0), 'log', hostIdAt(20), hostIdAt(22)])
})

test('a zone\'s first host prefers the log, then the first hosts of the other zones', () => {
  expect(sourceNamesOf(directoryAt(0))).toEqual(['log', hostIdAt(20), hostIdAt(22)])
})

test('silent peers are not among the sources', () => {
  states.set(hostIdAt(2), 'silent').set(hostIdAt(20), 'silent')
  expect(sourceNamesOf(directoryAt(9))).toEqual([hostIdAt(0), 'log', hostIdAt(22)])
})

test('a follower stays at its parent without a time limit while the parent sends messages', async () => {
  expect(await followFor(directoryAt(9), 10, 60)).toEqual([hostIdAt(2)])
})

test('a source that is behind its follower for 3 s is abandoned; a source at the follower\'s offset replaces it and is kept', async () => {
  nextOffsets.set(hostIdAt(2), 9)
  expect(await followFor(directoryAt(9), 10, 4)).toEqual([hostIdAt(2), hostIdAt(0)])
})

test('a source that is behind its follower and catches up within 2 s is kept', async () => {
  nextOffsets.set(hostIdAt(2), 9)
  const follower = new RecordingFollower(directoryAt(9), 10)
  await follower.advance(2)
  nextOffsets.set(hostIdAt(2), 10)
  await follower.advance(10)
  expect(await follower.stop()).toEqual([hostIdAt(2)])
})

test('a follower switches from its former parent to its new parent within 6 s', async () => {
  const self = hosts[9] as ListedHost
  const follower = new RecordingFollower(directoryAt(9), 10)
  await follower.advance(20)
  const [addedHost] = Array.from({ length: 1000 }, (_, index) => listedHost(`x-${index}`, 'a'))
    .filter(host => new RelayTree([...hosts, host], { fanOut: 4, hash }).parentOf(self) !== hosts[2])
  hosts.push(addedHost as ListedHost)
  const parent = new RelayTree(hosts, { fanOut: 4, hash }).parentOf(self) as ListedHost
  nextOffsets.set(parent.hostId, 10)
  await follower.advance(6)
  expect(await follower.stop()).toEqual([hostIdAt(2), parent.hostId])
})

test('an ancestor above the parent is used without a time limit while it sends messages', async () => {
  states.set(hostIdAt(2), 'silent')
  const follower = new RecordingFollower(directoryAt(9), 10)
  await follower.advance(5)
  states.set(hostIdAt(2), 'live')
  await follower.advance(20)
  expect(await follower.stop()).toEqual([hostIdAt(0)])
})

test('during an outage of the log, a zone\'s first host visits all other zones in turn; after the outage the host returns to the log', async () => {
  nextOffsets.set('log', undefined)
  const follower = new RecordingFollower(directoryAt(0), 10)
  await follower.advance(25)
  expect(follower.usedSources.slice(0, 6)).toEqual(['log', hostIdAt(20), 'log', hostIdAt(22), 'log', hostIdAt(20)])
  nextOffsets.set('log', 10)
  await follower.advance(20)
  expect((await follower.stop()).at(-1)).toBe('log')
})

test('a source that the follower abandoned because of silence is tried last', async () => {
  const directory = directoryAt(0)
  const controller = new AbortController()
  const logAsSource = directory.sources()[0] as RecordSource
  const messages = logAsSource.follow('configuration', toOffset(10), controller.signal)[Symbol.asyncIterator]()
  await messages.next()
  clock.sleep = () => new Promise(resolve => controller.signal.addEventListener('abort', () => resolve()))
  const waiting = messages.next()
  await clock.advance(3500)
  controller.abort()
  await waiting
  expect(sourceNamesOf(directory).at(-1)).toBe('log')
})
