/**
 * Guards against changes that a host learns too late or never because its relay froze, was cut off or fell silent, against
 * calls to the store that relays should save, and against a lost relay that counts as a lost store. Times are those of a
 * manual clock.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { RelayReader } from './RelayReader.js'
import { RelayNetwork, type TestHost } from './testing/RelayNetwork.js'

let network: RelayNetwork
let relay: TestHost
let secondRelay: TestHost
let reader: TestHost

/** Time within which a host has to know a change after the store acknowledged it, in milliseconds. */
const learnMilliseconds = 3000

beforeEach(async () => {
  network = new RelayNetwork();
  [relay, secondRelay, reader] = await network.start(['relay-1', 'relay-2', 'reader-3'], ['relay-1', 'relay-2']) as [TestHost, TestHost, TestHost]
})

afterEach(async () => { await network.stop() })

/** Counts what happens from now on. */
function countFrom (host: TestHost): { storeReads: () => number, wholeReads: () => number, sources: () => string[] } {
  const [reads, whole, sources] = [host.storeReads.length, host.wholeReads, host.sources.length]
  return {
    storeReads: () => host.storeReads.length - reads,
    wholeReads: () => host.wholeReads - whole,
    sources: () => host.sources.slice(sources)
  }
}

describe('hosts that share a relay', () => {
  test('do not call the store at rest, and the relay calls it once a second', async () => {
    const [atReader, atSecond, atRelay] = [countFrom(reader), countFrom(secondRelay), countFrom(relay)]
    await network.clock.advance(20_000)
    expect([atReader.storeReads(), atSecond.storeReads()]).toEqual([0, 0])
    expect(atRelay.storeReads()).toBeLessThanOrEqual(21)
  })

  test('learn a change within half a second, with at most four calls of the relay', async () => {
    const atRelay = countFrom(relay)
    network.topic.write('config')
    await network.clock.advance(500)
    expect([relay, secondRelay, reader].map(host => host.received)).toEqual([['config'], ['config'], ['config']])
    expect(atRelay.storeReads()).toBeLessThanOrEqual(4)
  })

  test('learn each of many changes once and in order', async () => {
    const keys = Array.from({ length: 50 }, (_, index) => `key-${index}`)
    for (const key of keys) {
      network.topic.write(key)
      await network.clock.advance(37)
    }
    await network.clock.advance(1000)
    expect([reader.received, secondRelay.received, relay.received]).toEqual([keys, keys, keys])
  })
})

/** Faults of the relay at one moment. Any of them hides the change that is acknowledged right after it. */
const faults: Array<[string, () => void]> = [
  ['the relay freezes', () => { relay.storeLink = 'silent'; relay.peerLink = 'silent' }],
  ['the relay is cut off from the store', () => { relay.storeLink = 'silent' }],
  ['the store refuses the relay', () => { relay.storeLink = 'broken' }],
  ['the connection to the relay falls silent', () => { relay.peerLink = 'silent' }],
  ['the relay ends', () => {
    relay.peerLink = 'broken'
    for (const link of relay.links) link.close('the connection was closed')
  }]
]

describe.each(faults)('when %s', (_name, strike) => {
  // The fault may strike at any point of the long polls of relay and reader, also right after a change.
  test.each([0, 130, 260, 390, 520, 650, 780, 910, 1040])('%i ms after a change, the next one is known in time', async after => {
    const atReader = countFrom(reader)
    network.topic.write('before')
    await network.clock.advance(after)
    strike()
    network.topic.write('hidden')
    await network.clock.advance(learnMilliseconds)
    expect(reader.received).toEqual(['before', 'hidden'])
    await network.clock.advance(30_000)
    network.topic.write('later')
    await network.clock.advance(learnMilliseconds)
    expect(reader.received).toEqual(['before', 'hidden', 'later'])
    // A lost relay is not a lost store.
    expect(reader.lines.join()).not.toContain('event=store_lost')
    expect(reader.follower.connectedSince).toBe(-Infinity)
    expect(atReader.wholeReads()).toBe(0)
  })

  test('the host reads through the next relay after a few calls to the store', async () => {
    strike()
    await network.clock.advance(10_000)
    const atReader = countFrom(reader)
    await network.clock.advance(20_000)
    expect(atReader.storeReads()).toBeLessThanOrEqual(8)
    expect(atReader.sources().filter(source => source === 'relay').length).toBeGreaterThan(10)
    expect(reader.lines.join()).toContain('event=relay_lost')
  })
})

// Slow answers about an old view add up to more than 3 s otherwise.
test.each([0, 800, 1600])('after a slow answer about a view that is %i ms old, the next read ends in time for one of the store', async age => {
  const { clock } = network
  const limits: number[] = []
  const relays = {
    read: async ({ from, wait }: { from: number, wait: number }, limit: number) => {
      limits.push(limit)
      await clock.sleep(wait + 250)
      return { page: { records: [], next: from, era: 1 }, age }
    },
    close: () => {},
    directMilliseconds: 0,
    isAvailable: true
  }
  const local = { read: reader.local.read, isServing: false, viewTime: 0, release: async () => {}, stop: async () => {} }
  const store = { newest: async () => Result.ok({ records: [], end: 0, era: 1 }), close: async () => {} }
  const single = new RelayReader({ relays, local, store, clock, onRead: () => {} })
  await single.newest('keyed.op')
  const first = single.read('keyed.op', 0, 3000)
  await clock.advance(1250)
  await first
  single.read('keyed.op', 0, 3000).catch(() => {})
  await clock.advance(0)
  expect(limits).toHaveLength(2)
  expect(250 + age + limits[1]!).toBeLessThanOrEqual(2700)
})

test('without a relay that answers, the host reads from the store as if there were none', async () => {
  for (const host of [relay, secondRelay]) host.peerLink = 'silent'
  await network.clock.advance(60_000)
  network.topic.write('config')
  await network.clock.advance(learnMilliseconds)
  expect(reader.received).toEqual(['config'])
  expect(reader.lines.filter(line => line.includes('event=relay_lost')).length).toBeLessThan(13)
  for (const host of [relay, secondRelay]) host.peerLink = 'normal'
  await network.clock.advance(60_000)
  const atReader = countFrom(reader)
  await network.clock.advance(10_000)
  expect(atReader.storeReads()).toBe(0)
})

test('a host whose store is lost with its relay reads the topic again as a whole and counts as reconnected', async () => {
  for (const host of [relay, secondRelay, reader]) host.storeLink = 'broken'
  await network.clock.advance(5000)
  expect(reader.lines.join()).toContain('event=store_lost')
  network.topic.write('config')
  for (const host of [relay, secondRelay, reader]) host.storeLink = 'normal'
  await network.clock.advance(learnMilliseconds)
  expect(reader.received).toEqual(['config'])
  expect(reader.follower.connectedSince).toBeGreaterThan(0)
})

describe('a store that is restored', () => {
  beforeEach(async () => {
    for (const key of ['kept', 'lost-1', 'lost-2']) network.topic.write(key)
    await network.clock.advance(2000)
    reader.received.length = 0
  })

  // Records of the earlier era must not count, nor offsets of the earlier era be used in the later one.
  test.each<[string, string[]]>([
    ['with fewer records', ['again-1']],
    ['with as many records', ['again-1', 'again-2']],
    ['with more records', ['again-1', 'again-2', 'again-3', 'again-4']]
  ])('%s is read again as a whole, once, by all hosts', async (_name, rewritten) => {
    const counts = [relay, secondRelay, reader].map(countFrom)
    network.topic.restore(1, rewritten)
    await network.clock.advance(learnMilliseconds)
    expect(reader.era.current).toBe(2)
    expect(reader.received).toEqual(['kept', ...rewritten])
    expect(counts.map(count => count.wholeReads())).toEqual([1, 1, 1])
    network.topic.write('later')
    await network.clock.advance(learnMilliseconds)
    expect(reader.received.at(-1)).toBe('later')
  })

  test('does not reach a host that knows of it through a relay that does not', async () => {
    relay.storeLink = 'silent'
    network.topic.restore(1, ['again-1', 'again-2', 'again-3'])
    reader.era.accept('2')
    await network.clock.advance(learnMilliseconds)
    expect(reader.received).toEqual(['kept', 'again-1', 'again-2', 'again-3'])
  })
})

test('a relay whose history the store dropped serves again after it has read the topic', async () => {
  relay.storeLink = 'silent'
  await network.clock.advance(100)
  for (const key of ['dropped', 'config']) network.topic.write(key)
  network.topic.firstOffset = 2
  relay.storeLink = 'normal'
  network.topic.wake()
  await network.clock.advance(60_000)
  expect([relay.received.slice(-2), reader.received.slice(-2)]).toEqual([['dropped', 'config'], ['dropped', 'config']])
  const atReader = countFrom(reader)
  await network.clock.advance(10_000)
  expect(atReader.storeReads()).toBe(0)
})
