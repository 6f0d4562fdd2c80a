/**
 * Guards against engines that get new work while an order that interrupts them is announced or open, and
 * against engines that stay out of work for good when the holder of the lease died after marking them.
 */
import { describe, expect, test } from '@jest/globals'
import { ManualClock, toOffset } from '../common/index.js'
import { OrderProjection } from '../orders/index.js'
import { DrainMarks } from './DrainMarks.js'

const authority = { lease: 'zone/a/planner', fencingNumber: 1 }
const holder = { hostId: 'h1', incarnation: '0123456789abcdef' }

function projectionWith (records: Array<Record<string, unknown>>): OrderProjection {
  const projection = new OrderProjection()
  const all = [{ kind: 'takeover', ...authority, holder }, ...records]
  all.forEach((body, index) => {
    const value = { version: 1, kind: '', id: `r${index}`, ...body }
    const outcome = projection.apply({ offset: toOffset(index + 1), at: 0, value })
    expect(outcome).toEqual({ accepted: true })
  })
  return projection
}

const drain = (durationMilliseconds: number): Record<string, unknown> =>
  ({ kind: 'drain', ...authority, engine: 'e1', durationMilliseconds })
const intent = (order: Record<string, unknown>): Record<string, unknown> => ({
  kind: 'intent', ...authority, holder, orderId: 'o1', engine: 'e1', engineIncarnation: '00000000000000aa', order, succeeds: 0
})
const outcome = { kind: 'outcome', ...authority, orderId: 'o1', result: 'done', detail: { reason: 'reached' } }
const change = { kind: 'change_role', role: 'decode' }

describe('DrainMarks', () => {
  test.each<[string, Array<Record<string, unknown>>, number, boolean]>([
    ['no mark', [], 0, false],
    ['a mark in its time', [drain(1000)], 999, true],
    ['a mark after its time', [drain(1000)], 1000, false],
    ['a mark that was ended', [drain(1000), drain(0)], 1, false],
    ['a mark that was set again', [drain(1000), drain(0), drain(5000)], 2000, true],
    ['an open order that interrupts, after the mark ran out', [drain(1000), intent(change)], 5000, true],
    ['an ended order', [drain(1000), intent(change), outcome], 5000, false],
    ['an open order that interrupts nothing', [intent({ kind: 'load_model', model: 'm', version: '1' })], 0, false]
  ])('%s', async (_name, records, milliseconds, drained) => {
    const clock = new ManualClock()
    const marks = new DrainMarks(projectionWith(records), clock)
    marks.drainedEngines()
    await clock.advance(milliseconds)
    expect(marks.drainedEngines().size).toBe(drained ? 1 : 0)
  })

  test('refuses a mark of a holder that was succeeded', () => {
    const projection = projectionWith([{ kind: 'takeover', lease: authority.lease, fencingNumber: 2, holder }])
    const late = { version: 1, id: 'late', ...drain(1000) } as unknown as { version: number, kind: string, id: string }
    expect(projection.apply({ offset: toOffset(3), at: 0, value: late }).accepted).toBe(false)
    expect(projection.drainMarks().size).toBe(0)
  })

  test('marks are part of the snapshot', () => {
    const copy = new OrderProjection()
    copy.restore(JSON.parse(JSON.stringify(projectionWith([drain(1000)]).snapshot())), toOffset(2))
    expect(copy.drainMarks().get('e1')?.durationMilliseconds).toBe(1000)
  })
})
