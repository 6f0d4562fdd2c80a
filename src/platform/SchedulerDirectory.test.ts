/**
 * Guards against hosts that keep asking a scheduler which has moved, and against a call to the store for each question
 * while there is no scheduler.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { failure, type Failure, type HostId, type Incarnation, loadHash, ManualClock, type Pool, type Zone } from '../common/index.js'
import type { PromptScheduler } from '../placement/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { PeerSchedulerClient } from './PeerSchedulerClient.js'
import { SchedulerDirectory } from './SchedulerDirectory.js'
import type { PartitionOwner } from './StoreClient.js'
import { addressOfMember, memberNameOf, placementTopic, type StoreDutyGroup, zoneOfMember } from './StoreDutyGroup.js'

const incarnation = '0123456789abcdef' as Incarnation

let clock: ManualClock
let owners: Result<PartitionOwner[], Failure>
let calls: number
let era: { current: number }
let directory: SchedulerDirectory

beforeEach(() => {
  clock = new ManualClock()
  calls = 0
  era = { current: 1 }
  owners = Result.ok([])
  const store = {
    owners: async () => {
      calls += 1
      return owners
    },
    close: async () => {}
  }
  directory = new SchedulerDirectory({ store, era, clock, events: discardingEventLog(clock), random: () => 0 })
})

afterEach(async () => { await directory.stop() })

function ownedBy (host: string, address: string | undefined): Result<PartitionOwner[], Failure> {
  return Result.ok([
    { topic: placementTopic, partition: 0, member: memberNameOf(host as HostId, incarnation, address) },
    { topic: 'duties', partition: 1, member: memberNameOf('other' as HostId, incarnation, '10.0.0.9:1') }
  ])
}

test('the holder is read from the names of the members, for the partitions of the topic alone', async () => {
  owners = ownedBy('host.with.dots', '10.0.0.1:7000')
  directory.start()
  await clock.advance(10_000)
  expect([directory.holderOf(0), directory.holderOf(1)]).toEqual(['10.0.0.1:7000', undefined])
})

// Guards against reports that go to a holder of another partition, which cannot take them.
test('the holder of the duties is that of the first partition of the topic `duties`, and looking for it before the first read makes no call', async () => {
  owners = Result.ok([
    { topic: 'duties', partition: 1, member: memberNameOf('host-1' as HostId, incarnation, '10.0.0.1:7000') },
    { topic: 'duties', partition: 0, member: memberNameOf('host-2' as HostId, incarnation, '10.0.0.2:7000') }
  ])
  directory.start()
  expect(directory.orderHolder()).toBeUndefined()
  await clock.advance(0)
  expect(calls).toBe(0)
  await clock.advance(3000)
  expect(directory.orderHolder()).toBe('10.0.0.2:7000')
  expect(calls).toBe(1)
})

test('a failed holder is replaced by the one that the store names next', async () => {
  owners = ownedBy('host-1', '10.0.0.1:7000')
  directory.holderOf(0)
  await clock.advance(0)
  owners = ownedBy('host-2', '10.0.0.2:7000')
  await clock.advance(2000)
  directory.reportFailure()
  await clock.advance(0)
  expect(directory.holderOf(0)).toBe('10.0.0.2:7000')
})

// A holder that cannot reach the store goes on granting permits beside the one that a restored store names.
test.each<[string, () => string | undefined]>([
  ['prompts', () => directory.holderOf(0)],
  ['permits', () => directory.permitHolderOf(0)]
])('the holder for %s is read again once after each restore of the store', async (_name, holder) => {
  owners = ownedBy('host-1', '10.0.0.1:7000')
  holder()
  await clock.advance(2000)
  owners = ownedBy('host-2', '10.0.0.2:7000')
  for (era.current = 2; era.current <= 4; era.current += 1) {
    for (let elapsed = 0; elapsed < 5000; elapsed += 100) {
      holder()
      await clock.advance(100)
    }
    expect([holder(), calls]).toEqual(['10.0.0.2:7000', era.current])
  }
})

// While no host schedules, calls are rare; hosts that go on asking the former holder of the permits get none.
test('the holder for permits is read soon after a restore of the store also while no host schedules', async () => {
  const dutyOf = (host: string, address: string): Result<PartitionOwner[], Failure> => Result.ok([
    { topic: 'duties', partition: 0, member: memberNameOf(host as HostId, incarnation, address) }
  ])
  owners = dutyOf('host-1', '10.0.0.1:7000')
  for (let elapsed = 0; elapsed < 100_000; elapsed += 100) {
    directory.holderOf(0)
    await clock.advance(100)
  }
  const callsBefore = calls
  owners = dutyOf('host-2', '10.0.0.2:7000')
  era.current = 2
  for (let elapsed = 0; elapsed < 2000; elapsed += 100) {
    directory.permitHolderOf(0)
    await clock.advance(100)
  }
  expect([directory.permitHolderOf(0), calls - callsBefore]).toEqual(['10.0.0.2:7000', 1])
})

// Answers of the holder of the permits say nothing about a scheduler.
test('calls stay rare while no host schedules and the holder of the permits answers', async () => {
  owners = Result.ok([{ topic: 'duties', partition: 0, member: memberNameOf('host-1' as HostId, incarnation, '10.0.0.1:7000') }])
  for (let elapsed = 0; elapsed < 120_000; elapsed += 100) {
    directory.holderOf(0)
    directory.confirm()
    await clock.advance(100)
  }
  expect(calls).toBeLessThan(12)
  // A failure of that holder is followed up soon nevertheless.
  owners = Result.ok([{ topic: 'duties', partition: 0, member: memberNameOf('host-2' as HostId, incarnation, '10.0.0.2:7000') }])
  for (let elapsed = 0; elapsed < 5000; elapsed += 100) {
    directory.reportFailure()
    await clock.advance(100)
  }
  expect(directory.permitHolderOf(0)).toBe('10.0.0.2:7000')
})

test.each([
  ['no host holds the partition', () => Result.ok<PartitionOwner[], Failure>([])],
  ['the holder cannot be reached by other hosts', () => ownedBy('host-1', undefined)],
  ['the store is down', () => Result.err<PartitionOwner[], Failure>(failure('platform_unavailable', 'down'))]
])('questions do not each make a call while %s', async (_name, answer) => {
  owners = answer()
  for (let elapsed = 0; elapsed < 20_000; elapsed += 50) {
    expect(directory.holderOf(0)).toBeUndefined()
    await clock.advance(50)
  }
  expect(calls).toBeGreaterThan(3)
  expect(calls).toBeLessThan(12)
})

// Guards against deployments of small hosts, none of which schedules, that pay for a call of each host every few seconds.
test('while no host schedules at all, calls become rare, and a scheduler that appears is found', async () => {
  for (let elapsed = 0; elapsed < 120_000; elapsed += 100) {
    directory.holderOf(0)
    await clock.advance(100)
  }
  expect(calls).toBeLessThan(12)
  owners = ownedBy('host-1', '10.0.0.1:7000')
  for (let elapsed = 0; elapsed < 31_000; elapsed += 100) {
    directory.holderOf(0)
    await clock.advance(100)
  }
  expect(directory.holderOf(0)).toBe('10.0.0.1:7000')
})

test.each([
  ['host-1', '10.0.0.1:7000', '10.0.0.1:7000'],
  ['host-1', undefined, undefined]
] as Array<[string, string | undefined, string | undefined]>)('the name of a member of %s with address %s contains %s', (host, address, expected) => {
  expect(addressOfMember(memberNameOf(host as HostId, incarnation, address))).toBe(expected)
})

// Guards against a member of another program whose name contains an address that cannot be connected to.
test.each(['127.0.0.1:99999', '127.0.0.1:65536', '127.0.0.1:0', '127.0.0.1:-1', '127.0.0.1', 'host.example:80', '999.0.0.1:80', ':80', '', '127.0.0.1:80@127.0.0.1:80'])('a member with the address "%s" cannot be reached, and a question fails without an exception', async address => {
  owners = ownedBy('host-1', address)
  directory.start()
  await clock.advance(10_000)
  const client = new PeerSchedulerClient({
    directory,
    scheduler: { knows: () => false, limitsOf: () => [] } as unknown as PromptScheduler,
    group: { holdsPlacement: () => false, holdsDutyPartition: () => false } as unknown as StoreDutyGroup,
    clock,
    hash: await loadHash(),
    limitsOf: () => [],
    learnLimits: () => {},
    askingHosts: () => 1
  })
  const cell = { pool: 'llm' as Pool, zone: undefined }
  client.end(cell, 'p1', 'computed')
  const placed = client.place(cell, { id: 'p1', parts: [], partTokens: [], dueAt: 0, lostAt: 0 }, new AbortController().signal)
  const answer = await Promise.race([placed, clock.advance(1000)])
  client.stop()
  expect(answer?.isErr && answer.error.kind).toBe('not_ready')
  expect(directory.holderOf(0)).toBeUndefined()
})

// Hosts that share reads of the store prefer one of their own zone.
test.each<[string, string | undefined]>([['zone-a', 'zone-a'], ['region.a', 'region.a'], ['', undefined]])(
  'the hosts that schedule are known with their zone %s', async (zone, expected) => {
    const member = memberNameOf('host.1' as HostId, incarnation, '10.0.0.1:7000', zone === '' ? undefined : zone as Zone)
    expect([zoneOfMember(member), addressOfMember(member)]).toEqual([expected, '10.0.0.1:7000'])
    owners = Result.ok([
      { topic: placementTopic, partition: 0, member },
      { topic: 'duties', partition: 0, member: memberNameOf('host-2' as HostId, incarnation, '10.0.0.2:7000') }
    ])
    directory.start()
    await clock.advance(10_000)
    expect(directory.placementHosts()).toEqual([{ address: '10.0.0.1:7000', zone: expected }])
  }
)
