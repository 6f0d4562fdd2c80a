/**
 * Guards against a report that counts truncated, late or slow answers as goodput.
 */
import { describe, expect, test } from '@jest/globals'
import type { Team } from '../common/index.js'
import { type ReplayOutcome, reportOf, unmetBounds } from './ReplayReport.js'

const targets = { firstTokenMilliseconds: 630, betweenTokensMilliseconds: 50 }
const goodOutcome: ReplayOutcome = {
  kind: 'model',
  team: 'foro' as Team,
  at: 0,
  result: 'complete',
  sendDelayMilliseconds: 0,
  firstTokenMilliseconds: 100,
  betweenTokensMilliseconds: 10,
  totalMilliseconds: 500,
  isWithinDeadline: true,
  tokens: 10,
  requestedTokens: 10
}

const reportWith = (overrides: Partial<ReplayOutcome>): ReturnType<typeof reportOf> =>
  reportOf({ name: 't', durationMilliseconds: 1000 }, [{ ...goodOutcome, ...overrides }], targets)

describe('reportOf', () => {
  test.each<[string, Partial<ReplayOutcome>, number]>([
    ['a complete answer within the deadline and the latency targets', {}, 1],
    ['a truncated answer', { tokens: 9 }, 0],
    ['an answer with one token too many', { tokens: 11 }, 0],
    ['an answer after the deadline', { isWithinDeadline: false }, 0],
    ['an answer whose first token is later than the target', { firstTokenMilliseconds: 631 }, 0],
    ['an answer whose time between tokens is longer than the target', { betweenTokensMilliseconds: 51 }, 0],
    ['a request that ended with an error', { result: 'overloaded' }, 0],
    ['a complete service call, which has no tokens', { kind: 'service', tokens: 0, requestedTokens: 0, firstTokenMilliseconds: undefined }, 1]
  ])('%s adds %i to the good requests', (_name, outcome, expected) => {
    expect(reportWith(outcome).good).toBe(expected)
  })

  test('counts a complete answer with fewer tokens than requested as one of the wrong length', () => {
    expect(reportWith({ tokens: 9 }).wrongLength).toBe(1)
  })
})

describe('unmetBounds', () => {
  test.each([
    [{ minGoodFraction: 0.9 }, {}, 0],
    [{ minGoodFraction: 0.9 }, { tokens: 1 }, 1],
    [{ maxWrongLength: 0 }, { tokens: 1 }, 1],
    [{ maxErrors: 0 }, { result: 'internal' as const }, 1],
    [{ maxFirstTokenP95Milliseconds: 50 }, {}, 1]
  ])('bounds %j, outcome with %j: %i unmet', (bounds, outcome, unmetCount) => {
    expect(unmetBounds(reportWith(outcome), bounds).length).toBe(unmetCount)
  })
})
