/**
 * Guards against orders of a process that no longer holds the duty: after a suspension that its monotonic clock does
 * not show, after silence towards the store, after a worker has seen a successor, and between two acts of the former
 * holder.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, ManualClock } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { DutyGroup, GroupLease, type GroupMembership } from './GroupLease.js'

/** A clock whose machine can be suspended: the time of day goes on, the monotonic clock does not. */
class SuspendableClock extends ManualClock {
  wallShift = 0

  override wall (): number {
    return super.wall() + this.wallShift
  }
}

class FakeGroup extends DutyGroup {
  membership: GroupMembership = { generation: 1, holdsDuty: true }
  reachable = true
  confirms = true
  left = false
  beforeAnswer: () => void = () => {}

  async join (): Promise<Result<GroupMembership, Failure>> {
    const { membership } = this
    this.beforeAnswer()
    return this.reachable ? Result.ok(membership) : Result.err(failure('platform_unavailable', 'no answer'))
  }

  async confirm (): Promise<Result<boolean, Failure>> {
    return this.reachable ? Result.ok(this.confirms) : Result.err(failure('platform_unavailable', 'no answer'))
  }

  async leave (): Promise<void> { this.left = true }
}

let clock: SuspendableClock
let group: FakeGroup
let lease: GroupLease

beforeEach(() => {
  clock = new SuspendableClock()
  group = new FakeGroup()
  const timeline = new Timeline('host-1', new HybridClock(clock))
  const events = new EventLog({ timeline, level: 'error', write: () => {} })
  const times = { durationMilliseconds: 3000, renewMilliseconds: 1000, handoverMilliseconds: 3000 }
  lease = new GroupLease({ group, clock, events, ...times })
})

async function held (): Promise<void> {
  lease.start()
  await clock.advance(0)
  await clock.advance(3500)
  expect(lease.authority()).toBe(1)
}

test('a new holder waits until the former one cannot act any more', async () => {
  lease.start()
  await clock.advance(0)
  await clock.advance(2900)
  expect(lease.authority()).toBeUndefined()
  await clock.advance(200)
  expect(lease.authority()).toBe(1)
})

describe('authority ends', () => {
  const endings: Array<[string, () => Promise<void> | void]> = [
    ['when the machine was suspended, however short the monotonic clock says', () => { clock.wallShift += 2000 }],
    ['when the time of day was set back', () => { clock.wallShift -= 2000 }],
    ['when the store does not answer for the duration', async () => {
      group.reachable = false
      await clock.advance(2900)
    }],
    ['when the store gives the duty to another', async () => {
      group.membership = { generation: 2, holdsDuty: false }
      await clock.advance(1000)
    }],
    ['when a worker has seen a greater number', () => { lease.noteRefusal(lease.authority()!) }],
    ['when a renewal was answered while the machine was suspended', async () => {
      group.beforeAnswer = () => { clock.wallShift += 2000 }
      await clock.advance(1000)
    }]
  ]

  test.each(endings)('%s', async (_name, end) => {
    await held()
    await end()
    expect(lease.authority()).toBeUndefined()
  })

  test.each(endings)('%s, and the store is not asked for a confirmation then', async (_name, end) => {
    await held()
    await end()
    expect(await lease.confirmedAuthority()).toBeUndefined()
  })
})

test('a refused number gives no authority again, a greater one does', async () => {
  await held()
  lease.noteRefusal(lease.authority()!)
  await clock.advance(8000)
  expect(lease.authority()).toBeUndefined()
  group.membership = { generation: 2, holdsDuty: true }
  await clock.advance(4000)
  expect(lease.authority()).toBe(2)
})

test.each([
  ['does not confirm', () => { group.confirms = false }],
  ['does not answer', () => { group.reachable = false }]
])('a store that %s gives no confirmed authority', async (_name, spoil) => {
  await held()
  expect(await lease.confirmedAuthority()).toBe(1)
  spoil()
  expect(await lease.confirmedAuthority()).toBeUndefined()
})

test('a stop hands the duty over', async () => {
  await held()
  await lease.stop()
  expect(lease.authority()).toBeUndefined()
  expect(group.left).toBe(true)
})
