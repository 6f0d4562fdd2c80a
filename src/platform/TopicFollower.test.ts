/**
 * Guards against needless calls to the store, since every host makes them and the platform charges for each, and against
 * changes that are missed because a connection became silent or the store dropped its history.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, ManualClock } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import type { KeyedRecord, NewestRecords, ReadOutcome } from './StoreClient.js'
import { TopicFollower, type TopicFollowerOptions } from './TopicFollower.js'

const unreachableFailure = failure('platform_unavailable', 'no response')

/** Fake topic whose long polls end when a record is written or the wait is over. */
class FakeTopic {
  records: KeyedRecord[] = []
  firstOffset = 0
  reachable = true
  /** If true, reads that are open now or start from now on are not answered. */
  silent = false
  readonly longPollTimes: number[] = []
  newestCalls = 0
  private wake: () => void = () => {}

  constructor (private readonly clock: ManualClock) {}

  write (key: string): void {
    this.records.push({ key, value: Buffer.from(`value of ${key}`) })
    this.wake()
  }

  async newest (): Promise<Result<NewestRecords, Failure>> {
    this.newestCalls += 1
    if (!this.reachable) return Result.err(unreachableFailure)
    return Result.ok({ records: this.records, end: this.records.length, era: 1 })
  }

  async read (
    _topic: string,
    from: number,
    waitMilliseconds: number,
    signal: AbortSignal = new AbortController().signal
  ): Promise<Result<ReadOutcome, Failure>> {
    this.longPollTimes.push(waitMilliseconds)
    if (from < this.firstOffset) return Result.ok('expired')
    const written = new AbortController()
    this.wake = () => { written.abort() }
    if (this.records.length <= from) await this.clock.sleep(waitMilliseconds, AbortSignal.any([signal, written.signal]))
    if (this.silent) await this.clock.sleep(Infinity, signal)
    if (!this.reachable || signal.aborted) return Result.err(unreachableFailure)
    return Result.ok({ records: this.records.slice(from), next: this.records.length, era: 1 })
  }

  async close (): Promise<void> {}
}

let clock: ManualClock
let topic: FakeTopic
let follower: TopicFollower
let received: string[]

/** Starts a follower with a stable window of 4 s. */
async function startFollower (options: Partial<TopicFollowerOptions> = {}): Promise<void> {
  clock = new ManualClock()
  topic = new FakeTopic(clock)
  received = []
  const collect = (records: KeyedRecord[]): void => { received.push(...records.map(({ key }) => key)) }
  const timeline = new Timeline('host-1', new HybridClock(clock))
  follower = new TopicFollower({
    topic: 'keyed.servers',
    store: topic,
    receiver: { replace: collect, apply: collect },
    clock,
    events: new EventLog({ timeline, level: 'error', write: () => {} }),
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
