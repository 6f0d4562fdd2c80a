/**
 * Guards against orders of a process that no longer holds the duty, or not yet: after a suspension that the monotonic
 * clock does not count, after renewals without a response, after a worker has seen the fencing number of a successor,
 * and while the former holder may still act.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, type FencingNumber, ManualClock } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { DutyGroup, GroupLease, type GroupMembership } from './GroupLease.js'

/** Simulates a suspension of the machine: the wall clock advances, the monotonic clock does not. */
class SuspendableClock extends ManualClock {
  wallOffset = 0

  override wall (): number {
    return super.wall() + this.wallOffset
  }
}

function membership (fencingNumber: number, holdsDuty: boolean): GroupMembership {
  return { fencingNumber: fencingNumber as FencingNumber, holdsDuty }
}

class FakeGroup extends DutyGroup {
  membership = membership(1, true)
  isReachable = true
  isConfirming = true
  /** Greatest number of which the store has forgotten the change. */
  outdated = 0
  hasLeft = false
  beforeResponse: () => void = () => {}

  async join (): Promise<Result<GroupMembership, Failure>> {
    const { membership } = this
    this.beforeResponse()
    return this.isReachable ? Result.ok(membership) : Result.err(failure('platform_unavailable', 'no response'))
  }

  async confirm (): Promise<Result<boolean, Failure>> {
    return this.isReachable ? Result.ok(this.isConfirming) : Result.err(failure('platform_unavailable', 'no response'))
  }

  isOutdated (fencingNumber: FencingNumber): boolean { return fencingNumber <= this.outdated }

  describe (): Record<string, number> { return {} }

  async leave (): Promise<void> { this.hasLeft = true }
}

let clock: SuspendableClock
let group: FakeGroup
let lease: GroupLease
let lines: string[]

beforeEach(() => {
  clock = new SuspendableClock()
  group = new FakeGroup()
  const timeline = new Timeline('host-1', new HybridClock(clock))
  lines = []
  const events = new EventLog({ timeline, level: 'info', write: line => { lines.push(line) } })
  const times = { durationMilliseconds: 3000, renewMilliseconds: 1000, handoverMilliseconds: 3000 }
  lease = new GroupLease({ group, clock, events, ...times })
})

async function acquireAuthority (): Promise<void> {
  lease.start()
  await clock.advance(0)
  await clock.advance(3500)
  expect(lease.authority()).toBe(1)
}

test('a new holder gets authority only after the handover time', async () => {
  lease.start()
  await clock.advance(0)
  await clock.advance(2900)
  expect(lease.authority()).toBeUndefined()
  await clock.advance(200)
  expect(lease.authority()).toBe(1)
})

// Guards against a holder that goes on taking the reports of other hosts after the store has given the duty to another one.
test('the duty is assigned during the handover, until the lease has passed without a renewal', async () => {
  lease.start()
  await clock.advance(0)
  expect([lease.isAssigned, lease.authority()]).toEqual([true, undefined])
  group.isReachable = false
  await clock.advance(2900)
  expect(lease.isAssigned).toBe(true)
  await clock.advance(200)
  expect(lease.isAssigned).toBe(false)
})

describe('authority ends', () => {
  const endConditions: Array<[string, () => Promise<void> | void]> = [
    ['when the machine was suspended, even if no monotonic time passed', () => { clock.wallOffset += 2000 }],
    ['when the wall clock was set back', () => { clock.wallOffset -= 2000 }],
    ['when the store does not respond to renewals for the lease duration', async () => {
      group.isReachable = false
      await clock.advance(2900)
    }],
    ['when the store assigns the duty to another member', async () => {
      group.membership = membership(2, false)
      await clock.advance(1000)
    }],
    ['when the store has forgotten the change that gave the duty to this process', () => { group.outdated = 1 }],
    ['when a worker has seen a greater fencing number', () => { lease.handleRefusal(lease.authority()!) }],
    ['when the machine was suspended before the response to a renewal arrived', async () => {
      group.beforeResponse = () => { clock.wallOffset += 2000 }
      await clock.advance(1000)
    }]
  ]

  test.each(endConditions)('%s', async (_name, causeEnd) => {
    await acquireAuthority()
    await causeEnd()
    expect(lease.authority()).toBeUndefined()
  })

  test.each(endConditions)('%s, and no authority is confirmed afterwards', async (_name, causeEnd) => {
    await acquireAuthority()
    await causeEnd()
    expect(await lease.confirmedAuthority()).toBeUndefined()
  })
})

test('authority does not return under a fencing number that a worker refused, but returns under a greater one', async () => {
  await acquireAuthority()
  lease.handleRefusal(lease.authority()!)
  await clock.advance(8000)
  expect(lease.authority()).toBeUndefined()
  group.membership = membership(2, true)
  await clock.advance(4000)
  expect(lease.authority()).toBe(2)
})

// Another process may have held the duty in the seconds that the store has lost.
test('a holder that a restored store names again gets authority only after the handover time', async () => {
  await acquireAuthority()
  group.outdated = 1
  group.membership = membership(2, true)
  await clock.advance(1000)
  expect(lease.authority()).toBeUndefined()
  await clock.advance(2400)
  expect(lease.authority()).toBeUndefined()
  await clock.advance(200)
  expect(lease.authority()).toBe(2)
  const changes = lines.flatMap(line => {
    const parsed = /event=(duty_lost|duty_gained).*?fencing=(\d+)(?:.*reason=(\w+))?/.exec(line)
    return parsed === null ? [] : [parsed.slice(1)]
  })
  expect(changes).toEqual([
    ['duty_gained', '1', undefined], ['duty_lost', '1', 'store_restored'], ['duty_gained', '2', undefined]
  ])
})

// The worker may have answered an order of before the group changed, with a greater number of this process itself.
test('a late refusal of an earlier number leaves the authority for a greater one', async () => {
  await acquireAuthority()
  const refused = lease.authority()!
  group.membership = membership(2, true)
  await clock.advance(1000)
  lease.handleRefusal(refused)
  expect(lease.authority()).toBe(2)
})

test.each([
  ['does not confirm', () => { group.isConfirming = false }],
  ['does not respond', () => { group.isReachable = false }]
])('no authority is confirmed when the store %s', async (_name, failConfirmation) => {
  await acquireAuthority()
  expect(await lease.confirmedAuthority()).toBe(1)
  failConfirmation()
  expect(await lease.confirmedAuthority()).toBeUndefined()
})

// A process that was stopped for a moment finds a response that has waited for it.
test('a confirmation that took too long is none', async () => {
  await acquireAuthority()
  const confirm = group.confirm.bind(group)
  group.confirm = async () => {
    await clock.sleep(800)
    return await confirm()
  }
  const confirmed = lease.confirmedAuthority()
  await clock.advance(800)
  expect(await confirmed).toBeUndefined()
})

// A duty that begins its handover time anew after each lost response is left undone for most of the time.
test('authority lasts while a slow store loses the response to every sixth renewal', async () => {
  let joins = 0
  const { join } = group
  group.join = async () => {
    joins += 1
    group.isReachable = joins % 6 !== 0
    await clock.sleep(group.isReachable ? 240 : 700)
    return await join.call(group)
  }
  lease.start()
  await clock.advance(0)
  await clock.advance(3500)
  for (let elapsed = 0; elapsed < 60_000; elapsed += 20) {
    await clock.advance(20)
    expect(lease.authority()).toBe(1)
  }
})

// The store charges for each call, and all hosts repeat theirs while it is away.
test('renewals are not more frequent while the store is away', async () => {
  await acquireAuthority()
  let joins = 0
  group.beforeResponse = () => { joins += 1 }
  group.isReachable = false
  for (let elapsed = 0; elapsed < 30_000; elapsed += 250) await clock.advance(250)
  expect(joins).toBeLessThanOrEqual(31)
})

test('stop ends the authority and leaves the group', async () => {
  await acquireAuthority()
  await lease.stop()
  expect(lease.authority()).toBeUndefined()
  expect(group.hasLeft).toBe(true)
})
