/**
 * Guards against a soak that passes because its checks of crashing prompts detect nothing.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { PromptCrashes } from './PromptCrashes.js'

const stableWindowMilliseconds = 3000

let crashes: PromptCrashes

beforeEach(() => {
  crashes = new PromptCrashes(stableWindowMilliseconds)
  for (const at of [1000, 1100, 1200, 1300, 1400]) crashes.recordCrash(at)
})

function violatedGuarantees (): string[] {
  return crashes.violations().map(([guarantee]) => guarantee)
}

// Guards against hosts that keep sending a part that crashes workers.
test.each([
  { requests: 3, at: 4401, violated: [] },
  { requests: 4, at: 4400, violated: [] },
  { requests: 4, at: 4401, violated: ['BUDGET'] }
])('$requests requests with the part at $at ms: $violated', ({ requests, at, violated }) => {
  for (let number = 0; number < requests; number += 1) crashes.recordArrival(`request-${number}`, at)
  expect(violatedGuarantees()).toEqual(violated)
})

// Guards against hosts that refuse prompts which share only the first part with those that crash workers.
test.each([
  { begun: 10, sentAt: 7400, violated: [] },
  { begun: 9, sentAt: 7399, violated: [] },
  { begun: 9, sentAt: 7400, violated: ['LOST'] }
])('$begun of 20 other prompts begin at $sentAt ms: $violated', ({ begun, sentAt, violated }) => {
  for (let number = 0; number < 20; number += 1) crashes.recordOther(number, true)
  for (let number = 0; number < 20; number += 1) crashes.recordOther(sentAt, number < begun)
  expect(violatedGuarantees()).toEqual(violated)
})
