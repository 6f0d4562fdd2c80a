/**
 * Guards against tokens that a caller misses, gets twice, gets out of order, or gets from another attempt.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import type { AttemptId } from '../common/index.js'
import { type SequencedChunk, TokenSequencer, type SequencerVerdict } from './TokenSequencer.js'

const attempt = 'r.1' as AttemptId

function token (position: number, attemptId: string = attempt): SequencedChunk {
  return { attemptId, position, text: `t${position}` }
}

function end (position: number): SequencedChunk {
  return { attemptId: attempt, position, finishReason: 'length' }
}

describe('TokenSequencer', () => {
  test.each<[string, number, SequencedChunk[], SequencerVerdict[], number[]]>([
    ['chunks in order pass', 0, [token(0), token(1)], ['accepted', 'accepted'], [0, 1]],
    ['a chunk of another attempt is dropped', 0, [token(0, 'r.2'), token(0)], ['foreign', 'accepted'], [0]],
    ['a chunk that already passed is dropped', 0, [token(0), token(0)], ['accepted', 'duplicate'], [0]],
    ['a chunk before the resumed position is dropped', 2, [token(1), token(2)], ['duplicate', 'accepted'], [2]],
    ['an early chunk waits', 0, [token(1), token(0)], ['held', 'accepted'], [0, 1]],
    ['a held chunk is not held twice', 0, [token(1), token(1), token(0)], ['held', 'duplicate', 'accepted'], [0, 1]],
    ['an early end waits for the last token', 0, [token(0), end(2), token(1)], ['accepted', 'held', 'accepted'], [0, 1, 2]],
    ['too many early chunks end the attempt', 0, [token(1), token(2), token(3)], ['held', 'held', 'overflow'], []]
  ])('%s', (_name, from, chunks, verdicts, positions) => {
    const sequencer = new TokenSequencer(attempt, from, 2)
    const ready: SequencedChunk[] = []
    expect(chunks.map(chunk => sequencer.take(chunk, ready))).toEqual(verdicts)
    expect(ready.map(({ position }) => position)).toEqual(positions)
  })

  test('any mix of shuffled, doubled and foreign chunks gives each token once and in order', () => {
    const arrival = fc.integer({ min: 1, max: 30 }).chain(count => fc.record({
      count: fc.constant(count),
      from: fc.integer({ min: 0, max: count }),
      order: fc.shuffledSubarray([...Array(count).keys()], { minLength: count }),
      doubled: fc.array(fc.nat(count - 1)),
      foreign: fc.array(fc.nat(count + 5))
    }))
    fc.assert(fc.property(arrival, ({ count, from, order, doubled, foreign }) => {
      const sequencer = new TokenSequencer(attempt, from, 64)
      const ready: SequencedChunk[] = []
      const mixed = [end(count), ...order.flatMap((position, index) => [
        token(position), ...(doubled.includes(index) ? [token(position)] : []), ...(foreign.includes(index) ? [token(index, 'x')] : [])
      ])]
      for (const chunk of mixed) sequencer.take(chunk, ready)
      expect(ready.filter(({ text }) => text !== undefined).map(({ text }) => text))
        .toEqual(Array.from({ length: count - from }, (_, index) => `t${from + index}`))
      expect(ready.at(-1)).toEqual(end(count))
    }), { seed: 4, numRuns: 300 })
  })
})
