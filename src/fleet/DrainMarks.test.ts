/**
 * Guards against engines that receive new work while an order that interrupts them is announced or open, and against
 * engines that never receive work again because the lease holder failed after it set their drain mark.
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
    ['without a mark or an order is not drained', [], 0, false],
    ['whose mark has not expired is drained', [drain(1000)], 999, true],
    ['whose mark has expired is not drained', [drain(1000)], 1000, false],
    ['whose mark was removed is not drained', [drain(1000), drain(0)], 1, false],
    ['whose mark was removed and set again is drained', [drain(1000), drain(0), drain(5000)], 2000, true],
    ['with an open order that interrupts it is drained after its mark expired', [drain(1000), intent(change)], 5000, true],
    ['whose interrupting order has an outcome is not drained after its mark expired', [drain(1000), intent(change), outcome], 5000, false],
    ['with an open order that does not interrupt it is not drained', [intent({ kind: 'load_model', model: 'm', version: '1' })], 0, false]
  ])('an engine %s', async (_name, records, milliseconds, drained) => {
    const clock = new ManualClock()
    const marks = new DrainMarks(projectionWith(records), clock)
    marks.drainedEngines()
    await clock.advance(milliseconds)
    expect(marks.drainedEngines().size).toBe(drained ? 1 : 0)
  })

  test('the projection rejects a drain mark of a former lease holder', () => {
    const projection = projectionWith([{ kind: 'takeover', lease: authority.lease, fencingNumber: 2, holder }])
    const late = { version: 1, id: 'late', ...drain(1000) } as unknown as { version: number, kind: string, id: string }
    expect(projection.apply({ offset: toOffset(3), at: 0, value: late }).accepted).toBe(false)
    expect(projection.drainMarks().size).toBe(0)
  })

  test('a projection restored from a snapshot has the drain marks', () => {
    const copy = new OrderProjection()
    copy.restore(JSON.parse(JSON.stringify(projectionWith([drain(1000)]).snapshot())), toOffset(2))
    expect(copy.drainMarks().get('e1')?.durationMilliseconds).toBe(1000)
  })
})
