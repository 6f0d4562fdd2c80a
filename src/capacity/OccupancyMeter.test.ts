import { expect, test } from '@jest/globals'
import { ManualClock, type Pool } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { OccupancyMeter } from './OccupancyMeter.js'

const pool = 'llm' as Pool

// Guards against a demand that falls while prompts are refused for lack of workers.
test('the meter counts refused prompts beside the requests in progress, in a second and only once', () => {
  const clock = new ManualClock()
  const workers = [{ pool, computesPrompts: true, openRequests: 3 }, { pool, computesPrompts: false, openRequests: 8 }]
  const meter = new OccupancyMeter({ clock, events: discardingEventLog(clock), workers: () => workers })
  for (let sample = 0; sample < 20; sample += 1) meter.sample()
  for (const outcome of ['computed', 'computed', 'refused', 'computed', 'computed', 'refused'] as const) meter.recordPrompt(pool, outcome)
  expect(meter.take().get(pool)).toEqual({ openPrompts: 3, openAnswers: 8, computedPrompts: 2, refusedPrompts: 1 })
  meter.sample()
  expect(meter.take().get(pool)).toEqual({ openPrompts: 3, openAnswers: 8, computedPrompts: 0, refusedPrompts: 0 })
})
