/**
 * Guards against hints that outlive what an engine holds: missed, repeated or late cache events, a restarted
 * engine, and memory that grows with the prompts seen.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { type Incarnation, SystemClock, Task, type WorkerId } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { EngineStandIn } from '../standins/index.js'
import { followCacheEvents } from './followCacheEvents.js'
import { type CacheEvent, PrefixIndex } from './PrefixIndex.js'
import { WordTokenizer } from './PromptTokenizer.js'

const worker = 'e-1' as WorkerId
const incarnation = '0000000000000001' as Incarnation

function event (sequence: number, kind: 'stored' | 'removed', blocks: string[], of = incarnation): CacheEvent {
  return { sequence, kind, blocks, incarnation: of }
}

function cached (index: PrefixIndex, blocks: string[]): number {
  return index.cachedBlocks(blocks).get(worker) ?? 0
}

describe('PrefixIndex', () => {
  test('counts the leading blocks that each worker holds', () => {
    const index = new PrefixIndex()
    index.noteSent(worker, ['a', 'b'])
    index.noteSent('e-2' as WorkerId, ['a'])
    index.noteSent('e-3' as WorkerId, ['x', 'b'])
    expect(Object.fromEntries(index.cachedBlocks(['a', 'b', 'c']))).toEqual({ 'e-1': 2, 'e-2': 1 })
    expect(cached(index, [])).toBe(0)
  })

  test('follows events in order, and each counts once', () => {
    const index = new PrefixIndex()
    expect(index.apply(worker, event(1, 'stored', ['a', 'b']))).toBe('applied')
    expect(index.apply(worker, event(2, 'removed', ['b']))).toBe('applied')
    expect(index.apply(worker, event(1, 'stored', ['a', 'b']))).toBe('old')
    expect(cached(index, ['a', 'b'])).toBe(1)
    expect(index.apply(worker, { sequence: 3, kind: 'cleared', incarnation })).toBe('applied')
    expect([cached(index, ['a']), index.size]).toEqual([0, 0])
  })

  test('an event after a gap is not applied until the hints start anew', () => {
    const index = new PrefixIndex()
    index.apply(worker, event(1, 'stored', ['a']))
    expect(index.apply(worker, event(3, 'stored', ['c']))).toBe('gap')
    expect([cached(index, ['a']), cached(index, ['c'])]).toEqual([1, 0])
    index.resynchronise(worker, 3)
    expect(index.apply(worker, event(3, 'stored', ['c']))).toBe('applied')
    expect([cached(index, ['a']), cached(index, ['c'])]).toEqual([0, 1])
  })

  test('a restarted engine holds nothing', () => {
    const index = new PrefixIndex()
    index.apply(worker, event(1, 'stored', ['a']))
    expect(index.apply(worker, event(1, 'stored', ['b'], '0000000000000002' as Incarnation))).toBe('applied')
    expect([cached(index, ['a']), cached(index, ['b'])]).toEqual([0, 1])
  })

  test('memory is bounded and the least recently used blocks go', () => {
    const index = new PrefixIndex(3)
    for (const block of ['a', 'b', 'c', 'a', 'd']) index.noteSent(worker, [block])
    expect(['a', 'b', 'c', 'd'].map(block => cached(index, [block]))).toEqual([1, 0, 1, 1])
    index.forget(worker)
    expect(index.size).toBe(0)
  })

  test('any events leave exactly the hints that the engine would state', () => {
    const change = fc.record({
      kind: fc.constantFrom('stored' as const, 'removed' as const), blocks: fc.array(fc.constantFrom('a', 'b', 'c', 'd'))
    })
    fc.assert(fc.property(fc.array(change), changes => {
      const index = new PrefixIndex()
      const held = new Set<string>()
      for (const [position, { kind, blocks }] of changes.entries()) {
        index.apply(worker, event(position + 1, kind, blocks))
        for (const block of blocks) if (kind === 'stored') held.add(block); else held.delete(block)
      }
      expect(['a', 'b', 'c', 'd'].filter(block => cached(index, [block]) === 1)).toEqual([...held].sort())
      expect(index.size).toBe(held.size)
    }), { seed: 2, numRuns: 200 })
  })
})

describe('followCacheEvents', () => {
  const clock = new SystemClock()
  const tokenizer = new WordTokenizer(4)
  const timeline = new Timeline('h-1', new HybridClock(clock))
  const events = new EventLog({ timeline, level: 'error', write: () => {} })
  let engine: EngineStandIn
  let index: PrefixIndex
  let task: Task

  async function start (settings: Parameters<typeof EngineStandIn.start>[0] = {}): Promise<void> {
    engine = await EngineStandIn.start({ models: [{ model: 'carassius' as never }], timeScale: 0.01, blockTokens: 4, ...settings })
    task = Task.start(signal => followCacheEvents({ worker, origin: `http://${engine.listenAddress}`, index, clock, events }, signal),
      error => { throw error })
  }

  async function generate (prompt: string): Promise<string[]> {
    const response = await fetch(`http://${engine.listenAddress}/v1/completions`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({ model: 'carassius', prompt, max_tokens: 1 })
    })
    await response.json()
    return [...tokenizer.analyse('carassius', prompt).promptBlocks]
  }

  async function until (condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise(resolve => setImmediate(resolve))
  }

  beforeEach(() => { index = new PrefixIndex() })

  afterEach(async () => {
    await task.stop()
    await engine.stop()
  })

  test('the hints name the blocks as the engine does', async () => {
    await start()
    const blocks = await generate('one two three four five six seven eight nine')
    expect(blocks).toHaveLength(2)
    await until(() => cached(index, blocks) === 2)
  })

  test('after a missing event the hints start anew with the next one', async () => {
    await start({ cacheEventGapEvery: 2 })
    const first = await generate('a b c d')
    await until(() => cached(index, first) === 1)
    await generate('e f g h')
    const third = await generate('i j k l')
    await until(() => cached(index, third) === 1)
    expect(cached(index, first)).toBe(0)
    expect(timeline.events().some(({ event: name }) => name === 'cache_hints_resynchronised')).toBe(true)
  })

  test('the hints about an engine go when it is no longer followed', async () => {
    await start()
    const blocks = await generate('a b c d')
    await until(() => cached(index, blocks) === 1)
    await task.stop()
    expect(index.size).toBe(0)
  })
})
