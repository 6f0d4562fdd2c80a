/**
 * Guards against a limit that stays at the slots of a worker which slows down long before, that falls without end or by
 * single slow requests, or that stays low after the worker has recovered.
 */
import { expect, test } from '@jest/globals'
import { SeededRandom } from '../common/index.js'
import { ConcurrencyLimit } from './ConcurrencyLimit.js'

const slots = 16
let now = 0

/** Sends as many requests as the limit allows to a worker whose latency depends on that; returns the limit at the end. */
function play (limit: ConcurrencyLimit, latencyAt: (open: number) => number, requests = 300): number {
  for (let number = 0; number < requests; number += 1) {
    now += 50
    const open = Math.max(1, Math.round(limit.value(slots, now)))
    // Some of the load is low, as it is in any traffic.
    const sent = number % 4 === 0 ? 1 : open
    const latency = latencyAt(sent)
    limit.record(latency, sent, slots, latency * 50, now)
  }
  return limit.value(slots, now)
}

const random = new SeededRandom(3)
const degradingAbove = (most: number) => (open: number): number => open > most ? open / most * 2 : 1

test.each<[string, (open: number) => number, number, number]>([
  ['that is as fast at any load up to its slots', () => 1, slots, slots],
  ['that slows down above 4 open requests', degradingAbove(4), 2, 9],
  ['that slows down above 1 open request', degradingAbove(1), 1, 5],
  ['with noise of a third around its time', () => 0.67 + 0.66 * random.fraction(), slots, slots],
  ['that is slow for one of 15 requests', () => random.fraction() < 0.067 ? 2.5 : 1, slots * 0.5, slots]
])('a worker %s', (_name, latencyAt, lowest, highest) => {
  const limit = play(new ConcurrencyLimit(), latencyAt)
  expect(limit).toBeGreaterThanOrEqual(lowest)
  expect(limit).toBeLessThanOrEqual(highest)
})

test('a worker that recovers, under full load', () => {
  const limit = new ConcurrencyLimit()
  expect(play(limit, degradingAbove(2))).toBeLessThan(8)
  expect(play(limit, () => 1)).toBe(slots)
})

test('a worker without requests returns to its slots', () => {
  const limit = new ConcurrencyLimit()
  play(limit, degradingAbove(2))
  now += 60_000
  expect(limit.value(slots, now)).toBeGreaterThan(slots - 1)
})
