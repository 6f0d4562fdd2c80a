/**
 * Guards against two hosts that write different contents of a window, and against windows that a restored store has
 * forgotten and that are decided once more.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Clock, type FencingNumber, ManualClock } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { type JournalContent, type JournalView, UsageCollector, UsageReporter } from '../usage/windows/index.js'
import { StoreClient } from './StoreClient.js'
import { StoreEra } from './StoreEra.js'
import { FakeStore } from './testing/FakeStore.js'
import { UsageTopic, usageKey, usageTopic } from './UsageTopic.js'

const contentOf = (window: number, count: number): JournalContent =>
  ({ through: window, windows: [{ window, counts: { reef: count } as Record<never, number>, hosts: 2 }] })

let store: FakeStore
let clock: ManualClock
let topics: UsageTopic[]

beforeEach(async () => {
  store = await FakeStore.start()
  clock = new ManualClock()
  topics = []
})

afterEach(async () => {
  await Promise.all(topics.map(async topic => await topic.close()))
  await store.stop()
})

function openTopic (): UsageTopic {
  const era = new StoreEra()
  const topic = new UsageTopic({ store: new StoreClient(store.address, era), era, clock })
  topics.push(topic)
  return topic
}

async function read (topic: UsageTopic): Promise<JournalView> {
  return (await topic.read()).unwrapOrElse(({ message }) => { throw new Error(message) })
}

test('an append is read by other hosts, and one at an outdated position is refused', async () => {
  const [first, second] = [openTopic(), openTopic()]
  const [before, outdated] = [await read(first), await read(second)]
  expect(before).toMatchObject({ content: undefined, mayLackWindows: true })
  const appended = await first.append(contentOf(1, 3), before.position)
  expect((await second.append(contentOf(1, 4), outdated.position)).isErr).toBe(true)
  expect(await read(second)).toMatchObject({ content: contentOf(1, 3), mayLackWindows: false })
  expect((await first.append(contentOf(2, 5), appended.unwrapOr({}))).isOk).toBe(true)
  expect((await read(second)).content).toEqual(contentOf(2, 5))
})

// Guards against an append that was executed although its caller knows nothing of it.
test('an append without a response fails, and its position is outdated if it was executed', async () => {
  const topic = openTopic()
  const { position } = await read(topic)
  store.mode = 'silent'
  expect((await topic.append(contentOf(1, 3), position)).isErr).toBe(true)
  store.mode = 'normal'
  store.write(usageTopic, usageKey, { era: 1, ...contentOf(1, 3) })
  expect((await topic.append(contentOf(1, 4), position)).isErr).toBe(true)
  expect((await read(topic)).content).toEqual(contentOf(1, 3))
})

test('after a restore positions are outdated, and the journal lacks windows until the next append', async () => {
  const topic = openTopic()
  const { position } = await read(topic)
  await topic.append(contentOf(1, 3), position)
  const copy = store.copy()
  const { position: lost } = await read(topic)
  await topic.append(contentOf(2, 4), lost)
  await clock.advance(60_000)
  store.restore(copy, { keepsConnections: true })
  // The topic ends again where it was read, so that the condition of the append holds.
  expect((await topic.append(contentOf(2, 9), lost)).isErr).toBe(true)
  store.restore(copy, { keepsConnections: true })
  const restored = await read(topic)
  expect(restored).toMatchObject({ content: contentOf(1, 3), mayLackWindows: true, completeForMilliseconds: 0 })
  await topic.append(contentOf(13, 6), restored.position)
  expect(await read(openTopic())).toMatchObject({ content: contentOf(13, 6), mayLackWindows: false })
})

test('a record that is no journal is not taken for an empty one', async () => {
  store.write(usageTopic, usageKey, { through: 'x' })
  expect((await openTopic().read()).isErr).toBe(true)
})

// Guards against a window that the former holder reported and that is reported again, and against missed windows.
test.each([0, -30_000, 60_000])('after a restore, a new holder whose clock is %i ms ahead reports the windows from then on', async offset => {
  const [first, windowMilliseconds, reported] = [1_700_000_000_000 / 5000, 5000, [] as number[]]
  const own = Object.assign(Object.create(clock) as Clock, { wall: () => clock.wall() + offset })
  const era = new StoreEra()
  era.accept('1')
  const value = Buffer.from(JSON.stringify({ era: 1, through: first, windows: [] }))
  const journal = new UsageTopic({
    store: {
      newest: async () => Result.ok({ records: [{ key: usageKey, value }], end: 1, era: 2 } as never),
      append: async () => Result.ok({ end: 2, era: 2 } as never),
      close: async () => {}
    },
    era,
    clock: own
  })
  const collector = new UsageCollector({ clock: own, windowMilliseconds })
  let token: FencingNumber | undefined
  const reporter = new UsageReporter({
    lease: { authority: () => token, confirmedAuthority: async () => token, handleRefusal: () => {} },
    journal,
    platform: {
      reportUsage: async ({ window }) => {
        reported.push(window - first)
        return Result.ok(undefined)
      }
    },
    collector,
    clock: own,
    events: discardingEventLog(clock),
    windowMilliseconds,
    lateMilliseconds: 10_000
  })
  await clock.advance(13_000)
  era.accept('2')
  reporter.start()
  for (let second = 0; second < 20; second += 1) {
    const at = clock.wall()
    const finalWindow = Math.floor((at - 2500) / windowMilliseconds) - 1
    for (const host of ['a', 'b', 'c']) {
      collector.receive({ host: host as never, incarnation: '1' as never, zone: 'a' as never, at, windows: [], finalWindow, demand: [] })
    }
    if (second === 1) token = 2 as FencingNumber
    await clock.advance(1000)
  }
  await reporter.stop()
  expect(reported).toEqual([2, 3, 4])
})
