/**
 * Guards against a report that counts cut, late or slow answers as good.
 */
import { describe, expect, test } from '@jest/globals'
import type { Team } from '../common/index.js'
import { type ReplayOutcome, reportOf, unmetOutcomes } from './ReplayReport.js'

const targets = { firstTokenMilliseconds: 630, betweenTokensMilliseconds: 50 }
const good: ReplayOutcome = {
  kind: 'model',
  team: 'foro' as Team,
  at: 0,
  result: 'complete',
  sendDelayMilliseconds: 0,
  firstTokenMilliseconds: 100,
  betweenTokensMilliseconds: 10,
  totalMilliseconds: 500,
  inTime: true,
  tokens: 10,
  wantedTokens: 10
}

const reportFor = (outcome: Partial<ReplayOutcome>): ReturnType<typeof reportOf> =>
  reportOf({ name: 't', durationMilliseconds: 1000 }, [{ ...good, ...outcome }], targets)

describe('reportOf', () => {
  test.each<[string, Partial<ReplayOutcome>, number]>([
    ['a whole answer in time', {}, 1],
    ['a cut answer', { tokens: 9 }, 0],
    ['an answer with a doubled token', { tokens: 11 }, 0],
    ['an answer after the deadline', { inTime: false }, 0],
    ['a late first token', { firstTokenMilliseconds: 631 }, 0],
    ['slow tokens', { betweenTokensMilliseconds: 51 }, 0],
    ['an error', { result: 'overloaded' }, 0],
    ['a service call without tokens', { kind: 'service', tokens: 0, wantedTokens: 0, firstTokenMilliseconds: undefined }, 1]
  ])('%s counts %i', (_name, outcome, expected) => {
    expect(reportFor(outcome).good).toBe(expected)
  })

  test('reports answers of the wrong length that claim to be complete', () => {
    expect(reportFor({ tokens: 9 }).wrongLength).toBe(1)
  })
})

describe('unmetOutcomes', () => {
  test.each([
    [{ minGoodFraction: 0.9 }, {}, 0],
    [{ minGoodFraction: 0.9 }, { tokens: 1 }, 1],
    [{ maxWrongLength: 0 }, { tokens: 1 }, 1],
    [{ maxErrors: 0 }, { result: 'internal' as const }, 1],
    [{ maxFirstTokenP95Milliseconds: 50 }, {}, 1]
  ])('%j of %j', (stated, outcome, count) => {
    expect(unmetOutcomes(reportFor(outcome), stated).length).toBe(count)
  })
})
