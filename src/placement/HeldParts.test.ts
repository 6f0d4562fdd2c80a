/**
 * Guards against prompts that are sent to a worker which holds a later part of the prompt but not the parts before it.
 */
import { describe, expect, test } from '@jest/globals'
import type { WorkerId } from '../common/index.js'
import { HeldParts } from './HeldParts.js'

const worker = 'w' as WorkerId

describe('HeldParts counts the leading tokens of a prompt', () => {
  test.each([
    ['nothing is held', [], 0],
    ['the first part is held', [['a', 100]], 100],
    ['the first two parts are held', [['a', 100], ['b', 200]], 300],
    ['a part of the first one is held', [['a', 60], ['b', 200]], 60],
    ['only the second part is held', [['b', 200]], 0],
    ['the first part was evicted', [['a', 100], ['b', 200], ['a', 0]], 0],
    ['more tokens of a part are held than the prompt has', [['a', 500]], 100]
  ] as Array<[string, Array<[string, number]>, number]>)('if %s', (_name, records, expected) => {
    const held = new HeldParts()
    for (const [part, tokens] of records) held.record(worker, part, tokens)
    expect(held.leadingTokens(worker, ['a', 'b', 'c'], [100, 200, 300])).toBe(expected)
  })

  test('and none of a worker that restarted, until it reports parts again', () => {
    const held = new HeldParts()
    held.record(worker, 'a', 100)
    held.removeWorker(worker)
    expect(held.leadingTokens(worker, ['a'], [100])).toBe(0)
    held.record(worker, 'a', 100)
    expect(held.leadingTokens(worker, ['a'], [100])).toBe(100)
  })
})

// Guards against callers whose prompts, each with a new part, fill the memory of the host that schedules them.
test('the parts of all workers together are bounded, and the oldest are forgotten first', () => {
  const held = new HeldParts(10)
  const workers = ['v', 'w'] as WorkerId[]
  for (let round = 0; round < 20; round += 1) for (const id of workers) held.record(id, `part-${round}`, 1)
  const remembered = workers.map(id => Array.from({ length: 20 }, (_, round) => held.leadingTokens(id, [`part-${round}`], [1])))
  expect(remembered).toEqual(workers.map(() => [...Array(15).fill(0), ...Array(5).fill(1)]))
})
