/**
 * Guards against a usage ledger that exists only in hosts that read its records before they expired: a host that starts
 * later then has no statement at all, or counts batches again that are already in the totals.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { type FencingNumber, ManualClock } from '../common/index.js'
import { InMemoryLogClient } from '../clients/index.js'
import { advanceUntilSettled, discardingEventLog, recordText } from '../streams/testSupport.js'
import { UsageReader } from './UsageReader.js'

const retentionMilliseconds = 60_000
const incarnation = '0123456789abcdef'

let clock: ManualClock
let log: InMemoryLogClient
let readers: UsageReader[]

beforeEach(() => {
  clock = new ManualClock()
  log = new InMemoryLogClient(clock)
  readers = []
})

afterEach(async () => {
  for (const reader of readers) {
    await advanceUntilSettled(clock, reader.stopSnapshots())
    await advanceUntilSettled(clock, reader.stop())
  }
})

/** Creates the reader of one host; `holdsLease` tells whether the host writes the snapshots. */
function createReader (holdsLease: () => boolean): UsageReader {
  const reader = new UsageReader({
    log,
    clock,
    events: discardingEventLog(clock),
    snapshotAuthority: () => holdsLease() ? { fencingNumber: 1 as FencingNumber } : undefined,
    retentionMilliseconds
  })
  readers.push(reader)
  reader.startSnapshots()
  return reader
}

function appendBatch (sequence: number): void {
  const record = {
    requestId: `r${sequence}`,
    team: 'foro',
    owner: 'acuarios',
    model: 'pez',
    promptTokens: 7,
    cachedPromptTokens: 0,
    generatedTokens: 1,
    engineMilliseconds: 2,
    calls: 1
  }
  log.appendFromOtherWriter('use', recordText('use', { batches: [{ hostId: 'h', incarnation, sequence, records: [record] }] }))
}

async function requestsInStatement (reader: UsageReader): Promise<number | string> {
  const statement = await advanceUntilSettled(clock, reader.statement())
  return statement.isOk ? statement.value.lines.reduce((sum, { requests }) => sum + requests, 0) : statement.error.kind
}

describe('a host that starts after usage records have expired', () => {
  test('has the statement of a host that read all records, because the lease holder writes snapshots of the ledger', async () => {
    const holder = createReader(() => true)
    for (const sequence of [1, 2, 3]) appendBatch(sequence)
    await clock.advance(5000)
    log.expireBefore('use', 4)
    appendBatch(4)
    expect(await requestsInStatement(createReader(() => false))).toBe(4)
    expect(await requestsInStatement(holder)).toBe(4)
  })

  test('does not count a batch again that was appended once before and once after the snapshot', async () => {
    createReader(() => true)
    for (const sequence of [1, 2]) appendBatch(sequence)
    await clock.advance(5000)
    log.expireBefore('use', 3)
    for (const sequence of [2, 3]) appendBatch(sequence)
    expect(await requestsInStatement(createReader(() => false))).toBe(3)
  })

  test('finds a snapshot however long no request has been counted, because snapshots are renewed before they expire', async () => {
    createReader(() => true)
    appendBatch(1)
    for (let elapsed = 0; elapsed < 3 * retentionMilliseconds; elapsed += retentionMilliseconds / 4) {
      const { length } = log.records('use')
      await clock.advance(retentionMilliseconds / 2)
      log.expireBefore('use', log.startOffset('use') + length)
    }
    expect(await requestsInStatement(createReader(() => false))).toBe(1)
  })

  test('has a statement after the lease moved to a host that had not followed the stream', async () => {
    let holder = 'first'
    createReader(() => holder === 'first')
    createReader(() => holder === 'second')
    appendBatch(1)
    await clock.advance(5000)
    holder = 'second'
    appendBatch(2)
    await clock.advance(5000)
    log.expireBefore('use', log.records('use').length)
    expect(await requestsInStatement(createReader(() => false))).toBe(2)
  })

  test('answers not_ready instead of waiting for records that no longer exist if there is no snapshot either', async () => {
    for (const sequence of [1, 2, 3]) appendBatch(sequence)
    log.expireBefore('use', 3)
    expect(await requestsInStatement(createReader(() => false))).toBe('not_ready')
  })
})

test('a host without the lease reads the stream only when a statement is requested', async () => {
  createReader(() => false)
  await clock.advance(10_000)
  expect(log.readCount).toBe(0)
})
