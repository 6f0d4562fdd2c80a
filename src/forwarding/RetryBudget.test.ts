/**
 * Guards against more retries in any window than the platform allows for all hosts together, and against a budget that
 * stays used up after earlier retries have left the window.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { ManualClock, type Pool } from '../common/index.js'
import { RetryBudget } from './RetryBudget.js'

const pool = 'engines' as Pool
const windowMilliseconds = 10_000

let clock: ManualClock

beforeEach(() => { clock = new ManualClock() })

function grantedRetries (budget: RetryBudget, tries: number): number {
  return Array.from({ length: tries }, () => budget.tryTake(pool)).filter(Boolean).length
}

describe('the budget of a pool', () => {
  test('allows the slack plus the ratio for each request', () => {
    const budget = new RetryBudget(clock, { ratio: 0.5, slack: 3 })
    for (let request = 0; request < 10; request += 1) budget.requestStarted(pool)
    expect(grantedRetries(budget, 20)).toBe(8)
  })

  test('allows the slack again once earlier retries have left the window', async () => {
    const budget = new RetryBudget(clock, { ratio: 0, slack: 3 })
    expect(grantedRetries(budget, 5)).toBe(3)
    await clock.advance(windowMilliseconds - 1)
    expect(grantedRetries(budget, 5)).toBe(0)
    await clock.advance(1)
    expect(grantedRetries(budget, 5)).toBe(3)
  })

  test('is not reduced by retries of another pool', () => {
    const budget = new RetryBudget(clock, { ratio: 0, slack: 1 })
    expect(grantedRetries(budget, 2)).toBe(1)
    expect(budget.tryTake('other' as Pool)).toBe(true)
  })

  test('grants no retries after charges, and is overdrawn once charges exceed the limit by more than the slack', () => {
    const budget = new RetryBudget(clock, { ratio: 0, slack: 2 })
    for (let charge = 0; charge < 4; charge += 1) budget.charge(pool)
    expect(budget.tryTake(pool)).toBe(false)
    expect(budget.isOverdrawn(pool)).toBe(false)
    budget.charge(pool)
    expect(budget.isOverdrawn(pool)).toBe(true)
  })

  test('limits the retries in every window for any sequence of requests and retries', async () => {
    const count = fc.integer({ min: 0, max: 4 })
    const stepSequences = fc.array(fc.tuple(fc.integer({ min: 0, max: 900 }), count, count), { maxLength: 80 })
    await fc.assert(fc.asyncProperty(stepSequences, async steps => {
      const time = new ManualClock()
      const limits = { ratio: 0.25, slack: 2 }
      const budget = new RetryBudget(time, limits)
      const requests: number[] = []
      const retries: number[] = []
      for (const [wait, arriving, wanted] of steps) {
        await time.advance(wait)
        for (let count = 0; count < arriving; count += 1) {
          budget.requestStarted(pool)
          requests.push(time.monotonic())
        }
        for (let count = 0; count < wanted; count += 1) {
          if (budget.tryTake(pool)) retries.push(time.monotonic())
        }
        const start = time.monotonic() - windowMilliseconds
        const inWindow = (moment: number): boolean => moment > start
        // Requests may be counted for up to one bucket longer than the window.
        const counted = requests.filter(moment => moment > start - windowMilliseconds / 20).length
        expect(retries.filter(inWindow).length).toBeLessThanOrEqual(limits.slack + limits.ratio * counted)
      }
    }), { numRuns: 200, seed: 20261204 })
  })
})
