/**
 * Guards against records that expire before a snapshot covers them, and against snapshots written by a host that
 * has not applied all records of the stream.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { FencingNumber } from '../common/index.js'
import type { FollowerGroup } from './FollowerGroup.js'
import { SnapshotWriter } from './SnapshotWriter.js'
import { addText, advanceUntil, DigestProjection, discardingEventLog, StreamFixture } from './testSupport.js'

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
  const followers = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
  writer = new SnapshotWriter({
    followers,
    log: fixture.log,
    authority: () => fencingNumber === undefined ? undefined : { fencingNumber },
    clock: fixture.clock,
    events: discardingEventLog(fixture.clock),
    retentionMilliseconds,
    maxRecords: 20
  })
  writer.start()
  return followers
}

/** `[offset, through]` of each snapshot in the log. */
function snapshotsInLog (): Array<[number, number]> {
  return fixture.log.records(stream).flatMap(({ offset, value }) => {
    const record = JSON.parse(value) as { kind: string, through: number }
    return record.kind === 'snapshot' ? [[offset, record.through] as [number, number]] : []
  })
}

function appendRecords (count: number): void {
  for (let number = 0; number < count; number += 1) fixture.log.appendFromOtherWriter(stream, addText(number))
}

describe('SnapshotWriter writes a snapshot', () => {
  test('within seconds after this host gained the lease, and again after it gained the lease with another fencing number', async () => {
    appendRecords(3)
    await startWriter()
    await fixture.clock.advance(5000)
    expect(snapshotsInLog()).toEqual([[4, 3]])
    fencingNumber = 9 as FencingNumber
    await fixture.clock.advance(2000)
    expect(snapshotsInLog()).toEqual([[4, 3], [5, 4]])
  })

  test('when the stream has maxRecords records after the last snapshot, and not earlier', async () => {
    appendRecords(1)
    await startWriter()
    await fixture.clock.advance(2000)
    appendRecords(19)
    await fixture.clock.advance(5000)
    expect(snapshotsInLog()).toHaveLength(1)
    appendRecords(1)
    await fixture.clock.advance(2000)
    expect(snapshotsInLog()).toEqual([[2, 1], [23, 22]])
  })

  test('when a third of the retention time has passed since the last snapshot, even without new records', async () => {
    appendRecords(1)
    await startWriter()
    await fixture.clock.advance(retentionMilliseconds / 3 - 5000)
    expect(snapshotsInLog()).toHaveLength(1)
    await fixture.clock.advance(10_000)
    expect(snapshotsInLog()).toHaveLength(2)
  })

  test('from which a new host can start after all records before the snapshot have expired', async () => {
    appendRecords(5)
    await startWriter()
    await fixture.clock.advance(2000)
    fixture.log.expireBefore(stream, 6)
    appendRecords(2)
    const projection = new DigestProjection()
    await fixture.waitUntilReady(fixture.startGroup([projection]))
    expect(projection.count).toBe(7)
  })

  test.each([
    ['while this host does not hold the lease', undefined, 3],
    ['while the stream has no records', 1, 0]
  ])('but writes none %s', async (_name, currentFencingNumber, count) => {
    fencingNumber = currentFencingNumber as FencingNumber | undefined
    await startWriter()
    appendRecords(count)
    await fixture.clock.advance(5000)
    expect(snapshotsInLog()).toEqual([])
  })
})

describe('SnapshotWriter writes no snapshot', () => {
  test('when this host lacks records that are in the log, even if its replica has no gap', async () => {
    appendRecords(3)
    const followers = await startWriter()
    await fixture.clock.advance(2000)
    await followers.stop()
    appendRecords(2)
    fencingNumber = 9 as FencingNumber
    await fixture.clock.advance(10_000)
    expect(snapshotsInLog()).toEqual([[4, 3]])
  })

  test('when this host has a gap because records expired before this host read them', async () => {
    appendRecords(3)
    const followers = await startWriter()
    await fixture.clock.advance(2000)
    fixture.log.setOutage(true)
    await fixture.clock.advance(5000)
    appendRecords(30)
    fixture.log.expireBefore(stream, 20)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => followers.follower(stream)?.replica.status === 'gap')
    fencingNumber = 9 as FencingNumber
    await fixture.clock.advance(20_000)
    expect(snapshotsInLog()).toEqual([])
  })

  test('when this host loses the lease while it reads the next offset of the log', async () => {
    appendRecords(3)
    const followers = await fixture.waitUntilReady(fixture.startGroup([new DigestProjection()]))
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
      events: discardingEventLog(fixture.clock),
      retentionMilliseconds,
      authority: () => fencingNumber === undefined ? undefined : { fencingNumber }
    })
    writer.start()
    await fixture.clock.advance(5000)
    expect(snapshotsInLog()).toEqual([])
  })
})
