import { expect, test } from '@jest/globals'
import { type HostId, type Incarnation, ManualClock, type Pool, type Zone } from '../common/index.js'
import { HostReportBoard } from './HostReportBoard.js'

const pool = 'llm' as Pool

// Guards against a holder that takes hosts which cannot reach it for less demand, and orders fewer workers.
test('the demand is unknown while many of the hosts that reported before do not', async () => {
  const clock = new ManualClock()
  const board = new HostReportBoard(clock)
  const report = (hosts: number): void => {
    for (let number = 0; number < hosts; number += 1) {
      board.receive({
        host: `host-${number}` as HostId,
        incarnation: '0123456789abcdef' as Incarnation,
        zone: (number % 5 < 3 ? 'a' : 'b') as Zone,
        at: clock.wall(),
        windows: [],
        demand: [{ pool, openPrompts: 1, openAnswers: 2, computedPrompts: 10, refusedPrompts: 0 }]
      })
    }
  }
  report(10)
  expect(board.demandOf(pool)).toEqual({
    openPrompts: 10,
    openAnswers: 20,
    zones: new Map([['a', { openPrompts: 6, openAnswers: 12 }], ['b', { openPrompts: 4, openAnswers: 8 }]])
  })
  await clock.advance(4000)
  report(5)
  expect(board.demandOf(pool)).toBeUndefined()
  await clock.advance(12_000)
  report(5)
  expect(board.demandOf(pool)).toMatchObject({ openPrompts: 5, openAnswers: 10 })
})

// Guards against a pool whose workers are taken away since its callers are refused.
test('prompts that were refused for lack of workers count as those that were computed', () => {
  const board = new HostReportBoard(new ManualClock())
  const demands = {
    a: { openPrompts: 6, computedPrompts: 20, refusedPrompts: 0 },
    b: { openPrompts: 0, computedPrompts: 0, refusedPrompts: 10 }
  }
  for (const [zone, demand] of Object.entries(demands)) {
    board.receive({
      host: `host-${zone}` as HostId,
      incarnation: '0123456789abcdef' as Incarnation,
      zone: zone as Zone,
      at: 0,
      windows: [],
      demand: [{ pool, openAnswers: 1, ...demand }]
    })
  }
  expect(board.demandOf(pool)).toEqual({
    openPrompts: 9,
    openAnswers: 2,
    zones: new Map([['a', { openPrompts: 6, openAnswers: 1 }], ['b', { openPrompts: 3, openAnswers: 1 }]])
  })
})
