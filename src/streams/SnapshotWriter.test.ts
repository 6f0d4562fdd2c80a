/**
 * Guards against streams whose records expire before a snapshot covers them, and against snapshots by hosts
 * that have not applied everything.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { FencingNumber } from '../common/index.js'
import type { FollowerGroup } from './FollowerGroup.js'
import { SnapshotWriter } from './SnapshotWriter.js'
import { addText, advanceUntil, ChainFold, silentEvents, StreamFixture } from './testSupport.js'

const stream = 'configuration'
const retentionMilliseconds = 600_000

let fixture: StreamFixture
let writer: SnapshotWriter
let fencingNumber: FencingNumber | undefined

beforeEach(() => {
  fixture = new StreamFixture()
  fencingNumber = 1 as FencingNumber
})

afterEach(async () => {
  await writer.stop()
  await fixture.stop()
})

async function startWriter (): Promise<FollowerGroup> {
  const followers = await fixture.ready(fixture.group([new ChainFold()]))
  writer = new SnapshotWriter({
    followers,
    log: fixture.log,
    authority: () => fencingNumber === undefined ? undefined : { fencingNumber },
    clock: fixture.clock,
    events: silentEvents(fixture.clock),
    retentionMilliseconds,
    maxRecords: 20
  })
  writer.start()
  return followers
}

/** Offsets and `through` of the snapshots in the log. */
function snapshots (): Array<[number, number]> {
  return fixture.log.records(stream).flatMap(({ offset, value }) => {
    const record = JSON.parse(value) as { kind: string, through: number }
    return record.kind === 'snapshot' ? [[offset, record.through] as [number, number]] : []
  })
}

function append (count: number): void {
  for (let number = 0; number < count; number += 1) fixture.log.appendFromElsewhere(stream, addText(number))
}

describe('a snapshot is written', () => {
  test('at once by a new holder, and again when it holds the lease anew', async () => {
    append(3)
    await startWriter()
    await fixture.clock.advance(5000)
    expect(snapshots()).toEqual([[4, 3]])
    fencingNumber = 9 as FencingNumber
    await fixture.clock.advance(2000)
    expect(snapshots()).toEqual([[4, 3], [5, 4]])
  })

  test('after the configured number of records and not before', async () => {
    append(1)
    await startWriter()
    await fixture.clock.advance(2000)
    append(19)
    await fixture.clock.advance(5000)
    expect(snapshots()).toHaveLength(1)
    append(1)
    await fixture.clock.advance(2000)
    expect(snapshots()).toEqual([[2, 1], [23, 22]])
  })

  test('after a third of the retention, also without new records', async () => {
    append(1)
    await startWriter()
    await fixture.clock.advance(retentionMilliseconds / 3 - 5000)
    expect(snapshots()).toHaveLength(1)
    await fixture.clock.advance(10_000)
    expect(snapshots()).toHaveLength(2)
  })

  test('so that a new host can start when all records before it have expired', async () => {
    append(5)
    await startWriter()
    await fixture.clock.advance(2000)
    fixture.log.expireBefore(stream, 6)
    append(2)
    const fold = new ChainFold()
    await fixture.ready(fixture.group([fold]))
    expect(fold.count).toBe(7)
  })

  test.each([
    ['by a host without the lease', undefined, 3],
    ['for a stream without records', 1, 0]
  ])('but not %s', async (_name, heldNumber, count) => {
    fencingNumber = heldNumber as FencingNumber | undefined
    await startWriter()
    append(count)
    await fixture.clock.advance(5000)
    expect(snapshots()).toEqual([])
  })
})

describe('a host that has not applied everything writes none', () => {
  test('because its source lags, though the source does not show it', async () => {
    append(3)
    const followers = await startWriter()
    await fixture.clock.advance(2000)
    await followers.stop()
    append(2)
    fencingNumber = 9 as FencingNumber
    await fixture.clock.advance(10_000)
    expect(snapshots()).toEqual([[4, 3]])
  })

  test('because it missed records, until it has a state that covers them', async () => {
    append(3)
    const followers = await startWriter()
    await fixture.clock.advance(2000)
    fixture.log.setOutage(true)
    await fixture.clock.advance(5000)
    append(30)
    fixture.log.expireBefore(stream, 20)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => followers.follower(stream)?.replica.status === 'gap')
    fencingNumber = 9 as FencingNumber
    await fixture.clock.advance(20_000)
    expect(snapshots()).toEqual([])
  })

  test('because the lease ended while the log was asked', async () => {
    append(3)
    const followers = await fixture.ready(fixture.group([new ChainFold()]))
    const { log } = fixture
    const read = log.read.bind(log)
    log.read = async (...options) => {
      const page = await read(...options)
      fencingNumber = undefined
      return page
    }
    writer = new SnapshotWriter({
      followers,
      log,
      clock: fixture.clock,
      events: silentEvents(fixture.clock),
      retentionMilliseconds,
      authority: () => fencingNumber === undefined ? undefined : { fencingNumber }
    })
    writer.start()
    await fixture.clock.advance(5000)
    expect(snapshots()).toEqual([])
  })
})
