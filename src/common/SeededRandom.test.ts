/**
 * Guards against first numbers that depend on the size of the seed: the generator's first outputs for a small
 * seed lie at the ends of the range, which caused a gap of seconds at the start of generated traces.
 */
import { expect, test } from '@jest/globals'
import { SeededRandom } from './SeededRandom.js'

test.each([0, 1, 2, 5])('the numbers at position %i of 200 small seeds are spread over the whole range', position => {
  const numbers = Array.from({ length: 200 }, (_, seed) => {
    const random = new SeededRandom(seed + 1)
    for (let skipped = 0; skipped < position; skipped += 1) random.fraction()
    return random.fraction()
  })
  const quarterCounts = [0, 0, 0, 0]
  for (const number of numbers) quarterCounts[Math.floor(number * 4)]! += 1
  // 50 are expected in each quarter; 20 would be 5 standard deviations away.
  expect(Math.min(...quarterCounts)).toBeGreaterThan(20)
})

test('equal seeds give equal numbers, and different seeds give different numbers', () => {
  const draw = (seed: number): number[] => {
    const random = new SeededRandom(seed)
    return [random.integer(1, 6), random.fraction(), random.exponential(10)]
  }
  expect(draw(7)).toEqual(draw(7))
  expect(draw(7)).not.toEqual(draw(8))
})
