/**
 * Guards against hosts that give orders under a number that another host has used: a store that comes back from an older
 * copy gives the generations of the lost seconds out again.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { type HostId, newIncarnation, SystemClock } from '../common/index.js'
import { GroupLease } from '../leases/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { StoreClient } from './StoreClient.js'
import { StoreDutyGroup } from './StoreDutyGroup.js'
import { StoreEra } from './StoreEra.js'
import { FakeStore } from './testing/FakeStore.js'
import { waitUntil } from './testing/platformTestSupport.js'

/** Times of the leases in milliseconds; a lease ends 300 ms before its duration. */
const durationMilliseconds = 1500
const renewMilliseconds = 50

/** A host that competes for the duty of orders. */
interface TestHost { group: StoreDutyGroup, lease: GroupLease, era: StoreEra, lines: string[], store: StoreClient }

const clock = new SystemClock()
let store: FakeStore
let hosts: TestHost[]

beforeEach(async () => {
  store = await FakeStore.start()
  hosts = []
})

afterEach(async () => {
  await Promise.all(hosts.map(async ({ lease }) => { await lease.stop() }))
  await store.stop()
})

function createHost (id: string, handoverMilliseconds = 0): TestHost {
  const lines: string[] = []
  const events = new EventLog({ timeline: new Timeline(id, new HybridClock(clock)), level: 'info', write: line => { lines.push(line) } })
  const era = new StoreEra(events)
  const client = new StoreClient(store.address, era)
  const group = new StoreDutyGroup({
    store: client,
    era,
    events,
    hostId: id as HostId,
    incarnation: newIncarnation(),
    timeToLiveMilliseconds: durationMilliseconds,
    peerAddress: undefined,
    schedulesPrompts: false
  })
  const lease = new GroupLease({ group, clock, events, durationMilliseconds, renewMilliseconds, handoverMilliseconds })
  const host = { group, lease, era, lines, store: client }
  hosts.push(host)
  return host
}

/** Changes the group's members, so that its generation rises. */
async function changeMembers (count: number): Promise<void> {
  const client = new StoreClient(store.address)
  for (let index = 0; index < count; index += 1) {
    await client.join('hosts', `other-${index}`, { topics: ['duties'], timeToLiveMilliseconds: 60_000, generation: 0 })
  }
  await client.close()
}

// A worker that does not check the numbers obeys two holders with one number; one that does refuses the new holder.
test.each([
  ['one restore', 1],
  ['two restores, the second from a copy of before the first', 2]
])('the fencing number rises over %s', async (_name, restores) => {
  const { lease } = createHost('host-1')
  lease.start()
  await waitUntil(() => lease.authority() !== undefined)
  const copy = store.copy()
  await changeMembers(3)
  await waitUntil(() => store.generation === 4 && store.joins.at(-1)?.generation === 4)
  const numbers = [lease.authority()!]
  for (let restored = 0; restored < restores; restored += 1) {
    store.restore(copy)
    const joinsBefore = store.joins.length
    await waitUntil(() => store.joins.length >= joinsBefore + 2 && lease.authority() !== undefined)
    numbers.push(lease.authority()!)
  }
  expect([...new Set(numbers)]).toHaveLength(restores + 1)
  expect([...numbers].sort((left, right) => left - right)).toEqual(numbers)
})

// A generation of before the restore would tell the store that this host has seen changes that are still to come.
test('the first join that knows of a restore names no generation', async () => {
  const { group, store: client } = createHost('host-1')
  await group.join()
  await changeMembers(2)
  const copy = store.copy()
  await group.join()
  await group.join()
  store.restore(copy)
  // Learns the era, after it has found that its connection is closed.
  await client.owners('hosts')
  await client.owners('hosts')
  await group.join()
  await group.join()
  expect(store.joins.filter(({ member }) => member.startsWith('host-1')).map(({ generation }) => generation)).toEqual([0, 1, 3, 0, 3])
})

// The same generation may stand for another change in the lost seconds and after the restore.
test('a commit that a restored store accepts confirms no number of before', async () => {
  const { group, store: client } = createHost('host-1')
  const { fencingNumber } = (await group.join()).unwrapOr({ fencingNumber: undefined })
  expect((await group.confirm(fencingNumber!)).unwrapOr(false)).toBe(true)
  store.restore(store.copy())
  await client.owners('hosts')
  expect((await group.confirm(fencingNumber!)).unwrapOr(true)).toBe(false)
  expect(group.isOutdated(fencingNumber!)).toBe(true)
})

describe('a generation without room in the fencing number', () => {
  // A number that runs over into the next era would be used again after the next restore.
  test.each([
    ['the greatest', 2 ** 32 - 1, true],
    ['a greater one', 2 ** 32, false],
    ['a negative one', -2, false]
  ])('%s: accepted is %s', async (_name, generation, isAccepted) => {
    const { lease, lines } = createHost('host-1')
    store.generation = generation - 1
    lease.start()
    await waitUntil(() => lines.some(line => /event=(duty_gained|duty_renewal_failed)/.test(line)))
    expect(lease.authority() !== undefined).toBe(isAccepted)
    expect(Number.isSafeInteger(lease.authority() ?? 0)).toBe(true)
    expect(lines.some(line => line.includes('is out of range'))).toBe(!isAccepted)
  })
})
