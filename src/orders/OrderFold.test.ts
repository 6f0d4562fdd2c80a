/**
 * Guards against readers that accept an order of a former holder, two open orders of one engine, or forget
 * who may still send an order.
 */
import { describe, expect, test } from '@jest/globals'
import { toOffset, type WorkerId } from '../common/index.js'
import { holderOf } from '../leases/testSupport.js'
import { recordText } from '../streams/testSupport.js'
import { OrderFold } from './OrderFold.js'
import { plannerLease } from './testSupport.js'

const engine = 'engine-1' as WorkerId

type Line = [kind: string, members: Record<string, unknown>]

const takeover = (fencingNumber: number): Line => ['takeover', { lease: plannerLease, fencingNumber, holder: holderOf(fencingNumber) }]

const intent = (orderId: string, fencingNumber: number, succeeds: number, members = {}): Line => ['intent', {
  orderId,
  engine,
  engineIncarnation: '0'.repeat(16),
  order: { kind: 'change_role', role: 'prefill' },
  lease: plannerLease,
  fencingNumber,
  holder: holderOf(fencingNumber),
  succeeds,
  ...members
}]

const outcome = (orderId: string, fencingNumber: number): Line => ['outcome', {
  orderId, lease: plannerLease, fencingNumber, result: 'done', detail: { reason: 'test' }
}]

const confirm = (orderId: string): Line => ['confirm', { orderId, operator: 'op' }]

/** Applies records at offsets from 1 on; returns which were accepted. */
function apply (fold: OrderFold, lines: Line[]): boolean[] {
  return lines.map(([kind, members], index) => fold.apply({
    offset: toOffset(index + 1), at: 0, value: JSON.parse(recordText(kind, members))
  }).accepted)
}

describe('acceptance', () => {
  test.each<[string, Line[], boolean[]]>([
    ['intent of the current holder', [takeover(5), intent('a', 5, 0)], [true, true]],
    ['intent without takeover', [intent('a', 5, 0)], [false]],
    ['intent of a former holder', [takeover(5), takeover(9), intent('a', 5, 0)], [true, true, false]],
    ['takeover with an older number', [takeover(9), takeover(5), takeover(9)], [true, false, false]],
    ['second intent while one is open', [takeover(5), intent('a', 5, 0), intent('b', 5, 2)], [true, true, false]],
    ['intent after the outcome', [takeover(5), intent('a', 5, 0), outcome('a', 5), intent('b', 5, 3)], [true, true, true, true]],
    ['intent that names an older record', [takeover(5), intent('a', 5, 0), outcome('a', 5), intent('b', 5, 2)], [true, true, true, false]],
    ['intent on another engine', [takeover(5), intent('a', 5, 0), intent('b', 5, 0, { engine: 'engine-2' })], [true, true, true]],
    ['the id of an open order on another engine', [takeover(5), intent('a', 5, 0), intent('a', 5, 0, { engine: 'engine-2' })], [true, true, false]],
    ['outcome by the successor', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 9)], [true, true, true, true]],
    ['outcome by the former holder', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 5)], [true, true, true, false]],
    ['second outcome', [takeover(5), intent('a', 5, 0), outcome('a', 5), outcome('a', 5)], [true, true, true, false]],
    ['unknown order kind', [takeover(5), intent('a', 5, 0, { order: { kind: 'explode' } })], [true, false]],
    ['fence as an intent', [takeover(5), intent('a', 5, 0, { order: { kind: 'fence' } })], [true, false]],
    ['confirmation without a former holder', [takeover(5), intent('a', 5, 0), confirm('b')], [true, true, false]]
  ])('%s', (_name, lines, expected) => {
    expect(apply(new OrderFold(), lines)).toEqual(expected)
  })
})

describe('who may still send', () => {
  test.each<[string, Line[], number[]]>([
    ['the writer of an open intent', [takeover(5), intent('a', 5, 0)], [5]],
    ['nobody after its own outcome', [takeover(5), intent('a', 5, 0), outcome('a', 5)], []],
    ['the former and the new holder of an open intent', [takeover(5), intent('a', 5, 0), takeover(9)], [5, 9]],
    ['the former holder after an outcome of the successor', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 9)], [5]],
    ['all holders that found it open', [takeover(5), intent('a', 5, 0), takeover(9), takeover(12), outcome('a', 12)], [5, 9]],
    ['nobody after a confirmation', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 9), confirm('a')], []],
    ['the current holder even after a confirmation', [takeover(5), intent('a', 5, 0), takeover(9), confirm('a')], [9]],
    ['only the writer of the next intent', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 9), intent('b', 9, 4)], [9]]
  ])('%s', (_name, lines, expected) => {
    const fold = new OrderFold()
    apply(fold, lines)
    const numbers = (source: OrderFold): number[] =>
      source.engineRecord(engine).possibleSenders.map(sender => sender.fencingNumber)
    expect(numbers(fold)).toEqual(expected)
    const restored = new OrderFold()
    restored.restore(JSON.parse(JSON.stringify(fold.snapshot())), toOffset(lines.length))
    expect(numbers(restored)).toEqual(expected)
    expect(restored.snapshot()).toEqual(fold.snapshot())
    expect(restored.openIntents()).toEqual(fold.openIntents())
  })
})
