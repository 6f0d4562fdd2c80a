/**
 * Guards against records that are lost or applied twice when a follower switches its source, followers that stay at a
 * silent source, hosts that start from an outdated state, and appends whose outcome is reported wrongly.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { failure, FailureError, type Offset, toOffset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import { FollowerGroup } from './FollowerGroup.js'
import { LogSource } from './LogSource.js'
import { FixedSourceDirectory, RecordSource, type SourceMessage } from './RecordSource.js'
import { addText, advanceUntil, advanceUntilSettled, DigestProjection, recordText, StreamFixture } from './testSupport.js'

const stream = 'configuration'
let fixture: StreamFixture

beforeEach(() => { fixture = new StreamFixture() })
afterEach(async () => { await fixture.stop() })

/** Forwards the messages of another source; the test can make it silent or let it fail. */
class SwitchableSource extends RecordSource {
  state: 'works' | 'silent' | 'fails' = 'works'
  /** Number of subscriptions that have not ended. */
  openSubscriptions = 0

  constructor (readonly name: string, private readonly inner: RecordSource) {
    super()
  }

  async * follow (followed: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    this.openSubscriptions += 1
    try {
      for await (const message of this.inner.follow(followed, from, signal)) {
        if (this.state === 'silent') await new Promise(() => {})
        if (this.state === 'fails') throw new FailureError(failure('platform_unavailable', 'the test lets this source fail'))
        yield message
      }
    } finally {
      this.openSubscriptions -= 1
    }
  }
}

function appendRecords (count: number): void {
  for (let number = 0; number < count; number += 1) fixture.log.appendFromOtherWriter(stream, addText(number))
}

/** Starts an upper host that reads the log, and a lower host that prefers the upper host over the log. */
async function startRelayPair (buffer?: { maxRecords: number, maxBytes: number }) {
  const upperProjection = new DigestProjection()
  const upper = await fixture.waitUntilReady(fixture.startGroup([upperProjection], { buffer }))
  const relay = new SwitchableSource('upper', upper)
  const log = new SwitchableSource('log', new LogSource({ log: fixture.log, clock: fixture.clock, random: () => 0 }))
  const lowerProjection = new DigestProjection()
  const lower = fixture.startGroup([lowerProjection], { directory: new FixedSourceDirectory([relay, log]) })
  return { upper, upperProjection, relay, log, lower, lowerProjection }
}

function throughOf (group: FollowerGroup): number {
  return group.follower(stream)?.through ?? -1
}

function sourceOf (group: FollowerGroup): string | undefined {
  return group.follower(stream)?.sourceName
}

describe('FollowerGroup follows its sources', () => {
  test('a follower of an empty stream becomes ready', async () => {
    const group = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
    expect(throughOf(group)).toBe(0)
  })

  test('records that another host relays are applied and resolve waitUntilApplied', async () => {
    appendRecords(3)
    const { lower, lowerProjection, upperProjection } = await startRelayPair()
    await fixture.waitUntilReady(lower)
    appendRecords(2)
    await advanceUntilSettled(fixture.clock, lower.waitUntilApplied(stream, toOffset(5)))
    expect(lowerProjection.digest).toBe(upperProjection.digest)
  })

  test.each(['silent', 'fails'] as const)('state %s of the preferred source: the follower switches to the next source, and back once the preferred source works', async state => {
    appendRecords(2)
    const { lower, lowerProjection, upperProjection, relay } = await startRelayPair()
    await advanceUntil(fixture.clock, () => sourceOf(lower) === 'upper')
    relay.state = state
    appendRecords(2)
    await advanceUntil(fixture.clock, () => throughOf(lower) === 4)
    expect(sourceOf(lower)).toBe('log')
    relay.state = 'works'
    await advanceUntil(fixture.clock, () => sourceOf(lower) === 'upper')
    appendRecords(2)
    await advanceUntil(fixture.clock, () => throughOf(lower) === 6)
    expect([lowerProjection.count, lowerProjection.digest]).toEqual([6, upperProjection.digest])
  })

  test('a follower abandons a silent source after silenceMilliseconds without a message, and not earlier', async () => {
    const { lower, relay } = await startRelayPair()
    await advanceUntil(fixture.clock, () => sourceOf(lower) === 'upper')
    await fixture.clock.advance(5000)
    expect(sourceOf(lower)).toBe('upper')
    relay.state = 'silent'
    await fixture.clock.advance(1900)
    expect(sourceOf(lower)).toBe('upper')
    await fixture.clock.advance(2200)
    expect(sourceOf(lower)).toBe('log')
  })

  test('a follower that needs records older than the relay buffer receives a snapshot', async () => {
    appendRecords(50)
    const { upper, upperProjection, lower, lowerProjection, log } = await startRelayPair({ maxRecords: 5, maxBytes: 100_000 })
    log.state = 'fails'
    await fixture.waitUntilReady(lower)
    appendRecords(3)
    await advanceUntil(fixture.clock, () => throughOf(lower) === 53)
    expect(lowerProjection.snapshot()).toEqual(upperProjection.snapshot())
    expect(upper.follower(stream)?.replica.buffer.size).toBe(5)
  })

  test('a follower that is stopped ends its subscription to the source', async () => {
    const { lower, relay } = await startRelayPair()
    await advanceUntil(fixture.clock, () => sourceOf(lower) === 'upper')
    await lower.stop()
    await advanceUntil(fixture.clock, () => relay.openSubscriptions === 0)
  })
})

describe('FollowerGroup during an outage of the log', () => {
  test('a follower retries the log with backoff and continues at its offset after the outage', async () => {
    appendRecords(2)
    const projection = new DigestProjection()
    const group = await fixture.waitUntilReady(fixture.startGroup([projection]))
    fixture.log.setOutage(true)
    const readsBefore = fixture.log.readCount
    await fixture.clock.advance(60_000)
    expect(fixture.log.readCount - readsBefore).toBeLessThan(40)
    appendRecords(2)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => throughOf(group) === 4, 10_000)
    expect(projection.count).toBe(4)
  })

  test('the first append after the outage succeeds, even if the log is read again only after the maximum backoff delay', async () => {
    const source = new LogSource({ log: fixture.log, clock: fixture.clock, random: () => 0.999 })
    const group = await fixture.waitUntilReady(
      fixture.startGroup([new DigestProjection()], { directory: new FixedSourceDirectory([source]) })
    )
    fixture.log.setOutage(true)
    await fixture.clock.advance(60_000)
    const reads = fixture.log.readCount
    await advanceUntil(fixture.clock, () => fixture.log.readCount > reads)
    fixture.log.setOutage(false)
    const submitted = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    expect(submitted.isOk && submitted.value.outcome.accepted).toBe(true)
  })

  test('a host that starts during the outage takes the most recent state among its sources', async () => {
    appendRecords(2)
    const staleGroup = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
    await staleGroup.stop()
    appendRecords(3)
    const currentGroup = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
    fixture.log.setOutage(true)
    const log = new LogSource({ log: fixture.log, clock: fixture.clock })
    const directory = new FixedSourceDirectory([new SwitchableSource('old', staleGroup), log, new SwitchableSource('newest', currentGroup)])
    const started = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()], { directory }))
    expect(throughOf(started)).toBe(5)
  })

  test('a host that starts during the outage with only the log as source is not ready, and writes fail with not_ready', async () => {
    appendRecords(2)
    fixture.log.setOutage(true)
    const group = fixture.startGroup([new DigestProjection()])
    await fixture.clock.advance(30_000)
    expect(group.isReady).toBe(false)
    const written = await group.submit(stream, { kind: 'add', number: 1 })
    expect(written.isErr && written.error.kind).toBe('not_ready')
  })

  test('if all records expire during the outage, a host without a gap can write the snapshot from which new hosts start', async () => {
    appendRecords(4)
    const projection = new DigestProjection()
    const currentGroup = await fixture.waitUntilReady(fixture.startGroup([projection]))
    fixture.log.setOutage(true)
    await fixture.clock.advance(10_000)
    fixture.log.expireBefore(stream, 5)
    fixture.log.setOutage(false)
    const gappedGroup = fixture.startGroup([new DigestProjection()])
    await advanceUntil(fixture.clock, () => gappedGroup.follower(stream)?.replica.status === 'gap')
    const replica = currentGroup.follower(stream)?.replica
    const record = { kind: 'snapshot', through: replica?.through, state: replica?.state() }
    await advanceUntilSettled(fixture.clock, currentGroup.submit(stream, record))
    const newProjection = new DigestProjection()
    await fixture.waitUntilReady(fixture.startGroup([newProjection]))
    await fixture.waitUntilReady(gappedGroup)
    expect(newProjection.snapshot()).toEqual(projection.snapshot())
  })

  test('a host whose next records expired during the outage keeps its state and resumes from the next snapshot', async () => {
    appendRecords(2)
    const projection = new DigestProjection()
    const group = await fixture.waitUntilReady(fixture.startGroup([projection]))
    fixture.log.setOutage(true)
    appendRecords(3)
    fixture.log.expireBefore(stream, 5)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => group.follower(stream)?.replica.status === 'gap')
    expect([group.isReady, projection.count]).toEqual([true, 2])
    fixture.log.appendFromOtherWriter(stream, recordText('snapshot', {
      through: 4, state: { version: 1, recentIds: [], fold: { digest: 3, count: 40 } }
    }))
    await advanceUntil(fixture.clock, () => throughOf(group) === 6)
    expect(projection.count).toBe(41)
  })
})

describe('FollowerGroup.submit', () => {
  test('returns the offset of the record and the outcome of the projection', async () => {
    const group = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
    const accepted = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    const refused = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'guard', digest: -1 }))
    expect(accepted.isOk && [accepted.value.offset, accepted.value.outcome]).toEqual([1, { accepted: true }])
    expect(refused.isOk && refused.value.outcome).toMatchObject({ accepted: false, failure: { kind: 'conflict' } })
  })

  test('when the append response is lost, recognizes the record by its id and does not append again', async () => {
    const projection = new DigestProjection()
    const group = await fixture.waitUntilReady(fixture.startGroup([projection]))
    fixture.log.loseAppendResponses(1)
    const written = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    expect(written.isOk && written.value.offset).toBe(1)
    expect(fixture.log.appendCount).toBe(1)
  })

  test('when the log stores the append twice, the record takes effect once', async () => {
    const projection = new DigestProjection()
    const group = await fixture.waitUntilReady(fixture.startGroup([projection]))
    fixture.log.duplicateAppends(1)
    await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    await advanceUntil(fixture.clock, () => throughOf(group) === 2)
    expect(projection.count).toBe(1)
  })

  test('returns as sentAt the monotonic time before the append was sent', async () => {
    const group = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
    const before = fixture.clock.monotonic()
    fixture.log.delayAppends(700)
    const written = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    expect(written.isOk && written.value.sentAt).toBe(before)
    expect(fixture.clock.monotonic() - before).toBeGreaterThanOrEqual(700)
  })

  test('fails with platform_unavailable when the log is unavailable for the append', async () => {
    const group = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
    fixture.log.setOutage(true)
    const written = await group.submit(stream, { kind: 'add', number: 1 })
    expect(written.isErr && written.error.kind).toBe('platform_unavailable')
  })

  test('fails with outcome_unknown and the record id when this host does not apply the record in time', async () => {
    const group = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
    await group.stop()
    fixture.log.loseAppendResponses(1)
    const written = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1, id: 'mine' }))
    expect(written.isErr && [written.error.kind, written.error.detail]).toEqual(['outcome_unknown', { recordId: 'mine' }])
  })
})
