/**
 * Guards against estimates that stay at the figures of another deployment, and against one slow response that makes all
 * prompts look late.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { PrefillSpeed } from './PrefillSpeed.js'

const initial = { tokensPerMillisecond: 50, baseMilliseconds: 70 }
let speed: PrefillSpeed

beforeEach(() => { speed = new PrefillSpeed(initial) })

test.each([
  ['half as fast', 25],
  ['twice as fast', 100]
])('workers that are %s as expected are measured within a hundred prompts', (_name, tokensPerMillisecond) => {
  for (let number = 0; number < 100; number += 1) speed.record(4000, 70 + 4000 / tokensPerMillisecond, true)
  expect(speed.tokensPerMillisecond).toBeCloseTo(tokensPerMillisecond, 0)
})

test('the constant part follows the fastest responses, the usual time most of them', () => {
  for (let number = 0; number < 400; number += 1) speed.record(0, number % 4 === 0 ? 30 : 150, true)
  expect(speed.baseMilliseconds).toBeLessThan(60)
  expect(speed.usualMilliseconds).toBeGreaterThan(120)
})

test.each([
  ['a large prompt that hung for a minute', 4000],
  ['a small prompt that hung for a minute', 100]
])('%s changes the estimates by less than a fifth', (_name, tokens) => {
  speed.record(tokens, 60_000, true)
  expect(speed.tokensPerMillisecond).toBeGreaterThan(40)
  expect(speed.usualMilliseconds).toBeLessThan(84)
})

test('prompts that waited for others tell nothing about the speed', () => {
  speed.record(4000, 10_000, false)
  expect(speed.tokensPerMillisecond).toBe(initial.tokensPerMillisecond)
})
