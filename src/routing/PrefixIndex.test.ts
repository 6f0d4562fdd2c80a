/**
 * Guards against hints about blocks that an engine no longer holds, which arise from missed, repeated or late cache
 * events and from a restarted engine, and against memory use that grows with the number of prompts.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { type AddressInfo, createServer } from 'node:net'
import { EndlessSender, maxAcceptedBytes } from '../clients/testing/EndlessSender.js'
import { type Incarnation, SystemClock, Task, type WorkerId } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { EngineStandIn } from '../standins/index.js'
import { followCacheEvents } from './followCacheEvents.js'
import { type CacheEvent, PrefixIndex } from './PrefixIndex.js'
import { WordTokenizer } from './PromptTokenizer.js'

const worker = 'e-1' as WorkerId
const incarnation = '0000000000000001' as Incarnation

function cacheEvent (sequence: number, kind: 'stored' | 'removed', blocks: string[], eventIncarnation = incarnation): CacheEvent {
  return { sequence, kind, blocks, incarnation: eventIncarnation }
}

function cachedBlockCount (index: PrefixIndex, blocks: string[]): number {
  return index.cachedBlocks(blocks).get(worker) ?? 0
}

describe('PrefixIndex', () => {
  test('cachedBlocks counts the leading blocks of a prompt that each worker holds', () => {
    const index = new PrefixIndex()
    index.recordSent(worker, ['a', 'b'])
    index.recordSent('e-2' as WorkerId, ['a'])
    index.recordSent('e-3' as WorkerId, ['x', 'b'])
    expect(Object.fromEntries(index.cachedBlocks(['a', 'b', 'c']))).toEqual({ 'e-1': 2, 'e-2': 1 })
    expect(cachedBlockCount(index, [])).toBe(0)
  })

  test('events are applied in order, and a repeated event is ignored', () => {
    const index = new PrefixIndex()
    expect(index.apply(worker, cacheEvent(1, 'stored', ['a', 'b']))).toBe('applied')
    expect(index.apply(worker, cacheEvent(2, 'removed', ['b']))).toBe('applied')
    expect(index.apply(worker, cacheEvent(1, 'stored', ['a', 'b']))).toBe('old')
    expect(cachedBlockCount(index, ['a', 'b'])).toBe(1)
    expect(index.apply(worker, { sequence: 3, kind: 'cleared', incarnation })).toBe('applied')
    expect([cachedBlockCount(index, ['a']), index.size]).toEqual([0, 0])
  })

  test('an event after a gap is applied only after a resynchronisation, which removes the earlier hints', () => {
    const index = new PrefixIndex()
    index.apply(worker, cacheEvent(1, 'stored', ['a']))
    expect(index.apply(worker, cacheEvent(3, 'stored', ['c']))).toBe('gap')
    expect([cachedBlockCount(index, ['a']), cachedBlockCount(index, ['c'])]).toEqual([1, 0])
    index.resynchronise(worker, 3)
    expect(index.apply(worker, cacheEvent(3, 'stored', ['c']))).toBe('applied')
    expect([cachedBlockCount(index, ['a']), cachedBlockCount(index, ['c'])]).toEqual([0, 1])
  })

  test('an event of a new incarnation removes the hints about the previous one', () => {
    const index = new PrefixIndex()
    index.apply(worker, cacheEvent(1, 'stored', ['a']))
    expect(index.apply(worker, cacheEvent(1, 'stored', ['b'], '0000000000000002' as Incarnation))).toBe('applied')
    expect([cachedBlockCount(index, ['a']), cachedBlockCount(index, ['b'])]).toEqual([0, 1])
  })

  test('when the limit on hints is exceeded, the least recently used block is removed', () => {
    const index = new PrefixIndex(3)
    for (const block of ['a', 'b', 'c', 'a', 'd']) index.recordSent(worker, [block])
    expect(['a', 'b', 'c', 'd'].map(block => cachedBlockCount(index, [block]))).toEqual([1, 0, 1, 1])
    index.removeWorker(worker)
    expect(index.size).toBe(0)
  })

  test('after any sequence of events the index holds exactly the blocks that the engine holds', () => {
    const blockChange = fc.record({
      kind: fc.constantFrom('stored' as const, 'removed' as const), blocks: fc.array(fc.constantFrom('a', 'b', 'c', 'd'))
    })
    fc.assert(fc.property(fc.array(blockChange), changes => {
      const index = new PrefixIndex()
      const heldBlocks = new Set<string>()
      for (const [position, { kind, blocks }] of changes.entries()) {
        index.apply(worker, cacheEvent(position + 1, kind, blocks))
        for (const block of blocks) if (kind === 'stored') heldBlocks.add(block); else heldBlocks.delete(block)
      }
      expect(['a', 'b', 'c', 'd'].filter(block => cachedBlockCount(index, [block]) === 1)).toEqual([...heldBlocks].sort())
      expect(index.size).toBe(heldBlocks.size)
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

  async function startEngine (settings: Parameters<typeof EngineStandIn.start>[0] = {}): Promise<void> {
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

  async function waitUntil (condition: () => boolean): Promise<void> {
    while (!condition()) await new Promise(resolve => setImmediate(resolve))
  }

  beforeEach(() => { index = new PrefixIndex() })

  // Guards against a host that buffers what such an engine sends, for as long as it sends.
  test.each([
    ['state', 1, ' '],
    ['line of events', 2, 'x'],
    ['event', 2, 'data: x\n']
  ])('an engine whose %s has no end is disconnected', async (_name, endlessResponse, piece) => {
    engine = await EngineStandIn.start({ models: [{ model: 'carassius' as never }] })
    const senders: EndlessSender[] = []
    const server = createServer(socket => {
      let requests = 0
      socket.on('error', () => {})
      socket.on('data', () => {
        requests += 1
        if (requests === endlessResponse) senders.push(new EndlessSender(socket, 'HTTP/1.1 200 OK\r\n\r\n', piece))
        else socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 34\r\n\r\n{"incarnation":"${'a'.repeat(16)}"}`)
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    task = Task.start(signal => followCacheEvents({ worker, origin: `http://127.0.0.1:${port}`, index, clock, events }, signal),
      error => { throw error })
    await waitUntil(() => senders[0]?.isClosed === true)
    await task.stop()
    await new Promise(resolve => { server.close(resolve) })
    expect(senders[0]!.sentBytes).toBeLessThan(maxAcceptedBytes)
  })

  afterEach(async () => {
    await task.stop()
    await engine.stop()
  })

  // Guards against hints that are removed although the missing event was only late: the number of an event that an earlier
  // process had been asked for again must not count for its successor.
  test('a gap at the same number in the events of a restarted engine is read once more', async () => {
    engine = await EngineStandIn.start({ models: [{ model: 'carassius' as never }] })
    const stored = (incarnation: string, sequence: number): string =>
      `data: ${JSON.stringify({ kind: 'stored', sequence, incarnation, blocks: [`${incarnation.at(0)}${sequence}`] })}\n\n`
    const earlierEvents = timeline.events().length
    const [first, second] = ['a'.repeat(16), 'b'.repeat(16)] as [string, string]
    // The second event of each process precedes its first one.
    const connections: Array<[incarnation: string, events: string]> = [
      [first, stored(first, 2)],
      [first, stored(first, 1) + stored(first, 2)],
      [second, stored(second, 2)],
      [second, stored(second, 1) + stored(second, 2)]
    ]
    const server = createServer(socket => {
      const [incarnation, text] = connections.shift() ?? [second, '']
      const responses = [`HTTP/1.1 200 OK\r\ncontent-length: 34\r\n\r\n{"incarnation":"${incarnation}"}`, `HTTP/1.1 200 OK\r\n\r\n${text}`]
      socket.on('error', () => {})
      socket.on('data', () => {
        const response = responses.shift() ?? ''
        if (responses.length === 0) socket.end(response)
        else socket.write(response)
      })
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const origin = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    task = Task.start(signal => followCacheEvents({ worker, origin, index, clock, events }, signal), error => { throw error })
    await waitUntil(() => cachedBlockCount(index, ['b2']) === 1)
    await task.stop()
    await new Promise(resolve => { server.close(resolve) })
    expect(timeline.events().slice(earlierEvents).some(({ event: name }) => name === 'cache_hints_resynchronised')).toBe(false)
  })

  test('the tokenizer computes the same block hashes as the cache events of the engine', async () => {
    await startEngine()
    const blocks = await generate('one two three four five six seven eight nine')
    expect(blocks).toHaveLength(2)
    await waitUntil(() => cachedBlockCount(index, blocks) === 2)
  })

  test('if an event stays missing, the hints are removed and rebuilt starting at the next event', async () => {
    await startEngine({ cacheEventGapEvery: 2 })
    const firstBlocks = await generate('a b c d')
    await waitUntil(() => cachedBlockCount(index, firstBlocks) === 1)
    await generate('e f g h')
    const thirdBlocks = await generate('i j k l')
    await waitUntil(() => cachedBlockCount(index, thirdBlocks) === 1)
    expect(cachedBlockCount(index, firstBlocks)).toBe(0)
    expect(timeline.events().some(({ event: name }) => name === 'cache_hints_resynchronised')).toBe(true)
  })

  test('the hints about an engine are removed when the task that follows its events stops', async () => {
    await startEngine()
    const blocks = await generate('a b c d')
    await waitUntil(() => cachedBlockCount(index, blocks) === 1)
    await task.stop()
    expect(index.size).toBe(0)
  })
})
