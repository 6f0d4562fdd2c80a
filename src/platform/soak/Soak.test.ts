/**
 * A short soak with real processes, and each seed that ever failed. Bounds of time are not checked here, since the
 * verdict must not depend on the machine; `npm run soak` checks them.
 */
import { expect, test } from '@jest/globals'
import { Soak } from './Soak.js'

/** Seeds that are always played, and those that failed once, with the cause. */
const seeds: Array<[seed: number, why: string]> = [
  [1, 'a fixed run']
]

test.each(seeds)('seed %d breaks no promise (%s)', async seed => {
  const result = await Soak.play({ seed, milliseconds: 6000, hosts: 3, callersPerHost: 4, checksTimes: false })
  expect(result.violations).toEqual([])
  expect(result.answers.whole).toBeGreaterThan(0)
  expect(result.faults.length).toBeGreaterThan(5)
})
