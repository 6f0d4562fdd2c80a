import { expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type ErrorKind, failure, type Failure, type FencingNumber, ManualClock, type Pool, type Zone } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import type { WorkerCountOrder } from '../duties/index.js'
import { CapacityTask } from './CapacityTask.js'
import type { PoolScaling } from './WorkerOrder.js'

const zone = 'a' as Zone
const number = 7 as FencingNumber
const scaling: PoolScaling = {
  minWorkersPerZone: 1, maxWorkersPerZone: 9, startupMilliseconds: 4000, spotPrice: 0.2, zonePrices: new Map([[zone, 1]])
}

function createTask (answer: (order: WorkerCountOrder) => Result<void, Failure>, isConfirmed = (): boolean => true) {
  const clock = new ManualClock()
  const given: Array<{ order: WorkerCountOrder, fencingNumber: FencingNumber }> = []
  const refused: FencingNumber[] = []
  const held = { number }
  const lease = {
    authority: () => refused.length > 0 ? undefined : held.number,
    confirmedAuthority: async () => isConfirmed() ? held.number : undefined,
    handleRefusal: (refusedNumber: FencingNumber) => { refused.push(refusedNumber) }
  }
  const task = new CapacityTask({
    clock,
    events: new EventLog({ timeline: new Timeline('host', new HybridClock(clock)), level: 'error', write: () => {} }),
    lease,
    pools: () => [{
      pool: 'modelos' as Pool,
      scaling,
      throughput: { promptsPerWorker: 0.5, answersPerWorker: 16, promptShare: 0.75 },
      workers: Array.from({ length: 6 }, () => ({ zone, kind: 'standard' as const, leaving: false }))
    }],
    demandOf: () => undefined,
    platform: {
      orderWorkers: async (order, fencingNumber) => {
        given.push({ order, fencingNumber })
        return answer(order)
      }
    }
  })
  return { clock, task, given, refused, held }
}

const failed = (kind: ErrorKind) => () => Result.err<void, Failure>(failure(kind, 'refused by the test'))

// Guards against orders of a host that has lost the duty.
test('without a confirmation of the store no order is given', async () => {
  const { task, given } = createTask(() => Result.ok(undefined), () => false)
  await task.runOnce()
  expect(given).toEqual([])
})

// Guards against a holder that goes on with a number that the platform has refused.
test('a refused fencing number ends the orders', async () => {
  const { task, given, refused } = createTask(failed('lost_authority'))
  await task.runOnce()
  await task.runOnce()
  expect(given).toHaveLength(1)
  expect(refused).toEqual([number])
})

// Guards against a missing order after a lost response, and against repeats while the platform has no workers.
test.each([
  ['upstream_failed', 2],
  ['conflict', 1]
] as const)('an order that ends with %s is given %i times in two seconds', async (kind, times) => {
  const { task, given, clock } = createTask(failed(kind))
  await task.runOnce()
  await clock.advance(1000)
  await task.runOnce()
  expect(given.map(({ order: { kind: ordered } }) => ordered)).toEqual(Array(times).fill('spot'))
})

// Guards against a holder that gives its authority up for good since the platform refused an order without a reason, and the
// store did not answer the question whether the authority still holds.
test('a refusal without a reason ends nothing while the store does not answer', async () => {
  let confirmations = 0
  const { task, given, refused } = createTask(failed('conflict'), () => { confirmations += 1; return confirmations % 2 === 1 })
  await task.runOnce()
  expect(refused).toEqual([])
  await task.runOnce()
  expect(given).toHaveLength(2)
})

// Guards against an order that the platform executes after one with a greater number, when it does not check numbers.
test('after an order without a response, none with a greater number is given for one lease', async () => {
  const { task, given, clock, held } = createTask(failed('outcome_unknown'))
  await task.runOnce()
  held.number = 8 as FencingNumber
  await clock.advance(2900)
  await task.runOnce()
  expect(given.every(({ fencingNumber }) => fencingNumber === number)).toBe(true)
  await clock.advance(100)
  await task.runOnce()
  expect(given.at(-1)!.fencingNumber).toBe(8)
})
