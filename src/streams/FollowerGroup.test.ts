/**
 * Guards against lost or doubled records when a follower changes its source, against followers that stay
 * with a silent source, against starting from an old state, and against appends with an unknown outcome.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { failure, FailureError, type Offset, toOffset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import { FollowerGroup } from './FollowerGroup.js'
import { LogSource } from './LogSource.js'
import { FixedSourceDirectory, RecordSource, type SourceMessage } from './RecordSource.js'
import { addText, advanceUntil, advanceUntilSettled, ChainFold, recordText, StreamFixture } from './testSupport.js'

const stream = 'configuration'
let fixture: StreamFixture

beforeEach(() => { fixture = new StreamFixture() })
afterEach(async () => { await fixture.stop() })

/** Passes another source on until the test makes it silent or lets it fail. */
class SwitchedSource extends RecordSource {
  state: 'works' | 'silent' | 'fails' = 'works'
  followers = 0

  constructor (readonly name: string, private readonly inner: RecordSource) {
    super()
  }

  async * follow (followed: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    this.followers += 1
    try {
      for await (const message of this.inner.follow(followed, from, signal)) {
        if (this.state === 'silent') await new Promise(() => {})
        if (this.state === 'fails') throw new FailureError(failure('platform_unavailable', 'switched off'))
        yield message
      }
    } finally {
      this.followers -= 1
    }
  }
}

function append (count: number): void {
  for (let number = 0; number < count; number += 1) fixture.log.appendFromElsewhere(stream, addText(number))
}

/** A host that reads the log and one that prefers the first host over the log. */
async function relayPair (buffer?: { maxRecords: number, maxBytes: number }) {
  const upperFold = new ChainFold()
  const upper = await fixture.ready(fixture.group([upperFold], { buffer }))
  const relay = new SwitchedSource('upper', upper)
  const log = new SwitchedSource('log', new LogSource({ log: fixture.log, clock: fixture.clock, random: () => 0 }))
  const lowerFold = new ChainFold()
  const lower = fixture.group([lowerFold], { directory: new FixedSourceDirectory([relay, log]) })
  return { upper, upperFold, relay, log, lower, lowerFold }
}

function through (group: FollowerGroup): number {
  return group.follower(stream)?.through ?? -1
}

function sourceOf (group: FollowerGroup): string | undefined {
  return group.follower(stream)?.sourceName
}

describe('following', () => {
  test('an empty stream makes a reader ready', async () => {
    const group = await fixture.ready(fixture.group([new ChainFold()]))
    expect(through(group)).toBe(0)
  })

  test('records come through a relay and wake waiting callers', async () => {
    append(3)
    const { lower, lowerFold, upperFold } = await relayPair()
    await fixture.ready(lower)
    append(2)
    await advanceUntilSettled(fixture.clock, lower.waitUntilApplied(stream, toOffset(5)))
    expect(lowerFold.digest).toBe(upperFold.digest)
  })

  test.each(['silent', 'fails'] as const)('a source that %s is replaced by the next one, and taken again later', async state => {
    append(2)
    const { lower, lowerFold, upperFold, relay } = await relayPair()
    await advanceUntil(fixture.clock, () => sourceOf(lower) === 'upper')
    relay.state = state
    append(2)
    await advanceUntil(fixture.clock, () => through(lower) === 4)
    expect(sourceOf(lower)).toBe('log')
    relay.state = 'works'
    await advanceUntil(fixture.clock, () => sourceOf(lower) === 'upper')
    append(2)
    await advanceUntil(fixture.clock, () => through(lower) === 6)
    expect([lowerFold.count, lowerFold.digest]).toEqual([6, upperFold.digest])
  })

  test('a silent source is given up after the configured silence and not before', async () => {
    const { lower, relay } = await relayPair()
    await advanceUntil(fixture.clock, () => sourceOf(lower) === 'upper')
    await fixture.clock.advance(5000)
    expect(sourceOf(lower)).toBe('upper')
    relay.state = 'silent'
    await fixture.clock.advance(1900)
    expect(sourceOf(lower)).toBe('upper')
    await fixture.clock.advance(2200)
    expect(sourceOf(lower)).toBe('log')
  })

  test('a follower that is too far behind for the relay buffer gets a snapshot', async () => {
    append(50)
    const { upper, upperFold, lower, lowerFold, log } = await relayPair({ maxRecords: 5, maxBytes: 100_000 })
    log.state = 'fails'
    await fixture.ready(lower)
    append(3)
    await advanceUntil(fixture.clock, () => through(lower) === 53)
    expect(lowerFold.snapshot()).toEqual(upperFold.snapshot())
    expect(upper.follower(stream)?.replica.buffer.size).toBe(5)
  })

  test('a follower that stops leaves its source', async () => {
    const { lower, relay } = await relayPair()
    await advanceUntil(fixture.clock, () => sourceOf(lower) === 'upper')
    await lower.stop()
    await advanceUntil(fixture.clock, () => relay.followers === 0)
  })
})

describe('outages of the log', () => {
  test('a reader goes on where it stood and does not read the log in a loop', async () => {
    append(2)
    const fold = new ChainFold()
    const group = await fixture.ready(fixture.group([fold]))
    fixture.log.setOutage(true)
    const readsBefore = fixture.log.readCount
    await fixture.clock.advance(60_000)
    expect(fixture.log.readCount - readsBefore).toBeLessThan(40)
    append(2)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => through(group) === 4, 10_000)
    expect(fold.count).toBe(4)
  })

  test('the first change after one is accepted, although the log is read again only after its longest delay', async () => {
    const source = new LogSource({ log: fixture.log, clock: fixture.clock, random: () => 0.999 })
    const group = await fixture.ready(fixture.group([new ChainFold()], { directory: new FixedSourceDirectory([source]) }))
    fixture.log.setOutage(true)
    await fixture.clock.advance(60_000)
    const reads = fixture.log.readCount
    await advanceUntil(fixture.clock, () => fixture.log.readCount > reads)
    fixture.log.setOutage(false)
    const submitted = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    expect(submitted.isOk && submitted.value.outcome.accepted).toBe(true)
  })

  test('a host that starts during one takes the newest state among its sources', async () => {
    append(2)
    const old = await fixture.ready(fixture.group([new ChainFold()]))
    await old.stop()
    append(3)
    const newest = await fixture.ready(fixture.group([new ChainFold()]))
    fixture.log.setOutage(true)
    const log = new LogSource({ log: fixture.log, clock: fixture.clock })
    const directory = new FixedSourceDirectory([new SwitchedSource('old', old), log, new SwitchedSource('newest', newest)])
    const started = await fixture.ready(fixture.group([new ChainFold()], { directory }))
    expect(through(started)).toBe(5)
  })

  test('a host that starts during one is not ready without any state', async () => {
    append(2)
    fixture.log.setOutage(true)
    const group = fixture.group([new ChainFold()])
    await fixture.clock.advance(30_000)
    expect(group.isReady).toBe(false)
    const written = await group.submit(stream, { kind: 'add', number: 1 })
    expect(written.isErr && written.error.kind).toBe('not_ready')
  })

  test('when all records expire in one, a reader without gap writes the snapshot from which new hosts start', async () => {
    append(4)
    const fold = new ChainFold()
    const current = await fixture.ready(fixture.group([fold]))
    fixture.log.setOutage(true)
    await fixture.clock.advance(10_000)
    fixture.log.expireBefore(stream, 5)
    fixture.log.setOutage(false)
    const early = fixture.group([new ChainFold()])
    await advanceUntil(fixture.clock, () => early.follower(stream)?.replica.status === 'gap')
    const replica = current.follower(stream)?.replica
    const record = { kind: 'snapshot', through: replica?.through, state: replica?.state() }
    await advanceUntilSettled(fixture.clock, current.submit(stream, record))
    const lateFold = new ChainFold()
    await fixture.ready(fixture.group([lateFold]))
    await fixture.ready(early)
    expect(lateFold.snapshot()).toEqual(fold.snapshot())
  })

  test('a reader that slept longer than the retention waits for a snapshot and keeps its state', async () => {
    append(2)
    const fold = new ChainFold()
    const group = await fixture.ready(fixture.group([fold]))
    fixture.log.setOutage(true)
    append(3)
    fixture.log.expireBefore(stream, 5)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => group.follower(stream)?.replica.status === 'gap')
    expect([group.isReady, fold.count]).toEqual([true, 2])
    fixture.log.appendFromElsewhere(stream, recordText('snapshot', {
      through: 4, state: { version: 1, recentIds: [], fold: { digest: 3, count: 40 } }
    }))
    await advanceUntil(fixture.clock, () => through(group) === 6)
    expect(fold.count).toBe(41)
  })
})

describe('submit', () => {
  test('returns the offset and the outcome of the fold', async () => {
    const group = await fixture.ready(fixture.group([new ChainFold()]))
    const accepted = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    const refused = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'guard', digest: -1 }))
    expect(accepted.isOk && [accepted.value.offset, accepted.value.outcome]).toEqual([1, { accepted: true }])
    expect(refused.isOk && refused.value.outcome).toMatchObject({ accepted: false, failure: { kind: 'conflict' } })
  })

  test('finds a record whose append answer was lost by its id', async () => {
    const fold = new ChainFold()
    const group = await fixture.ready(fixture.group([fold]))
    fixture.log.loseAppendAnswers(1)
    const written = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    expect(written.isOk && written.value.offset).toBe(1)
    expect(fixture.log.appendCount).toBe(1)
  })

  test('counts an append that the log stored twice once', async () => {
    const fold = new ChainFold()
    const group = await fixture.ready(fixture.group([fold]))
    fixture.log.duplicateAppends(1)
    await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    await advanceUntil(fixture.clock, () => through(group) === 2)
    expect(fold.count).toBe(1)
  })

  test('takes the time before the append was sent', async () => {
    const group = await fixture.ready(fixture.group([new ChainFold()]))
    const before = fixture.clock.monotonic()
    fixture.log.delayAppends(700)
    const written = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1 }))
    expect(written.isOk && written.value.sentAt).toBe(before)
    expect(fixture.clock.monotonic() - before).toBeGreaterThanOrEqual(700)
  })

  test('says that a refused append is not in the log', async () => {
    const group = await fixture.ready(fixture.group([new ChainFold()]))
    fixture.log.setOutage(true)
    const written = await group.submit(stream, { kind: 'add', number: 1 })
    expect(written.isErr && written.error.kind).toBe('platform_unavailable')
  })

  test('says that the outcome is unknown when the record does not come back', async () => {
    const group = await fixture.ready(fixture.group([new ChainFold()]))
    await group.stop()
    fixture.log.loseAppendAnswers(1)
    const written = await advanceUntilSettled(fixture.clock, group.submit(stream, { kind: 'add', number: 1, id: 'mine' }))
    expect(written.isErr && [written.error.kind, written.error.detail]).toEqual(['outcome_unknown', { recordId: 'mine' }])
  })
})
