/**
 * Guards against requests that are lost each few seconds at an upstream that goes on to answer out of turn, and against
 * one that is sent each call on a new connection for good.
 */
import { expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { ConnectionDoubt } from './ConnectionDoubt.js'

// Each pause is the time in milliseconds between two responses out of turn, the first one included.
test.each<[string, number[], number]>([
  ['one response', [0], 3000],
  ['responses within the doubt', [0, 1000, 2999, 2999], 3000],
  ['a response soon after the doubt', [0, 3000], 6000],
  ['a response late after the doubt', [0, 6000], 3000],
  ['responses soon after each doubt', [0, 4000, 7000, 13_000, 25_000], 48_000],
  ['responses soon after each doubt, at the limit', [0, 4000, 7000, 13_000, 25_000, 49_000, 61_000], 60_000],
  ['a response late after a long doubt', [0, 4000, 7000, 24_000], 3000]
])('lasts after %s', async (_name, pauses, milliseconds) => {
  const clock = new ManualClock()
  const doubt = new ConnectionDoubt(clock)
  for (const pause of pauses) {
    await clock.advance(pause)
    doubt.record()
  }
  await clock.advance(milliseconds - 1)
  expect(doubt.isActive).toBe(true)
  await clock.advance(1)
  expect(doubt.isActive).toBe(false)
})
