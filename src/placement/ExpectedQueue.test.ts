/**
 * Guards against prompts that are refused because of the sum of the queue although a worker is free for them.
 */
import { expect, test } from '@jest/globals'
import { ExpectedQueue } from './ExpectedQueue.js'

test.each([
  ['an idle worker', [0, 500], [], 0],
  ['one prompt ahead and two idle workers', [0, 0], [900], 0],
  ['as many prompts ahead as workers', [0, 0], [900, 300], 300],
  ['prompts ahead that fill the gap between workers', [100, 400], [200, 200], 400],
  ['no workers', [], [100], Infinity]
] as Array<[string, number[], number[], number]>)('with %s', (_name, backlogs, ahead, expected) => {
  const queue = new ExpectedQueue(backlogs)
  for (const milliseconds of ahead) queue.add(milliseconds)
  expect(queue.waitMilliseconds).toBe(expected)
})
