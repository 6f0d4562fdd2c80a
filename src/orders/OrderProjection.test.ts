/**
 * Guards against a projection that accepts an order of a former holder or two open orders of one engine, or that forgets
 * which holders may still send an order.
 */
import { describe, expect, test } from '@jest/globals'
import { toOffset, type WorkerId } from '../common/index.js'
import { holderOf } from '../leases/testSupport.js'
import { recordText } from '../streams/testSupport.js'
import { OrderProjection } from './OrderProjection.js'
import { plannerLease } from './testSupport.js'

const engine = 'engine-1' as WorkerId

type TestRecord = [kind: string, members: Record<string, unknown>]

const takeover = (fencingNumber: number): TestRecord => ['takeover', { lease: plannerLease, fencingNumber, holder: holderOf(fencingNumber) }]

const intent = (orderId: string, fencingNumber: number, succeeds: number, members = {}): TestRecord => ['intent', {
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

const outcome = (orderId: string, fencingNumber: number): TestRecord => ['outcome', {
  orderId, lease: plannerLease, fencingNumber, result: 'done', detail: { reason: 'test' }
}]

const confirm = (orderId: string): TestRecord => ['confirm', { orderId, operator: 'op' }]

/** Applies records at consecutive offsets starting at 1; returns which were accepted. */
function apply (projection: OrderProjection, records: TestRecord[]): boolean[] {
  return records.map(([kind, members], index) => projection.apply({
    offset: toOffset(index + 1), at: 0, value: JSON.parse(recordText(kind, members))
  }).accepted)
}

describe('OrderProjection.apply', () => {
  test.each<[string, TestRecord[], boolean[]]>([
    ['accepts an intent of the current holder', [takeover(5), intent('a', 5, 0)], [true, true]],
    ['refuses an intent without a takeover', [intent('a', 5, 0)], [false]],
    ['refuses an intent of a former holder', [takeover(5), takeover(9), intent('a', 5, 0)], [true, true, false]],
    ['refuses a takeover with a fencing number that is not greater than the current one', [takeover(9), takeover(5), takeover(9)], [true, false, false]],
    ['refuses a second intent while one is open', [takeover(5), intent('a', 5, 0), intent('b', 5, 2)], [true, true, false]],
    ['accepts the next intent after the outcome', [takeover(5), intent('a', 5, 0), outcome('a', 5), intent('b', 5, 3)], [true, true, true, true]],
    ['refuses an intent that names a record older than the engine\'s last one', [takeover(5), intent('a', 5, 0), outcome('a', 5), intent('b', 5, 2)], [true, true, true, false]],
    ['accepts an intent for another engine while one is open', [takeover(5), intent('a', 5, 0), intent('b', 5, 0, { engine: 'engine-2' })], [true, true, true]],
    ['refuses an intent with the id of an open order of another engine', [takeover(5), intent('a', 5, 0), intent('a', 5, 0, { engine: 'engine-2' })], [true, true, false]],
    ['accepts an outcome of the successor', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 9)], [true, true, true, true]],
    ['refuses an outcome of the former holder', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 5)], [true, true, true, false]],
    ['refuses a second outcome of the same order', [takeover(5), intent('a', 5, 0), outcome('a', 5), outcome('a', 5)], [true, true, true, false]],
    ['refuses an intent with an unknown order kind', [takeover(5), intent('a', 5, 0, { order: { kind: 'explode' } })], [true, false]],
    ['refuses an intent for a fence order', [takeover(5), intent('a', 5, 0, { order: { kind: 'fence' } })], [true, false]],
    ['refuses a confirmation for an order that no holder may still send', [takeover(5), intent('a', 5, 0), confirm('b')], [true, true, false]]
  ])('%s', (_name, records, expected) => {
    expect(apply(new OrderProjection(), records)).toEqual(expected)
  })
})

describe('possible senders, before and after a restore from a snapshot,', () => {
  test.each<[string, TestRecord[], number[]]>([
    ['include the writer of an open intent', [takeover(5), intent('a', 5, 0)], [5]],
    ['are none after the writer of the intent wrote the outcome', [takeover(5), intent('a', 5, 0), outcome('a', 5)], []],
    ['include the former and the new holder after a takeover with an open intent', [takeover(5), intent('a', 5, 0), takeover(9)], [5, 9]],
    ['include only the former holder after an outcome of the successor', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 9)], [5]],
    ['include all former holders that took over while the intent was open', [takeover(5), intent('a', 5, 0), takeover(9), takeover(12), outcome('a', 12)], [5, 9]],
    ['are none after a confirmation that follows the outcome', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 9), confirm('a')], []],
    ['include the current holder even after a confirmation', [takeover(5), intent('a', 5, 0), takeover(9), confirm('a')], [9]],
    ['include only the writer of the next intent once it is accepted', [takeover(5), intent('a', 5, 0), takeover(9), outcome('a', 9), intent('b', 9, 4)], [9]]
  ])('%s', (_name, records, expected) => {
    const projection = new OrderProjection()
    apply(projection, records)
    const possibleSenderNumbers = (source: OrderProjection): number[] =>
      source.engineRecord(engine).possibleSenders.map(sender => sender.fencingNumber)
    expect(possibleSenderNumbers(projection)).toEqual(expected)
    const restored = new OrderProjection()
    restored.restore(JSON.parse(JSON.stringify(projection.snapshot())), toOffset(records.length))
    expect(possibleSenderNumbers(restored)).toEqual(expected)
    expect(restored.snapshot()).toEqual(projection.snapshot())
    expect(restored.openIntents()).toEqual(projection.openIntents())
  })
})
