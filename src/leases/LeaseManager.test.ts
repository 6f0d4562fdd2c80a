/**
 * Guards against two hosts with authority for one lease at the same time, and against a lease that stays
 * without a holder: racing claims, late renewals, paused holders, lost append answers, clock drift, release.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { type FencingNumber, toOffset } from '../common/index.js'
import { advanceUntil, advanceUntilSettled, recordText, StreamFixture } from '../streams/testSupport.js'
import { LeaseFold } from './LeaseFold.js'
import { type AuthorityEvent } from './LeaseManager.js'
import { snapshotsLease } from './leaseRecords.js'
import { hasAuthority, holderOf, type LeaseHost, type LeaseHostOptions, startLeaseHost } from './testSupport.js'

let fixture: StreamFixture
let hosts: LeaseHost[]

beforeEach(() => {
  fixture = new StreamFixture()
  hosts = []
})

afterEach(async () => {
  fixture.log.setOutage(false)
  for (const host of hosts) host.gate.resume()
  const stopped = Promise.all(hosts.map(host => host.leases.stop()))
  await advanceUntilSettled(fixture.clock, stopped)
  await fixture.stop()
})

function start (number: number, options?: LeaseHostOptions): LeaseHost {
  const host = startLeaseHost(fixture, number, options)
  hosts.push(host)
  return host
}

/** A host with authority and one that waits for it and has read the holder's last record. */
async function startPair (holderRate = 1, successorRate = 1): Promise<{ holder: LeaseHost, successor: LeaseHost }> {
  const holder = start(1, { rate: holderRate })
  await advanceUntil(fixture.clock, () => hasAuthority(holder))
  const successor = start(2, { rate: successorRate })
  await advanceUntil(fixture.clock, () => successor.group.isReady)
  return { holder, successor }
}

/** Moves time in steps of 10 ms and returns the most hosts that had authority at one moment. */
async function mostHolders (milliseconds: number): Promise<number> {
  let most = 0
  for (let waited = 0; waited < milliseconds; waited += 10) {
    await fixture.clock.advance(10)
    most = Math.max(most, hosts.filter(host => hasAuthority(host)).length)
  }
  return most
}

function recordKinds (): string[] {
  return fixture.log.records('leases').map(record => String((JSON.parse(record.value) as { kind: string }).kind))
}

describe('records', () => {
  const first = { lease: 'snapshots', holder: holderOf(1), succeeds: 0, duration: 6000 }

  test.each([
    ['a second claim of the same predecessor', 'claim', { ...first, holder: holderOf(2) }, false],
    ['a claim that names the last record', 'claim', { ...first, holder: holderOf(2), succeeds: 1 }, true],
    ['a renewal of the holder', 'renew', { ...first, succeeds: 1 }, true],
    ['a renewal of another host', 'renew', { ...first, holder: holderOf(2), succeeds: 1 }, false],
    ['a renewal of another start of the host', 'renew', { ...first, holder: { ...holderOf(1), incarnation: 'f'.repeat(16) }, succeeds: 1 }, false],
    ['a renewal that names an older record', 'renew', { ...first, succeeds: 0 }, false],
    ['a release of another host', 'release', { ...first, holder: holderOf(2), succeeds: 1 }, false],
    ['a release of the holder', 'release', { ...first, succeeds: 1 }, true],
    ['an unknown lease name', 'claim', { ...first, lease: 'other' }, false],
    ['an endless duration', 'claim', { ...first, succeeds: 1, duration: 1e12 }, false]
  ])('%s', (_name, kind, members, accepted) => {
    const fold = new LeaseFold()
    const apply = (offset: number, text: string) => fold.apply({ offset: toOffset(offset), at: 0, value: JSON.parse(text) })
    expect(apply(1, recordText('claim', first)).accepted).toBe(true)
    expect(apply(2, recordText(kind, members)).accepted).toBe(accepted)
  })

  test('a released lease cannot be renewed, only claimed, with a greater fencing number', () => {
    const fold = new LeaseFold()
    const kinds = ['claim', 'release', 'renew', 'claim']
    const accepted = kinds.map((kind, index) => fold.apply({
      offset: toOffset(index + 1), at: 0, value: JSON.parse(recordText(kind, { ...first, succeeds: Math.min(index, 2) }))
    }).accepted)
    expect(accepted).toEqual([true, true, false, true])
    expect(fold.lease(snapshotsLease)?.fencingNumber).toBe(4)
  })
})

describe('competing', () => {
  test('of hosts that claim at the same moment one gets authority', async () => {
    // No candidate reads another's claim before it sends its own.
    fixture.log.delayAppends(100)
    for (let number = 1; number <= 5; number += 1) start(number)
    expect(await mostHolders(500)).toBe(1)
    expect(recordKinds()).toEqual(['claim', 'claim', 'claim', 'claim', 'claim'])
  })

  test('jitter keeps later candidates from claiming', async () => {
    fixture.log.delayAppends(15)
    for (let number = 1; number <= 5; number += 1) start(number, { random: () => number / 5 })
    expect(await mostHolders(500)).toBe(1)
    expect(recordKinds()).toEqual(['claim'])
  })

  test('the holder renews and keeps its fencing number', async () => {
    const holder = start(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    start(2)
    await fixture.clock.advance(30_000)
    expect(holder.leases.authority(snapshotsLease)?.fencingNumber).toBe(1)
    expect(recordKinds().slice(1).every(kind => kind === 'renew')).toBe(true)
  })

  test('a successor waits the duration and the drift after it read the last record', async () => {
    const { holder, successor } = await startPair()
    await fixture.clock.advance(2500)
    holder.gate.pause()
    const lastSentAt = (holder.leases.authority(snapshotsLease)?.validUntil ?? 0) - 5840
    await advanceUntil(fixture.clock, () => hasAuthority(successor))
    const waited = fixture.clock.monotonic() - lastSentAt
    expect(waited).toBeGreaterThanOrEqual(6060)
    expect(waited).toBeLessThan(6200)
  })

  test('a release hands over at once, and the former holder has no authority before the release is in the log', async () => {
    const { holder, successor } = await startPair()
    fixture.log.delayAppends(300)
    const stopped = holder.leases.stop()
    await fixture.clock.advance(100)
    expect([hasAuthority(holder), recordKinds().includes('release')]).toEqual([false, false])
    await advanceUntilSettled(fixture.clock, stopped)
    await advanceUntil(fixture.clock, () => hasAuthority(successor), 1000)
  })

  test('a draining host lets its lease run out and does not claim again', async () => {
    const holder = start(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    holder.leases.setDraining(true)
    await fixture.clock.advance(20_000)
    expect([hasAuthority(holder), recordKinds()]).toEqual([false, ['claim']])
    holder.leases.setDraining(false)
    await advanceUntil(fixture.clock, () => hasAuthority(holder), 1000)
  })

  test('a claim with a lost answer gives authority from before it was sent', async () => {
    fixture.log.loseAppendAnswers(1)
    const holder = start(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder), 1000)
    expect(recordKinds()).toEqual(['claim'])
    expect(holder.leases.authority(snapshotsLease)?.validUntil).toBeLessThanOrEqual(fixture.clock.monotonic() + 5840)
  })

  test('the time that a slow append took is not part of the authority', async () => {
    const holder = start(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    const firstEnd = holder.leases.authority(snapshotsLease)?.validUntil ?? 0
    fixture.log.delayAppends(3000)
    await advanceUntil(fixture.clock, () => (holder.leases.authority(snapshotsLease)?.validUntil ?? 0) > firstEnd)
    const left = (holder.leases.authority(snapshotsLease)?.validUntil ?? 0) - fixture.clock.monotonic()
    expect(left).toBeLessThanOrEqual(2840)
  })
})

describe('a paused holder', () => {
  test('has no authority when it wakes, and its late renewal is void', async () => {
    const { holder, successor } = await startPair()
    // A renewal is due during the pause; it is sent after it.
    await fixture.clock.advance(1500)
    holder.gate.pause()
    await advanceUntil(fixture.clock, () => hasAuthority(successor))
    expect(hasAuthority(holder)).toBe(false)
    holder.gate.resume()
    expect(await mostHolders(10_000)).toBe(1)
    expect(hasAuthority(successor)).toBe(true)
  })

  test('that wakes before another host claims may renew and keeps its fencing number', async () => {
    const holder = start(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    holder.gate.pause()
    await fixture.clock.advance(15_000)
    expect(hasAuthority(holder)).toBe(false)
    holder.gate.resume()
    await advanceUntil(fixture.clock, () => hasAuthority(holder), 1000)
    expect(holder.leases.authority(snapshotsLease)?.fencingNumber).toBe(1)
  })

  test('that confirmed the end of its authority does not get it back from an old renewal', async () => {
    const holder = start(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    expect(holder.leases.confirmOver(snapshotsLease, 1 as FencingNumber)).toBe(false)
    fixture.log.setOutage(true)
    await advanceUntil(fixture.clock, () => !hasAuthority(holder))
    expect(holder.leases.confirmOver(snapshotsLease, 1 as FencingNumber)).toBe(true)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    expect(holder.leases.authority(snapshotsLease)?.fencingNumber).toBeGreaterThan(1)
  })

  test('tells its listeners in time when it loses authority by its own clock', async () => {
    const holder = start(1)
    const events: AuthorityEvent['kind'][] = []
    holder.leases.onAuthority(event => events.push(event.kind))
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    fixture.log.setOutage(true)
    await fixture.clock.advance(6000)
    expect(events).toEqual(['gained', 'lost'])
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    expect(events).toEqual(['gained', 'lost', 'gained'])
  })
})

test.each([
  ['both at the same rate', 1, 1],
  ['a slow holder', 0.99, 1],
  ['a fast successor', 1, 1.01],
  ['a slow holder and a fast successor that differ by the bound', 0.995, 1.005]
])('clocks within the drift bound never give two hosts authority: %s', async (_name, holderRate, successorRate) => {
  const { holder, successor } = await startPair(holderRate, successorRate)
  // The successor has read a renewal as it was written.
  await fixture.clock.advance(2500)
  holder.gate.pause()
  expect(await mostHolders(7000)).toBe(1)
  expect(hasAuthority(successor)).toBe(true)
})

type Action =
  | { kind: 'pause' | 'resume' | 'drain' | 'undrain', host: number }
  | { kind: 'outage' | 'recover' | 'lose' | 'duplicate' }
  | { kind: 'delay', milliseconds: number }
  | { kind: 'advance', milliseconds: number }

const hostIndex = fc.nat(2)
const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('pause' as const, 'resume' as const), host: hostIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('drain' as const, 'undrain' as const), host: hostIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('outage' as const, 'recover' as const, 'lose' as const, 'duplicate' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('delay' as const), milliseconds: fc.constantFrom(0, 0, 200, 2500) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), milliseconds: fc.integer({ min: 5, max: 3500 }) }) }
)

/** Performs one step; returns the most hosts that had authority at one moment of it. */
async function perform (step: Action): Promise<number> {
  if (step.kind === 'advance') return await mostHolders(step.milliseconds)
  if (step.kind === 'pause') hosts[step.host]?.gate.pause()
  if (step.kind === 'resume') hosts[step.host]?.gate.resume()
  if (step.kind === 'drain' || step.kind === 'undrain') hosts[step.host]?.leases.setDraining(step.kind === 'drain')
  if (step.kind === 'outage' || step.kind === 'recover') fixture.log.setOutage(step.kind === 'outage')
  if (step.kind === 'lose') fixture.log.loseAppendAnswers(1)
  if (step.kind === 'duplicate') fixture.log.duplicateAppends(1)
  if (step.kind === 'delay') fixture.log.delayAppends(step.milliseconds)
  return hosts.filter(host => hasAuthority(host)).length
}

test('no sequence of pauses, outages and lost answers gives two hosts authority, and a holder is found afterwards', async () => {
  await fc.assert(fc.asyncProperty(fc.array(action, { maxLength: 30 }), async steps => {
    fixture = new StreamFixture()
    hosts = []
    const rates = [0.995, 1.005, 1]
    for (const [index, rate] of rates.entries()) start(index + 1, { rate, random: () => index / 10 })
    for (const step of steps) expect(await perform(step)).toBeLessThanOrEqual(1)
    fixture.log.setOutage(false)
    fixture.log.delayAppends(0)
    for (const host of hosts) {
      host.gate.resume()
      host.leases.setDraining(false)
    }
    await advanceUntil(fixture.clock, () => hosts.some(host => hasAuthority(host)), 20_000)
    await Promise.all(hosts.map(host => host.group.stop()))
  }), { seed: 42, numRuns: 150 })
})
