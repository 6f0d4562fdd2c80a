/**
 * Guards against a budget that lets clients take more than its capacity, that refuses small clients for the sake of large
 * ones, or that leaves clients waiting for ever.
 */
import { expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { MemoryBudget, type Reservation } from './MemoryBudget.js'

const capacity = 1_000_000

/** A client whose calls from the budget are recorded. */
class Client {
  readonly calls: string[] = []
  readonly reservation: Reservation
  constructor (budget: MemoryBudget) {
    this.reservation = budget.open({
      pause: () => { this.calls.push('pause') },
      resume: () => { this.calls.push('resume') },
      refuse: () => { this.calls.push('refuse') }
    })
  }
}

function start (count: number): { clock: ManualClock, budget: MemoryBudget, clients: Client[] } {
  const clock = new ManualClock()
  const budget = new MemoryBudget(capacity, clock)
  return { clock, budget, clients: Array.from({ length: count }, () => new Client(budget)) }
}

test('clients within the capacity are left alone, and freed bytes can be used again', () => {
  const { budget, clients: [first, second] } = start(2)
  for (let round = 0; round < 5; round += 1) {
    first!.reservation.add(900_000)
    first!.reservation.add(-900_000)
  }
  first!.reservation.close()
  second!.reservation.add(capacity)
  expect([first!.calls, second!.calls, budget.usedBytes]).toEqual([[], [], capacity])
})

test('above the capacity a client with more than its share waits until there is room', () => {
  const { budget, clients: [large, other] } = start(2)
  other!.reservation.add(450_000)
  large!.reservation.add(600_000)
  expect([large!.calls, other!.calls]).toEqual([['pause'], []])
  other!.reservation.close()
  expect([large!.calls, budget.pausedReservations]).toEqual([['pause', 'resume'], 0])
})

test('a small client goes on while a large one waits', () => {
  const { clients: [large, small] } = start(2)
  large!.reservation.add(capacity + 1)
  small!.reservation.add(100_000)
  expect([large!.calls, small!.calls]).toEqual([['pause'], []])
})

test('a client that has waited for two seconds is refused, one at a time, the largest first', async () => {
  const { clock, budget, clients } = start(3)
  for (const [index, client] of clients.entries()) client.reservation.add(340_000 + index * 20_000)
  for (const client of clients) client.reservation.add(1)
  await clock.advance(2000)
  budget.check()
  expect(clients.map(({ calls }) => calls.at(-1))).toEqual(['resume', 'resume', 'refuse'])
})

test('when the budget is short, a client without progress is refused before others wait', async () => {
  const { clock, clients: [stalled, active] } = start(2)
  stalled!.reservation.add(600_000)
  await clock.advance(1000)
  active!.reservation.add(600_000)
  expect([stalled!.calls, active!.calls]).toEqual([['refuse'], []])
})

test('beyond the margin the largest client is refused at once', () => {
  const { clients: [largest, middle, small], budget } = start(3)
  largest!.reservation.add(800_000)
  middle!.reservation.add(400_000)
  small!.reservation.add(100_000)
  expect([largest!.calls, middle!.calls, small!.calls]).toEqual([['refuse'], ['pause', 'resume'], []])
  expect(budget.usedBytes).toBe(500_000)
})

test('requests that run are neither paused nor refused; a host that holds too much of them is exhausted', async () => {
  const { clock, budget, clients: [running] } = start(1)
  running!.reservation.add(100)
  running!.reservation.settle()
  running!.reservation.add(2 * capacity)
  await clock.advance(10_000)
  budget.check()
  expect([running!.calls, budget.isExhausted]).toEqual([[], true])
})

test('a closed reservation counts nothing more', () => {
  const { budget, clients: [client] } = start(1)
  client!.reservation.add(500)
  client!.reservation.close()
  client!.reservation.add(500)
  client!.reservation.close()
  expect(budget.usedBytes).toBe(0)
})
