import { expect, test } from '@jest/globals'
import { ManualClock, type Pool, type WorkerId, type Zone } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { HeldParts } from './HeldParts.js'
import { PromptScheduler } from './PromptScheduler.js'
import type { PromptTask } from './PromptTask.js'

const cell = { pool: 'llm' as Pool, zone: undefined }
const workers = [{ id: 'w0' as WorkerId, zone: 'a' as Zone }]

// Guards against a scheduler that refuses all prompts for ever, since abandoned prompts went on counting as waiting.
test('prompts that are abandoned while they wait leave room for others', async () => {
  const clock = new ManualClock()
  const scheduler = new PromptScheduler({
    clock,
    events: discardingEventLog(clock),
    held: new HeldParts(),
    workers: () => workers,
    holders: () => workers,
    answerWorkers: () => [],
    costs: { tokensPerMillisecond: 50, baseMilliseconds: 70, fetchedTokensPerMillisecond: 1000 }
  })
  const taskOf = (id: string, tokens: number): PromptTask =>
    ({ id, parts: ['x'.repeat(1_000_000)], partTokens: [tokens], dueAt: 60_000, lostAt: 120_000 })
  const nextTurn = async (): Promise<void> => { await new Promise(resolve => setImmediate(resolve)) }
  scheduler.place(cell, taskOf('first', 100_000)).catch(() => {})
  await nextTurn()
  for (let number = 0; number < 40; number += 1) {
    scheduler.place(cell, taskOf(`abandoned-${number}`, 1000)).catch(() => {})
    scheduler.end(cell, `abandoned-${number}`, 'abandoned')
    await nextTurn()
  }
  expect(scheduler.waitingCount).toBe(0)
  const last = scheduler.place(cell, taskOf('last', 1000))
  await nextTurn()
  expect(scheduler.waitingCount).toBe(1)
  await clock.advance(5000)
  expect(await Promise.race([last, nextTurn().then(() => 'waits')])).not.toMatchObject({ kind: 'refused' })
})
