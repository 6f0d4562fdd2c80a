/**
 * Guards against a resumed stream that starts from a text with a missing, doubled or misplaced token.
 */
import { expect, test } from '@jest/globals'
import { DeliveredText } from './DeliveredText.js'

test.each([0, 1, 255, 256, 257, 512, 1000])('%i tokens come back whole and in order', count => {
  const tokens = Array.from({ length: count }, (_, index) => `t${index} `)
  const delivered = new DeliveredText()
  for (const token of tokens) delivered.add(token)
  expect(delivered.text()).toBe(tokens.join(''))
})
