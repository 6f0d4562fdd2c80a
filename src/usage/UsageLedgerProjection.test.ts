/**
 * Guards against a ledger that differs between a reader of all records and one that starts from a snapshot.
 */
import { describe, expect, test } from '@jest/globals'
import { toOffset } from '../common/index.js'
import type { StreamRecord } from '../streams/index.js'
import { UsageLedgerProjection } from './UsageLedgerProjection.js'

function recordAt (offset: number, sequence: number): StreamRecord {
  const use = {
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
  const batch = { hostId: 'h', incarnation: '0123456789abcdef', sequence, records: [use] }
  return { offset: toOffset(offset), at: offset * 1000, value: { version: 1, kind: 'use', id: `id${offset}`, batches: [batch] } }
}

describe('UsageLedgerProjection', () => {
  test('a reader that starts from a snapshot comes to the same totals, also when a batch was appended twice', () => {
    const records = [recordAt(1, 1), recordAt(2, 2), recordAt(3, 2), recordAt(4, 1), recordAt(5, 3)]
    const whole = new UsageLedgerProjection()
    for (const record of records) whole.apply(record)
    for (let cut = 0; cut <= records.length; cut += 1) {
      const first = new UsageLedgerProjection()
      for (const record of records.slice(0, cut)) first.apply(record)
      const second = new UsageLedgerProjection()
      expect(second.restore(JSON.parse(JSON.stringify(first.snapshot())), toOffset(cut)).isOk).toBe(true)
      for (const record of records.slice(cut)) second.apply(record)
      expect(second.view()).toEqual(whole.view())
    }
    expect(whole.view().totals[0]?.promptTokens).toBe(21)
  })

  test.each([
    ['a record of another kind', { kind: 'other' }],
    ['a malformed batch', { kind: 'use', batches: [{ hostId: 'h' }] }]
  ])('refuses %s and stays as it was', (_name, value) => {
    const projection = new UsageLedgerProjection()
    const record = recordAt(1, 1)
    expect(projection.apply({ ...record, value: { ...record.value, ...value } }).accepted).toBe(false)
    expect(projection.view().totals).toEqual([])
  })
})
