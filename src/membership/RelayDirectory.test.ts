/**
 * Guards against followers that stay cut off: at a silent parent, at a source that is behind them, at one
 * that gets nothing new during an outage of the log, or away from the log after the outage.
 */
import { beforeAll, beforeEach, expect, test } from '@jest/globals'
import { failure, FailureError, type HostId, ManualClock, type Offset, toOffset } from '../common/index.js'
import type { ListedHost, StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from '../streams/RecordSource.js'
import { type HostHash, loadHostHash, type Peer, type PeerState, RelayDirectory, RelayTree } from './index.js'
import { listedHost } from './membershipTestSupport.js'

let hash: HostHash
beforeAll(async () => { hash = await loadHostHash() })

/** Sends a heartbeat each second, with the offset that the test sets; fails at `undefined`. */
class BeatingSource extends RecordSource {
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
  const zone = (name: string, count: number): ListedHost[] => Array.from({ length: count })
    .map((_, index) => listedHost(`${name}-${index}`, name))
    .sort((left, right) => hash(left.hostId) < hash(right.hostId) ? -1 : 1)
  hosts = [...zone('a', 20), ...zone('b', 2), ...zone('c', 2)]
  states = new Map()
  nextOffsets = new Map([['log', 10], ...hosts.map(({ hostId }): [string, number] => [hostId, 10])])
})

/** The directory of the host at the given position in zone `a`. */
function directoryAt (position: number): RelayDirectory {
  const self = hosts[position] as ListedHost
  const tree = (): RelayTree<ListedHost> => new RelayTree(hosts, { fanOut: 4, hash })
  const peers = (): Map<HostId, Peer> => new Map(hosts.filter(host => host !== self)
    .map(host => [host.hostId, { host, state: states.get(host.hostId) ?? 'live' }]))
  return new RelayDirectory({
    view: () => ({ self, listVersion: 1, peers: peers(), tree: tree() }),
    log: new BeatingSource('log', clock, () => nextOffsets.get('log')),
    peerSource: ({ hostId }) => new BeatingSource(hostId, clock, () => nextOffsets.get(hostId)),
    clock
  })
}

function namesOf (directory: RelayDirectory): string[] {
  return directory.sources().map(({ name }) => name)
}

const idAt = (position: number): HostId => (hosts[position] as ListedHost).hostId

/** Follows as a follower does, choosing anew after each failure, and notes the sources that it uses in turn. */
class Follower {
  readonly used: string[] = []
  private readonly controller = new AbortController()
  private readonly ended: Promise<void>

  constructor (private readonly directory: RelayDirectory, private readonly from: number) {
    this.ended = this.run()
  }

  /** Lets time pass. The first step lets the follower reach its first wait; the clock would jump over it otherwise. */
  async pass (seconds: number): Promise<void> {
    await clock.advance(0)
    await clock.advance(seconds * 1000)
  }

  async stop (): Promise<string[]> {
    this.controller.abort()
    await this.ended
    return this.used
  }

  private async run (): Promise<void> {
    while (!this.controller.signal.aborted) {
      const source = this.directory.sources()[0] as RecordSource
      if (this.used.at(-1) !== source.name) this.used.push(source.name)
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

async function follow (directory: RelayDirectory, from: number, seconds: number): Promise<string[]> {
  const follower = new Follower(directory, from)
  await follower.pass(seconds)
  return await follower.stop()
}

test('order of a host below the first one: ancestors, the log, first hosts of the other zones', () => {
  expect(namesOf(directoryAt(9))).toEqual([idAt(2), idAt(0), 'log', idAt(20), idAt(22)])
})

test('order of a zone\'s first host: the log, first hosts of the other zones', () => {
  expect(namesOf(directoryAt(0))).toEqual(['log', idAt(20), idAt(22)])
})

test('silent peers are passed over', () => {
  states.set(idAt(2), 'silent').set(idAt(20), 'silent')
  expect(namesOf(directoryAt(9))).toEqual([idAt(0), 'log', idAt(22)])
})

test('a follower stays at its parent while the parent works', async () => {
  expect(await follow(directoryAt(9), 10, 60)).toEqual([idAt(2)])
})

test('a source that is behind its follower is left after 3 s, and a source at the same offset is not', async () => {
  nextOffsets.set(idAt(2), 9)
  expect(await follow(directoryAt(9), 10, 4)).toEqual([idAt(2), idAt(0)])
})

test('a source that catches up in time is kept', async () => {
  nextOffsets.set(idAt(2), 9)
  const follower = new Follower(directoryAt(9), 10)
  await follower.pass(2)
  nextOffsets.set(idAt(2), 10)
  await follower.pass(10)
  expect(await follower.stop()).toEqual([idAt(2)])
})

test('a host that is no longer an ancestor is left for the new parent', async () => {
  const self = hosts[9] as ListedHost
  const follower = new Follower(directoryAt(9), 10)
  await follower.pass(20)
  const [newcomer] = Array.from({ length: 1000 }, (_, index) => listedHost(`x-${index}`, 'a'))
    .filter(host => new RelayTree([...hosts, host], { fanOut: 4, hash }).parentOf(self) !== hosts[2])
  hosts.push(newcomer as ListedHost)
  const parent = new RelayTree(hosts, { fanOut: 4, hash }).parentOf(self) as ListedHost
  nextOffsets.set(parent.hostId, 10)
  await follower.pass(6)
  expect(await follower.stop()).toEqual([idAt(2), parent.hostId])
})

test('an ancestor further up is not left while it works', async () => {
  states.set(idAt(2), 'silent')
  const follower = new Follower(directoryAt(9), 10)
  await follower.pass(5)
  states.set(idAt(2), 'live')
  await follower.pass(20)
  expect(await follower.stop()).toEqual([idAt(0)])
})

test('during an outage of the log a first host visits all other zones in turn, and then returns to the log', async () => {
  nextOffsets.set('log', undefined)
  const follower = new Follower(directoryAt(0), 10)
  await follower.pass(25)
  expect(follower.used.slice(0, 6)).toEqual(['log', idAt(20), 'log', idAt(22), 'log', idAt(20)])
  nextOffsets.set('log', 10)
  await follower.pass(20)
  expect((await follower.stop()).at(-1)).toBe('log')
})

test('a source that the follower gave up as silent is tried last', async () => {
  const directory = directoryAt(0)
  const controller = new AbortController()
  const silent = directory.sources()[0] as RecordSource
  const messages = silent.follow('configuration', toOffset(10), controller.signal)[Symbol.asyncIterator]()
  await messages.next()
  clock.sleep = () => new Promise(resolve => controller.signal.addEventListener('abort', () => resolve()))
  const waiting = messages.next()
  await clock.advance(3500)
  controller.abort()
  await waiting
  expect(namesOf(directory).at(-1)).toBe('log')
})
