/**
 * Guards against tokens that a caller does not receive, or receives twice, out of order or from another attempt.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { AttemptId } from '../common/index.js'
import { type SequencedChunk, TokenSequencer, type SequencerResult } from './TokenSequencer.js'

const attempt = 'r.1' as AttemptId

function token (position: number, attemptId: string = attempt): SequencedChunk {
  return { attemptId, position, text: `t${position}` }
}

function end (position: number): SequencedChunk {
  return { attemptId: attempt, position, finishReason: 'length' }
}

describe('TokenSequencer', () => {
  test.each<[string, number, SequencedChunk[], SequencerResult[], number[]]>([
    ['chunks in order are delivered', 0, [token(0), token(1)], ['accepted', 'accepted'], [0, 1]],
    ['a chunk of another attempt is dropped', 0, [token(0, 'r.2'), token(0)], ['foreign', 'accepted'], [0]],
    ['a chunk of a delivered position is dropped', 0, [token(0), token(0)], ['accepted', 'duplicate'], [0]],
    ['a chunk before the resumed position is dropped', 2, [token(1), token(2)], ['duplicate', 'accepted'], [2]],
    ['a chunk that arrives early is held until the missing one arrives', 0, [token(1), token(0)], ['held', 'accepted'], [0, 1]],
    ['a duplicate of a held chunk is dropped', 0, [token(1), token(1), token(0)], ['held', 'duplicate', 'accepted'], [0, 1]],
    ['an end that arrives early is held until the last token arrives', 0, [token(0), end(2), token(1)], ['accepted', 'held', 'accepted'], [0, 1, 2]],
    ['an early chunk beyond the limit of held chunks results in an overflow', 0, [token(1), token(2), token(3)], ['held', 'held', 'overflow'], []]
  ])('%s', (_name, from, chunks, results, positions) => {
    const sequencer = new TokenSequencer(attempt, from, 2)
    const ready: SequencedChunk[] = []
    expect(chunks.map(chunk => sequencer.accept(chunk, ready))).toEqual(results)
    expect(ready.map(({ position }) => position)).toEqual(positions)
  })

  test('any mix of shuffled, duplicate and foreign chunks delivers each token once and in order', () => {
    const arrival = fc.integer({ min: 1, max: 30 }).chain(count => fc.record({
      count: fc.constant(count),
      from: fc.integer({ min: 0, max: count }),
      order: fc.shuffledSubarray([...Array(count).keys()], { minLength: count }),
      duplicated: fc.array(fc.nat(count - 1)),
      foreign: fc.array(fc.nat(count + 5))
    }))
    fc.assert(fc.property(arrival, ({ count, from, order, duplicated, foreign }) => {
      const sequencer = new TokenSequencer(attempt, from, 64)
      const ready: SequencedChunk[] = []
      const mixed = [end(count), ...order.flatMap((position, index) => [
        token(position), ...(duplicated.includes(index) ? [token(position)] : []), ...(foreign.includes(index) ? [token(index, 'x')] : [])
      ])]
      for (const chunk of mixed) sequencer.accept(chunk, ready)
      expect(ready.filter(({ text }) => text !== undefined).map(({ text }) => text))
        .toEqual(Array.from({ length: count - from }, (_, index) => `t${from + index}`))
      expect(ready.at(-1)).toEqual(end(count))
    }), { seed: 4, numRuns: 300 })
  })
})
