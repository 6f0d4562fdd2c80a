/**
 * Guards against totals that differ between a projection of all records and one restored from a snapshot.
 */
import { describe, expect, test } from '@jest/globals'
import { toOffset } from '../common/index.js'
import type { StreamRecord } from '../streams/index.js'
import { UsageLedgerProjection } from './UsageLedgerProjection.js'

function useRecordAt (offset: number, sequence: number): StreamRecord {
  const usageRecord = {
    requestId: `r${sequence}`,
    team: 't',
    owner: 'o',
    model: 'm',
    promptTokens: 7,
    cachedPromptTokens: 0,
    generatedTokens: 1,
    engineMilliseconds: 2,
    calls: 1
  }
  const batch = { hostId: 'h', incarnation: '0123456789abcdef', sequence, records: [usageRecord] }
  return { offset: toOffset(offset), at: offset * 1000, value: { version: 1, kind: 'use', id: `id${offset}`, batches: [batch] } }
}

describe('UsageLedgerProjection', () => {
  test('a projection restored from a snapshot has the same totals as one of all records, also if batches were appended twice', () => {
    const records = [useRecordAt(1, 1), useRecordAt(2, 2), useRecordAt(3, 2), useRecordAt(4, 1), useRecordAt(5, 3)]
    const fullReader = new UsageLedgerProjection()
    for (const record of records) fullReader.apply(record)
    for (let snapshotAt = 0; snapshotAt <= records.length; snapshotAt += 1) {
      const snapshotWriter = new UsageLedgerProjection()
      for (const record of records.slice(0, snapshotAt)) snapshotWriter.apply(record)
      const snapshotReader = new UsageLedgerProjection()
      expect(snapshotReader.restore(JSON.parse(JSON.stringify(snapshotWriter.snapshot())), toOffset(snapshotAt)).isOk).toBe(true)
      for (const record of records.slice(snapshotAt)) snapshotReader.apply(record)
      expect(snapshotReader.view()).toEqual(fullReader.view())
    }
    expect(fullReader.view().totals[0]?.promptTokens).toBe(21)
  })

  test.each([
    ['a log record of another kind', { kind: 'other' }],
    ['a log record with a malformed batch', { kind: 'use', batches: [{ hostId: 'h' }] }]
  ])('refuses %s and leaves the totals unchanged', (_name, value) => {
    const projection = new UsageLedgerProjection()
    const record = useRecordAt(1, 1)
    expect(projection.apply({ ...record, value: { ...record.value, ...value } }).accepted).toBe(false)
    expect(projection.view().totals).toEqual([])
  })
})
