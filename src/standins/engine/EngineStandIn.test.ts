/**
 * Guards against an engine stand-in that deviates from the engine protocol (docs/design.md, section 6): the tests of
 * routing, resume, orders and role changes, which run against it, would then prove nothing.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { EventSourceParserStream } from 'eventsource-parser/stream'
import { ManualClock } from '../../common/index.js'
import type { FaultInput } from '../Fault.js'
import type { EngineStandInSettings } from './EngineSettings.js'
import { EngineStandIn } from './EngineStandIn.js'
import { expectedText } from './tokens.js'

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

const model = 'carassius'
const prompt = 'which fish eat snails'

interface ChunkData {
  attempt_id: string
  position: number
  choices: Array<{ text?: string, delta?: { content?: string }, message?: { content: string }, finish_reason: string | null }>
  usage?: { prompt_tokens: number, completion_tokens: number, prompt_tokens_details: { cached_tokens: number } }
  error?: { type: string }
}

async function startEngine (settings: EngineStandInSettings = {}, clock?: ManualClock) {
  const engine = await EngineStandIn.start({
    models: [{ model }], blockTokens: 4, timeScale: 0.001, ...settings
  }, clock === undefined ? {} : { clock })
  cleanups.push(() => engine.stop())
  const post = (path: string, body: object = {}, signal?: AbortSignal) => {
    return fetch(`${engine.origin}${path}`, { method: 'POST', body: JSON.stringify(body), ...(signal === undefined ? {} : { signal }) })
  }
  const get = async (path: string) => await (await fetch(`${engine.origin}${path}`)).json() as Record<string, unknown>
  /** Repeats a GET until a member of the response body has the given value; returns that body. */
  const getUntil = async (path: string, member: string, value: unknown) => {
    for (;;) {
      const body = await get(path)
      if (body[member] === value) return body
    }
  }
  return { engine, post, get, getUntil }
}

/** Parsed events of a streaming response; `[DONE]` becomes an event with position -1. */
async function eventsOf (response: Response): Promise<ChunkData[]> {
  const events: ChunkData[] = []
  if (response.body === null) return events
  for await (const { data } of response.body.pipeThrough(new TextDecoderStream()).pipeThrough(new EventSourceParserStream())) {
    events.push(data === '[DONE]' ? { attempt_id: 'done', position: -1, choices: [] } : JSON.parse(data) as ChunkData)
  }
  return events
}

const positionsOf = (events: ChunkData[]) => events.map(({ position }) => position)
const textOf = (events: ChunkData[]) => events.map(({ choices }) => choices[0]?.text ?? choices[0]?.delta?.content ?? '').join('')
const completionBody = { model, prompt, max_tokens: 4, request_id: 'r1', attempt_id: 'r1.1' }
const messages = [{ role: 'user', content: prompt }]

describe('completions', () => {
  test.each([
    ['/v1/completions', { prompt }, prompt],
    ['/v1/chat/completions', { messages }, `user: ${prompt}`]
  ])('%s generates the same text in a streaming and in a non-streaming response', async (path, input, text) => {
    const { post } = await startEngine()
    const body = { model, max_tokens: 4, attempt_id: 'a7', ...input }
    const events = await eventsOf(await post(path, { ...body, stream: true }))
    const completion = await (await post(path, body)).json() as ChunkData
    expect(positionsOf(events)).toEqual([0, 1, 2, 3, 4, -1])
    expect(new Set(events.slice(0, -1).map(({ attempt_id: id }) => id))).toEqual(new Set(['a7']))
    expect(textOf(events)).toBe(expectedText(model, text, 4))
    expect(completion.choices[0]?.text ?? completion.choices[0]?.message?.content).toBe(expectedText(model, text, 4))
    expect(events.at(-2)?.usage).toMatchObject({ prompt_tokens: text.split(' ').length, completion_tokens: 4 })
    expect(events.at(-2)?.choices[0]?.finish_reason).toBe('length')
  })

  test.each([0, 1, 3, 4])('another engine that resumes from position %i generates exactly the remaining chunks', async from => {
    const [first, second] = [await startEngine(), await startEngine()]
    const allEvents = await eventsOf(await first.post('/v1/completions', { ...completionBody, stream: true }))
    const resumedEvents = await eventsOf(await second.post('/v1/completions', { ...completionBody, stream: true, resume_from: from }))
    expect(positionsOf(resumedEvents)).toEqual(positionsOf(allEvents).slice(from))
    expect(textOf(resumedEvents)).toBe(textOf(allEvents.slice(from)))
    expect(resumedEvents.at(-2)?.usage?.completion_tokens).toBe(4 - from)
  })

  test.each<[string, object, number, string]>([
    ['an unknown model', { ...completionBody, model: 'betta' }, 404, 'unknown_model'],
    ['a missing prompt', { model }, 400, 'bad_request'],
    ['a negative resume position', { ...completionBody, resume_from: -1 }, 400, 'bad_request']
  ])('rejects %s as not run, with an error status and type', async (_name, body, status, type) => {
    const { post } = await startEngine()
    const response = await post('/v1/completions', body)
    expect(response.status).toBe(status)
    expect(await response.json()).toMatchObject({ error: { type, not_run: true } })
  })

  test('a repeated prompt of 10 tokens reports its two full blocks of 4 as cached', async () => {
    const { post } = await startEngine()
    const longBody = { ...completionBody, prompt: 'a b c d e f g h i j' }
    await (await post('/v1/completions', longBody)).json()
    const second = await (await post('/v1/completions', longBody)).json() as ChunkData
    expect(second.usage?.prompt_tokens_details.cached_tokens).toBe(8)
  })
})

describe('requests in progress', () => {
  test.each([
    ['the caller disconnects', (abort: () => void) => { abort(); return Promise.resolve() }],
    ['a call to cancel names its request id', async (_abort: () => void, post: (path: string) => Promise<Response>) => {
      await post('/requests/r1/cancel')
    }]
  ])('a request is cancelled and frees its KV memory when %s', async (_name, act) => {
    const { post, getUntil, get } = await startEngine({ timeScale: 1 }, new ManualClock())
    const controller = new AbortController()
    const outcome = post('/v1/completions', completionBody, controller.signal).then(response => response.status, () => 'closed')
    await getUntil('/requests/r1', 'state', 'prefill')
    await act(() => controller.abort(), post)
    expect(['closed', 499]).toContain(await outcome)
    expect(await getUntil('/requests/r1', 'state', 'cancelled')).toMatchObject({ position: 0, promptTokens: 4 })
    expect(await get('/load')).toMatchObject({ queuedPrefillTokens: 0, kvUsedTokens: 0 })
  })

  test('a cancellation with an attempt id cancels only this attempt of the request', async () => {
    const { post, getUntil, get } = await startEngine({ timeScale: 1 }, new ManualClock())
    const firstResponse = post('/v1/completions', completionBody)
    await getUntil('/requests/r1', 'state', 'prefill')
    const secondResponse = post('/v1/completions', { ...completionBody, attempt_id: 'r1.2' })
    await getUntil('/requests/r1', 'attemptId', 'r1.2')
    const cancel = async (attempt: string) => (await post('/requests/r1/cancel', { attempt_id: attempt })).status
    expect([await cancel('r1.3'), await cancel('r1.1')]).toEqual([404, 200])
    expect((await firstResponse).status).toBe(499)
    expect(await get('/requests/r1')).toMatchObject({ attemptId: 'r1.2', state: 'queued' })
    await cancel('r1.2')
    expect((await secondResponse).status).toBe(499)
  })

  test('a request whose connection is silent runs to its end, which GET /requests/<id> shows on another connection', async () => {
    const { engine, post, getUntil } = await startEngine()
    engine.addFault({ kind: 'silent', connections: 'all', path: '/v1', afterBytes: 500 })
    const controller = new AbortController()
    const silentRequest = post('/v1/completions', { ...completionBody, max_tokens: 50, stream: true }, controller.signal).then(eventsOf)
    expect(await getUntil('/requests/r1', 'state', 'finished')).toMatchObject({ position: 50 })
    controller.abort()
    await expect(silentRequest).rejects.toThrow('abort')
  })

  test('a drain waits until an open stream has sent all its events', async () => {
    const clock = new ManualClock()
    const { engine, post, getUntil } = await startEngine({ timeScale: 1 }, clock)
    const response = post('/v1/completions', { ...completionBody, stream: true })
    await getUntil('/requests/r1', 'state', 'prefill')
    await clock.advance(9)
    const events = eventsOf(await response)
    const drained = engine.drain()
    await clock.advance(1000)
    await drained
    expect(positionsOf(await events)).toEqual([0, 1, 2, 3, 4, -1])
  })

  test('drops the oldest ended request beyond maxFinishedRequests', async () => {
    const { post, get } = await startEngine({ maxFinishedRequests: 2 })
    for (const id of ['r1', 'r2', 'r3']) await (await post('/v1/completions', { ...completionBody, request_id: id })).json()
    const { requests } = await get('/requests') as { requests: Array<{ requestId: string }> }
    expect(requests.map(({ requestId }) => requestId)).toEqual(['r2', 'r3'])
  })
})

describe('chunk faults', () => {
  test.each<[FaultInput, number[]]>([
    [{ kind: 'duplicate_chunks', count: 1 }, [0, 0, 1, 2, 3, 4, -1]],
    [{ kind: 'duplicate_chunks', every: 2 }, [0, 0, 1, 2, 2, 3, 4, 4, -1]],
    [{ kind: 'reordered_chunks', count: 1 }, [1, 0, 2, 3, 4, -1]]
  ])('under the fault %o, the chunks arrive at positions %j', async (fault, expected) => {
    const { engine, post } = await startEngine()
    engine.addFault(fault)
    expect(positionsOf(await eventsOf(await post('/v1/completions', { ...completionBody, stream: true })))).toEqual(expected)
  })

  test('a late chunk is sent after its delay, even after the last event', async () => {
    const clock = new ManualClock()
    const { engine, post, getUntil } = await startEngine({}, clock)
    engine.addFault({ kind: 'late_chunks', count: 1, milliseconds: 1000 })
    const response = post('/v1/completions', { ...completionBody, stream: true })
    await getUntil('/requests/r1', 'state', 'finished')
    await clock.advance(1000)
    expect(positionsOf(await eventsOf(await response))).toEqual([1, 2, 3, 4, -1, 0])
  })

  test('a duplicate chunk carries the attempt id of its fault', async () => {
    const { engine, post } = await startEngine()
    engine.addFault({ kind: 'duplicate_chunks', count: 1, attemptId: 'old' })
    const events = await eventsOf(await post('/v1/completions', { ...completionBody, stream: true }))
    expect(events.slice(0, 3).map(({ attempt_id: id }) => id)).toEqual(['r1.1', 'old', 'r1.1'])
  })
})

describe('KV transfer', () => {
  const longBody = { ...completionBody, prompt: 'a b c d e f g h i j' }

  test('a decode engine that imports the KV cache of a prefill engine generates the remaining text', async () => {
    const [prefill, decode] = [await startEngine({ role: 'prefill' }), await startEngine({ role: 'decode' })]
    const firstEvents = await eventsOf(await prefill.post('/v1/completions', { ...longBody, max_tokens: 1, stream: true }))
    const kv = await (await prefill.post('/kv/export', { request_id: 'r1' })).json() as { blocks: unknown[] }
    expect(kv).toMatchObject({ model, position: 1, tokens: 11, bytes: 11 * 160_000 })
    expect((await decode.post('/kv/import', kv)).status).toBe(200)
    const remainingEvents = await eventsOf(await decode.post('/v1/completions', { ...longBody, resume_from: 1, stream: true }))
    expect(textOf(firstEvents) + textOf(remainingEvents)).toBe(expectedText(model, longBody.prompt, 4))
    expect(remainingEvents.at(-2)?.usage?.prompt_tokens_details.cached_tokens).toBe(10)
  })

  test.each<[string, EngineStandInSettings, object]>([
    ['a decode engine rejects a long prompt without its KV cache', { role: 'decode' }, longBody],
    ['a prefill engine rejects a request for two tokens', { role: 'prefill' }, { ...completionBody, max_tokens: 2 }]
  ])('%s, and accepts the request if strictRole is false', async (_name, settings, body) => {
    const strict = await (await startEngine(settings)).post('/v1/completions', body)
    expect([strict.status, await strict.json()]).toMatchObject([503, { error: { type: 'not_run' } }])
    expect((await (await startEngine({ ...settings, strictRole: false })).post('/v1/completions', body)).status).toBe(200)
  })

  test('an export by prompt is not found before the prompt is cached and succeeds afterwards', async () => {
    const { post } = await startEngine()
    const wanted = { model, prompt: 'a b c d' }
    expect((await post('/kv/export', wanted)).status).toBe(404)
    await (await post('/v1/completions', { ...wanted, max_tokens: 1 })).json()
    expect(await (await post('/kv/export', wanted)).json()).toMatchObject({ tokens: 4, blocks: [{ tokens: 4 }] })
  })
})

test('past cache events can be read starting at a sequence number, without those that cacheEventGapEvery omits', async () => {
  const { engine, post } = await startEngine({ cacheEventGapEvery: 2, cacheCapacityBlocks: 1 })
  for (const letter of ['a', 'b', 'c']) {
    await (await post('/v1/completions', { ...completionBody, prompt: `${letter} `.repeat(4) })).json()
  }
  const seen: unknown[] = []
  const events = await fetch(`${engine.origin}/cache-events?from=2`)
  const reader = events.body!.pipeThrough(new TextDecoderStream()).pipeThrough(new EventSourceParserStream()).getReader()
  while (seen.length < 2) {
    const { sequence, kind } = JSON.parse((await reader.read()).value?.data ?? '{}') as Record<string, unknown>
    seen.push([sequence, kind])
  }
  await reader.cancel()
  // Events 1 to 5 are stored, stored, removed, stored, removed; 2 and 4 are not published.
  expect(seen).toEqual([[3, 'removed'], [5, 'removed']])
})

describe('orders', () => {
  const createLoadOrder = (orderId: string, fencingNumber: number, version = '2') => ({
    orderId, fencingNumber, order: { kind: 'load_model', model, version }
  })
  const createFenceOrder = (orderId: string, fencingNumber: number) => ({ orderId, fencingNumber, order: { kind: 'fence' } })

  test.each<[string, boolean, object[], string[]]>([
    ['the same order sent twice', false, [createLoadOrder('o1', 5), createLoadOrder('o1', 5)], ['accepted', 'repeated']],
    ['a different order while one runs', false, [createLoadOrder('o1', 5), createLoadOrder('o2', 5, '3')], ['accepted', 'conflict']],
    ['a different order with the same id', false, [createLoadOrder('o1', 5), createLoadOrder('o1', 5, '3')], ['accepted', 'conflict']],
    ['an old fencing number while numbers are checked', true, [createFenceOrder('o1', 6), createLoadOrder('o2', 5)], ['accepted', 'fenced']],
    ['an old fencing number while numbers are ignored', false, [createFenceOrder('o1', 6), createLoadOrder('o2', 5)], ['accepted', 'accepted']],
    ['a repeated order with an old fencing number', true, [createLoadOrder('o1', 5), createFenceOrder('o2', 6), createLoadOrder('o1', 5)], ['accepted', 'accepted', 'fenced']],
    ['the same order with a greater fencing number', true, [createLoadOrder('o1', 5), createLoadOrder('o1', 6)], ['accepted', 'repeated']],
    ['an order to another incarnation', false, [{ ...createLoadOrder('o1', 5), engineIncarnation: '00000000000000aa' }], ['wrong_incarnation']]
  ])('records the reception of %s and lists its conflicts', async (_name, checksFencing, messages, expected) => {
    const { post, get } = await startEngine({ checksFencing }, new ManualClock())
    for (const message of messages) await (await post('/orders', message)).json()
    const record = await get('/orders') as { received: Array<{ reception: string }>, conflicts: unknown[] }
    expect(record.received.map(({ reception }) => reception)).toEqual(expected)
    expect(record.conflicts).toHaveLength(expected.filter(reception => reception === 'conflict').length)
  })

  test.each<[object, object]>([
    [{ kind: 'load_model', model: 'betta', version: '1' }, { models: [{ model, version: '1' }, { model: 'betta', version: '1' }] }],
    [{ kind: 'load_version', model, version: '2' }, { models: [{ model, version: '2' }] }],
    [{ kind: 'unload_model', model }, { models: [] }],
    [{ kind: 'load_adapter', adapter: 'forum', model, version: '1' }, { adapters: [{ adapter: 'forum', model, version: '1' }] }],
    [{ kind: 'change_role', role: 'decode' }, { role: 'decode', inService: true }]
  ])('the order %o changes the state of the engine and ends as done', async (order, expected) => {
    const { post, get } = await startEngine()
    const response = await post('/orders?wait-ms=30000', { orderId: 'o1', fencingNumber: 1, order })
    expect([response.status, await response.json()]).toEqual([200, { orderId: 'o1', state: 'done' }])
    expect(await get('/state')).toMatchObject({ ...expected, lastOrderId: 'o1', runningOrderId: null, interruptedRequests: 0 })
  })

  test('a role change fails the running request, rejects new ones meanwhile and ends with the new role', async () => {
    const clock = new ManualClock()
    const { post, getUntil, get } = await startEngine({ timeScale: 1 }, clock)
    const interrupted = post('/v1/completions', completionBody)
    await getUntil('/requests/r1', 'state', 'prefill')
    const order = { orderId: 'o1', fencingNumber: 1, order: { kind: 'change_role', role: 'prefill' } }
    expect((await post('/orders', order)).status).toBe(202)
    expect((await interrupted).status).toBe(502)
    expect((await post('/v1/completions', completionBody)).status).toBe(503)
    await clock.advance(4000)
    expect(await get('/orders/o1')).toEqual({ orderId: 'o1', state: 'done' })
    expect(await get('/state')).toMatchObject({ role: 'prefill', inService: true, interruptedRequests: 1 })
  })

  test('an order to load an adapter fails if its model is not loaded', async () => {
    const { post } = await startEngine()
    const order = { kind: 'load_adapter', adapter: 'forum', model: 'betta', version: '1' }
    const response = await post('/orders?wait-ms=30000', { orderId: 'o1', fencingNumber: 1, order })
    expect(await response.json()).toEqual({ orderId: 'o1', state: 'failed', detail: 'model "betta" is not loaded' })
  })
})

test('the load report shows a new request and the leaving flag only after the lag', async () => {
  const clock = new ManualClock()
  const { post, get, getUntil } = await startEngine({ timeScale: 1, loadLagMilliseconds: 500 }, clock)
  await clock.advance(1000)
  const response = post('/v1/completions', completionBody)
  await getUntil('/requests/r1', 'state', 'prefill')
  await post('/leaving')
  const earlyReport = await get('/load')
  await clock.advance(500)
  const lateReport = await get('/load')
  expect(earlyReport).toMatchObject({ at: clock.wall() - 1000, role: 'mixed', models: [model], queuedPrefillTokens: 0, leaving: false })
  expect(lateReport).toMatchObject({ at: clock.wall() - 500, kvUsedTokens: 8, leaving: true })
  expect((await response).status).toBe(200)
})
