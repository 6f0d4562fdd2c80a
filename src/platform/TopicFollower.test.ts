/**
 * Guards against needless calls to the store, since every host makes them and the platform charges for each, and against
 * changes that are missed because a connection became silent, the store dropped its history or came back from an older copy.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, ManualClock } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import type { KeyedRecord, NewestRecords, ReadOutcome } from './StoreClient.js'
import { StoreEra } from './StoreEra.js'
import { TopicFollower, type TopicFollowerOptions } from './TopicFollower.js'

const unreachableFailure = failure('platform_unavailable', 'no response')

/** Fake topic whose long polls end when a record is written or the wait is over. */
class FakeTopic {
  records: KeyedRecord[] = []
  firstOffset = 0
  era = 1
  reachable = true
  /** If true, reads that are open now or start from now on are not answered. */
  silent = false
  readonly longPollTimes: number[] = []
  newestCalls = 0
  private wake: () => void = () => {}

  constructor (private readonly clock: ManualClock, private readonly storeEra: StoreEra) {}

  /** Comes back in a new era with the first `count` records, and then `rewritten` ones. Open reads are answered only then. */
  restore (count: number, rewritten: string[] = []): void {
    this.records = this.records.slice(0, count)
    this.era += 1
    for (const key of rewritten) this.records.push({ key, value: Buffer.from(`value of ${key}`) })
    this.wake()
  }

  write (key: string): void {
    this.records.push({ key, value: Buffer.from(`value of ${key}`) })
    this.wake()
  }

  async newest (): Promise<Result<NewestRecords, Failure>> {
    this.newestCalls += 1
    if (!this.reachable) return Result.err(unreachableFailure)
    return Result.ok({ records: [...this.records], end: this.records.length, era: this.stateEra() })
  }

  async read (
    _topic: string,
    from: number,
    waitMilliseconds: number,
    signal: AbortSignal = new AbortController().signal
  ): Promise<Result<ReadOutcome, Failure>> {
    this.longPollTimes.push(waitMilliseconds)
    if (from < this.firstOffset || from > this.records.length) return this.expired()
    const written = new AbortController()
    this.wake = () => { written.abort() }
    if (this.records.length <= from) await this.clock.sleep(waitMilliseconds, AbortSignal.any([signal, written.signal]))
    if (this.silent) await this.clock.sleep(Infinity, signal)
    if (!this.reachable || signal.aborted) return Result.err(unreachableFailure)
    if (from > this.records.length) return this.expired()
    return Result.ok({ records: this.records.slice(from), next: this.records.length, era: this.stateEra() })
  }

  private expired (): Result<ReadOutcome, Failure> {
    this.stateEra()
    return Result.ok('expired')
  }

  /** States the era in a response. */
  private stateEra (): number {
    this.storeEra.accept(String(this.era))
    return this.era
  }

  async close (): Promise<void> {}
}

let clock: ManualClock
let topic: FakeTopic
let follower: TopicFollower
let received: string[]
let era: StoreEra
let lines: string[]
/** `connectedSince` as the receiver saw it when it last took the whole topic. */
let connectedSinceAtReplace: number

/** Starts a follower with a stable window of 4 s. */
async function startFollower (options: Partial<TopicFollowerOptions> = {}): Promise<void> {
  clock = new ManualClock()
  era = new StoreEra()
  topic = new FakeTopic(clock, era)
  received = []
  lines = []
  const collect = (records: KeyedRecord[]): void => { received.push(...records.map(({ key }) => key)) }
  const timeline = new Timeline('host-1', new HybridClock(clock))
  follower = new TopicFollower({
    topic: 'keyed.servers',
    store: topic,
    era,
    receiver: {
      replace: records => {
        connectedSinceAtReplace = follower.connectedSince
        collect(records)
      },
      apply: collect
    },
    clock,
    events: new EventLog({ timeline, level: 'info', write: line => { lines.push(line) } }),
    stableWindowMilliseconds: 4000,
    ...options
  })
  follower.start()
  await clock.advance(0)
}

afterEach(async () => { await follower.stop() })

describe('a follower of a topic', () => {
  beforeEach(async () => { await startFollower() })

  test('reads a burst of ten changes with at most three calls', async () => {
    for (let change = 0; change < 10; change += 1) {
      topic.write(`worker-${change}`)
      await clock.advance(20)
    }
    await clock.advance(300)
    expect(received).toHaveLength(10)
    // One read returns the first change, the second read the other changes, and the third read waits.
    expect(topic.longPollTimes.length).toBeLessThanOrEqual(3)
  })

  test('limits a long poll so that an abandoned read can be repeated within the stable window', async () => {
    expect(topic.longPollTimes[0]! + 700).toBeLessThan(4000)
    await clock.advance(30_000)
    // Each poll waits for the whole window less one second, so that an idle host makes few calls.
    expect(topic.longPollTimes.length).toBeLessThanOrEqual(11)
  })

  test('reads the whole topic again after an outage of the store', async () => {
    topic.reachable = false
    await clock.advance(3500)
    topic.write('worker-1')
    topic.reachable = true
    await clock.advance(2000)
    expect(received).toEqual(['worker-1'])
    expect(follower.connectedSince).toBeGreaterThan(0)
  })

  // Guards against a host that takes an outdated topic for the newest one, after an outage or while its process stood still.
  test('is current while reads are answered within the stable window, and again after the first answer', async () => {
    for (let change = 0; change < 4; change += 1) {
      await clock.advance(3200)
      expect(follower.isCurrent).toBe(true)
      topic.write(`worker-${change}`)
    }
    topic.reachable = false
    await clock.advance(3200)
    expect(follower.isCurrent).toBe(false)
    topic.reachable = true
    await clock.advance(1500)
    expect(follower.isCurrent).toBe(true)
    topic.silent = true
    await clock.advance(4500)
    expect(follower.isCurrent).toBe(false)
  })

  test('reads the whole topic again after the store dropped its history', async () => {
    topic.records.push({ key: 'worker-1', value: Buffer.from('1') }, { key: 'worker-2', value: Buffer.from('2') })
    topic.firstOffset = 2
    await clock.advance(3500)
    expect(received.slice(-2)).toEqual(['worker-1', 'worker-2'])
  })
})

// Guards against a record that ends the task of the follower, so that the host follows the topic no longer.
describe('a follower whose receiver throws for one record', () => {
  let state: Set<string>
  let lines: string[]

  beforeEach(async () => {
    state = new Set()
    lines = []
    const add = (records: KeyedRecord[]): void => {
      for (const { key } of records) {
        if (key === 'odd') throw new Error('an unexpected error')
        state.add(key)
      }
    }
    await startFollower({
      receiver: { replace: records => { state.clear(); add(records) }, apply: add },
      events: new EventLog({
        timeline: new Timeline('host-1', new HybridClock(clock)), level: 'warn', write: line => { lines.push(line) }
      })
    })
  })

  const failures = (): string[] => lines.filter(line => line.includes('event=record_failed '))

  test('passes on the records of the same read, and those of later ones', async () => {
    for (const key of ['worker-1', 'odd', 'worker-2']) topic.write(key)
    await clock.advance(1000)
    topic.write('worker-3')
    await clock.advance(1000)
    expect([...state]).toEqual(['worker-1', 'worker-2', 'worker-3'])
    expect(failures()).toHaveLength(1)
    expect(failures()[0]).toContain('key=odd')
  })

  test('passes on the other records of a read of the whole topic, and those of later reads', async () => {
    topic.records.push(...['worker-1', 'odd', 'worker-2'].map(key => ({ key, value: Buffer.from('1') })))
    topic.firstOffset = 3
    await clock.advance(4000)
    topic.write('worker-3')
    await clock.advance(1000)
    expect([...state]).toEqual(['worker-1', 'worker-2', 'worker-3'])
    expect(failures()).toHaveLength(1)
  })

  test('logs no more than eight of many', async () => {
    for (let count = 0; count < 5000; count += 1) topic.records.push({ key: 'odd', value: Buffer.from('1') })
    topic.write('worker-1')
    await clock.advance(1000)
    expect([...state]).toEqual(['worker-1'])
    expect(failures()).toHaveLength(8)
  })
})

describe('a follower that polls rarely at rest', () => {
  const restMilliseconds = 20_000
  const shortMilliseconds = 3000

  beforeEach(async () => { await startFollower({ restMilliseconds, batchMilliseconds: 500 }) })

  // Each call to the store is priced, and all hosts poll.
  test('asks for the long wait while nothing changes', async () => {
    await clock.advance(100_000)
    expect(topic.longPollTimes).toEqual(Array.from({ length: 6 }, () => restMilliseconds))
  })

  // A connection may become silent without a reset, so that later changes are missed for the long wait.
  test('asks for the short wait for 30 s after a change, then for the long one', async () => {
    topic.write('part-1')
    await clock.advance(0)
    await clock.advance(29_000)
    expect(topic.longPollTimes.slice(1)).toEqual(Array.from({ length: 10 }, () => shortMilliseconds))
    await clock.advance(5000)
    expect(topic.longPollTimes.at(-1)).toBe(restMilliseconds)
  })

  // The open poll may hang on a silent connection when this host expects the answers of others.
  test('replaces the open long poll once when changes are expected, and reads what its connection hid', async () => {
    topic.silent = true
    topic.write('part-1')
    await clock.advance(10)
    expect(received).toEqual([])
    topic.silent = false
    for (let call = 0; call < 3; call += 1) {
      follower.expectChanges()
      await clock.advance(10)
    }
    expect(received).toEqual(['part-1'])
    expect(topic.longPollTimes).toEqual([restMilliseconds, shortMilliseconds])
  })

  // A replaced poll that counts as a failure reads the whole topic again and resets the time of the connection.
  test('does not take a replaced poll for a lost connection', async () => {
    follower.expectChanges()
    await clock.advance(0)
    await clock.advance(5000)
    expect(topic.newestCalls).toBe(1)
    expect(follower.connectedSince).toBe(-Infinity)
  })

  // Each append wakes all hosts, and each read after it is priced.
  test('reads a burst of ten changes within 0.5 s with at most two calls', async () => {
    for (let change = 0; change < 10; change += 1) {
      topic.write(`part-${change}`)
      await clock.advance(45)
    }
    await clock.advance(300)
    expect(received).toHaveLength(10)
    expect(topic.longPollTimes.length).toBeLessThanOrEqual(2)
  })
})

describe('a follower of a topic of a store that is restored without a failed call', () => {
  beforeEach(async () => {
    await startFollower({ restMilliseconds: 20_000, batchMilliseconds: 500 })
    for (const key of ['kept', 'lost-1', 'lost-2']) topic.write(key)
    await clock.advance(0)
    await clock.advance(500)
    received = []
  })

  // A follower that goes on at its offset skips the records that were written again below it.
  test.each<[string, () => Promise<void>]>([
    ['while it waits for changes', async () => { topic.restore(1, ['again-1', 'again-2', 'again-3']) }],
    ['before fewer records are written again', async () => { topic.restore(1, ['again-1']) }],
    ['and as many records are written again', async () => { topic.restore(1, ['again-1', 'again-2']) }],
    ['while it pauses after a change', async () => {
      topic.write('lost-3')
      await clock.advance(0)
      topic.restore(1, ['again-1', 'again-2', 'again-3', 'again-4'])
      received = []
      await clock.advance(500)
    }],
    ['twice in a row', async () => {
      topic.restore(2, ['lost-again-1', 'lost-again-2'])
      topic.restore(1, ['again-1', 'again-2', 'again-3'])
    }]
  ])('reads the whole topic again if it happens %s', async (_name, restore) => {
    await restore()
    await clock.advance(0)
    await clock.advance(600)
    const keys = topic.records.map(({ key }) => key)
    expect(received).toEqual(keys)
    expect(topic.newestCalls).toBe(2)
  })

  // The long poll may hang on a connection that became silent, for up to 20 s.
  test('reads the whole topic again as soon as another client learns of the restore', async () => {
    await clock.advance(31_000)
    topic.silent = true
    topic.restore(1, ['again-1'])
    await clock.advance(10)
    topic.silent = false
    era.accept('2')
    await clock.advance(0)
    expect(received).toEqual(['kept', 'again-1'])
    topic.write('later')
    await clock.advance(10)
    expect(received).toEqual(['kept', 'again-1', 'later'])
  })

  // An offset that was learnt before the restore belongs to other records after it.
  test('does not read from its offset if another client learns of the restore during its pause', async () => {
    topic.write('lost-3')
    await clock.advance(0)
    const reads = topic.longPollTimes.length
    topic.restore(1, ['again-1', 'again-2', 'again-3'])
    era.accept('2')
    await clock.advance(500)
    expect(topic.newestCalls).toBe(2)
    expect(topic.longPollTimes.length).toBe(reads + 1)
  })

  // A worker whose entry was written in the lost seconds would be removed at once, although it writes the entry again.
  test('counts the restore as a reconnection before it passes the records on', async () => {
    const restoredAt = clock.monotonic()
    topic.restore(1, ['again-1', 'again-2', 'again-3'])
    await clock.advance(0)
    expect(received).toEqual(['kept', 'again-1', 'again-2', 'again-3'])
    expect(connectedSinceAtReplace).toBe(restoredAt)
    await clock.advance(10_000)
    expect(follower.connectedSince).toBe(restoredAt)
  })

  // Each read of the whole topic is priced, and every host makes it.
  test('reads the whole topic once for each restore and logs it once', async () => {
    topic.restore(1, ['again-1', 'again-2', 'again-3'])
    await clock.advance(60_000)
    topic.restore(1, ['again-4', 'again-5', 'again-6'])
    await clock.advance(60_000)
    expect(topic.newestCalls).toBe(3)
    expect(lines.filter(line => line.includes('event=topic_restored'))).toEqual([
      expect.stringMatching(/topic=keyed.servers era=2 before=1 offset=3/),
      expect.stringMatching(/topic=keyed.servers era=3 before=2 offset=4/)
    ])
  })
})
