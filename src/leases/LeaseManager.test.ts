/**
 * Guards against two hosts that have authority for one lease at the same time, and against a lease that stays without
 * a holder. Either could come from racing claims, late renewals, paused holders, lost append responses, clock drift or
 * a release.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { type FencingNumber, toOffset } from '../common/index.js'
import { advanceUntil, advanceUntilSettled, recordText, StreamFixture } from '../streams/testSupport.js'
import { LeaseProjection } from './LeaseProjection.js'
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

function startHost (number: number, options?: LeaseHostOptions): LeaseHost {
  const host = startLeaseHost(fixture, number, options)
  hosts.push(host)
  return host
}

/** Starts a holder, and a successor that competes for the same lease and has read the holder's last record. */
async function startPair (holderRate = 1, successorRate = 1): Promise<{ holder: LeaseHost, successor: LeaseHost }> {
  const holder = startHost(1, { rate: holderRate })
  await advanceUntil(fixture.clock, () => hasAuthority(holder))
  const successor = startHost(2, { rate: successorRate })
  await advanceUntil(fixture.clock, () => successor.group.isReady)
  return { holder, successor }
}

/** Advances the clock in steps of 10 ms; returns the greatest number of hosts that had authority at the same time. */
async function advanceAndCountHolders (milliseconds: number): Promise<number> {
  let maxHolders = 0
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 10) {
    await fixture.clock.advance(10)
    maxHolders = Math.max(maxHolders, hosts.filter(host => hasAuthority(host)).length)
  }
  return maxHolders
}

function recordKinds (): string[] {
  return fixture.log.records('leases').map(record => String((JSON.parse(record.value) as { kind: string }).kind))
}

describe('lease records', () => {
  const firstClaim = { lease: 'snapshots', holder: holderOf(1), succeeds: 0, duration: 6000 }

  test.each([
    ['a second claim that names the same preceding record is refused', 'claim', { ...firstClaim, holder: holderOf(2) }, false],
    ['a claim that names the last accepted record is accepted', 'claim', { ...firstClaim, holder: holderOf(2), succeeds: 1 }, true],
    ['a renewal by the holder is accepted', 'renew', { ...firstClaim, succeeds: 1 }, true],
    ['a renewal by another host is refused', 'renew', { ...firstClaim, holder: holderOf(2), succeeds: 1 }, false],
    ['a renewal by another incarnation of the holder is refused', 'renew', { ...firstClaim, holder: { ...holderOf(1), incarnation: 'f'.repeat(16) }, succeeds: 1 }, false],
    ['a renewal that names an older record is refused', 'renew', { ...firstClaim, succeeds: 0 }, false],
    ['a release by another host is refused', 'release', { ...firstClaim, holder: holderOf(2), succeeds: 1 }, false],
    ['a release by the holder is accepted', 'release', { ...firstClaim, succeeds: 1 }, true],
    ['a claim of an unknown lease name is refused', 'claim', { ...firstClaim, lease: 'other' }, false],
    ['a claim with a duration above the limit is refused', 'claim', { ...firstClaim, succeeds: 1, duration: 1e12 }, false]
  ])('%s', (_name, kind, members, accepted) => {
    const projection = new LeaseProjection()
    const apply = (offset: number, text: string) => projection.apply({ offset: toOffset(offset), at: 0, value: JSON.parse(text) })
    expect(apply(1, recordText('claim', firstClaim)).accepted).toBe(true)
    expect(apply(2, recordText(kind, members)).accepted).toBe(accepted)
  })

  test('a released lease refuses a renewal and accepts a claim, which receives a greater fencing number', () => {
    const projection = new LeaseProjection()
    const kinds = ['claim', 'release', 'renew', 'claim']
    const accepted = kinds.map((kind, index) => projection.apply({
      offset: toOffset(index + 1), at: 0, value: JSON.parse(recordText(kind, { ...firstClaim, succeeds: Math.min(index, 2) }))
    }).accepted)
    expect(accepted).toEqual([true, true, false, true])
    expect(projection.lease(snapshotsLease)?.fencingNumber).toBe(4)
  })
})

describe('competing hosts', () => {
  test('only one of several hosts that claim at the same moment gets authority', async () => {
    // No candidate reads another's claim before it sends its own.
    fixture.log.delayAppends(100)
    for (let number = 1; number <= 5; number += 1) startHost(number)
    expect(await advanceAndCountHolders(500)).toBe(1)
    expect(recordKinds()).toEqual(['claim', 'claim', 'claim', 'claim', 'claim'])
  })

  test('with different jitter only the first candidate appends a claim', async () => {
    fixture.log.delayAppends(15)
    for (let number = 1; number <= 5; number += 1) startHost(number, { random: () => number / 5 })
    expect(await advanceAndCountHolders(500)).toBe(1)
    expect(recordKinds()).toEqual(['claim'])
  })

  test('the holder keeps its fencing number over renewals while another host competes', async () => {
    const holder = startHost(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    startHost(2)
    await fixture.clock.advance(30_000)
    expect(holder.leases.authority(snapshotsLease)?.fencingNumber).toBe(1)
    expect(recordKinds().slice(1).every(kind => kind === 'renew')).toBe(true)
  })

  test('a successor gets authority only after the lease duration plus the clock drift', async () => {
    const { holder, successor } = await startPair()
    await fixture.clock.advance(2500)
    holder.gate.pause()
    // Authority lasts 5840 ms from the send: the duration of 6000 ms less 1 % drift and a margin of 100 ms.
    const lastSentAt = (holder.leases.authority(snapshotsLease)?.validUntil ?? 0) - 5840
    await advanceUntil(fixture.clock, () => hasAuthority(successor))
    const elapsed = fixture.clock.monotonic() - lastSentAt
    expect(elapsed).toBeGreaterThanOrEqual(6060)
    expect(elapsed).toBeLessThan(6200)
  })

  test('a release lets a successor claim at once, and ends the authority of the holder before the release is in the log', async () => {
    const { holder, successor } = await startPair()
    fixture.log.delayAppends(300)
    const stopped = holder.leases.stop()
    await fixture.clock.advance(100)
    expect([hasAuthority(holder), recordKinds().includes('release')]).toEqual([false, false])
    await advanceUntilSettled(fixture.clock, stopped)
    await advanceUntil(fixture.clock, () => hasAuthority(successor), 1000)
  })

  test('a draining host lets its lease expire and claims again only after draining ends', async () => {
    const holder = startHost(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    holder.leases.setDraining(true)
    await fixture.clock.advance(20_000)
    expect([hasAuthority(holder), recordKinds()]).toEqual([false, ['claim']])
    holder.leases.setDraining(false)
    await advanceUntil(fixture.clock, () => hasAuthority(holder), 1000)
  })

  test('a claim whose append response was lost gives authority that is counted from before the claim was sent', async () => {
    fixture.log.loseAppendResponses(1)
    const holder = startHost(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder), 1000)
    expect(recordKinds()).toEqual(['claim'])
    expect(holder.leases.authority(snapshotsLease)?.validUntil).toBeLessThanOrEqual(fixture.clock.monotonic() + 5840)
  })

  test('the time that a slow append takes shortens the authority that the appended record gives', async () => {
    const holder = startHost(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    const firstValidUntil = holder.leases.authority(snapshotsLease)?.validUntil ?? 0
    fixture.log.delayAppends(3000)
    await advanceUntil(fixture.clock, () => (holder.leases.authority(snapshotsLease)?.validUntil ?? 0) > firstValidUntil)
    const remaining = (holder.leases.authority(snapshotsLease)?.validUntil ?? 0) - fixture.clock.monotonic()
    expect(remaining).toBeLessThanOrEqual(2840)
  })
})

describe('a holder that is paused or cut off from the log', () => {
  test('has no authority after its pause if a successor claimed meanwhile, and its late renewal has no effect', async () => {
    const { holder, successor } = await startPair()
    // A renewal becomes due during the pause and is sent after the pause.
    await fixture.clock.advance(1500)
    holder.gate.pause()
    await advanceUntil(fixture.clock, () => hasAuthority(successor))
    expect(hasAuthority(holder)).toBe(false)
    holder.gate.resume()
    expect(await advanceAndCountHolders(10_000)).toBe(1)
    expect(hasAuthority(successor)).toBe(true)
  })

  test('renews and keeps its fencing number if it resumes before another host claims', async () => {
    const holder = startHost(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    holder.gate.pause()
    await fixture.clock.advance(15_000)
    expect(hasAuthority(holder)).toBe(false)
    holder.gate.resume()
    await advanceUntil(fixture.clock, () => hasAuthority(holder), 1000)
    expect(holder.leases.authority(snapshotsLease)?.fencingNumber).toBe(1)
  })

  test('does not regain an authority from a renewal after it confirmed the end of that authority', async () => {
    const holder = startHost(1)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    expect(holder.leases.confirmAuthorityEnded(snapshotsLease, 1 as FencingNumber)).toBe(false)
    fixture.log.setOutage(true)
    await advanceUntil(fixture.clock, () => !hasAuthority(holder))
    expect(holder.leases.confirmAuthorityEnded(snapshotsLease, 1 as FencingNumber)).toBe(true)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => hasAuthority(holder))
    expect(holder.leases.authority(snapshotsLease)?.fencingNumber).toBeGreaterThan(1)
  })

  test('notifies its listeners when its authority expires by its own clock, and when it regains authority', async () => {
    const holder = startHost(1)
    const events: AuthorityEvent['kind'][] = []
    holder.leases.onAuthorityChange(event => events.push(event.kind))
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
  ['both clocks at the same rate', 1, 1],
  ['a slow holder', 0.99, 1],
  ['a fast successor', 1, 1.01],
  ['a slow holder and a fast successor whose rates differ by the drift bound', 0.995, 1.005]
])('two hosts whose clocks are within the drift bound never have authority at the same time: %s', async (_name, holderRate, successorRate) => {
  const { holder, successor } = await startPair(holderRate, successorRate)
  // The successor has read a renewal of the holder at the moment at which the renewal was written.
  await fixture.clock.advance(2500)
  holder.gate.pause()
  expect(await advanceAndCountHolders(7000)).toBe(1)
  expect(hasAuthority(successor)).toBe(true)
})

type Action =
  | { kind: 'pause' | 'resume' | 'drain' | 'undrain', host: number }
  | { kind: 'outage' | 'recover' | 'lose_append_answer' | 'duplicate_append' }
  | { kind: 'delay_appends', milliseconds: number }
  | { kind: 'advance', milliseconds: number }

const hostIndex = fc.nat(2)
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('pause' as const, 'resume' as const), host: hostIndex }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('drain' as const, 'undrain' as const), host: hostIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('outage' as const, 'recover' as const, 'lose_append_answer' as const, 'duplicate_append' as const) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('delay_appends' as const), milliseconds: fc.constantFrom(0, 0, 200, 2500) }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), milliseconds: fc.integer({ min: 5, max: 3500 }) }) }
)

/** Performs one step; returns the greatest number of hosts that had authority at the same time during it. */
async function perform (step: Action): Promise<number> {
  if (step.kind === 'advance') return await advanceAndCountHolders(step.milliseconds)
  if (step.kind === 'pause') hosts[step.host]?.gate.pause()
  if (step.kind === 'resume') hosts[step.host]?.gate.resume()
  if (step.kind === 'drain' || step.kind === 'undrain') hosts[step.host]?.leases.setDraining(step.kind === 'drain')
  if (step.kind === 'outage' || step.kind === 'recover') fixture.log.setOutage(step.kind === 'outage')
  if (step.kind === 'lose_append_answer') fixture.log.loseAppendResponses(1)
  if (step.kind === 'duplicate_append') fixture.log.duplicateAppends(1)
  if (step.kind === 'delay_appends') fixture.log.delayAppends(step.milliseconds)
  return hosts.filter(host => hasAuthority(host)).length
}

test('under random pauses, outages and lost responses at most one host has authority, and one gets authority after recovery', async () => {
  await fc.assert(fc.asyncProperty(fc.array(actionArbitrary, { maxLength: 30 }), async steps => {
    fixture = new StreamFixture()
    hosts = []
    const rates = [0.995, 1.005, 1]
    for (const [index, rate] of rates.entries()) startHost(index + 1, { rate, random: () => index / 10 })
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
