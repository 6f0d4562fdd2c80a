/**
 * Guards against resuming a stream from a text with a missing, repeated or misplaced token.
 */
import { expect, test } from '@jest/globals'
import { DeliveredText } from './DeliveredText.js'

test.each([0, 1, 255, 256, 257, 512, 1000])('the text of %i tokens contains each token once and in order', count => {
  const tokens = Array.from({ length: count }, (_, index) => `t${index} `)
  const delivered = new DeliveredText()
  for (const token of tokens) delivered.add(token)
  expect(delivered.text()).toBe(tokens.join(''))
})
