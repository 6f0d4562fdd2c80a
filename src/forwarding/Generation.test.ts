/**
 * Guards against answers that miss or repeat a token after an attempt breaks, streams that end early without an error,
 * engines that keep working for a caller that disconnected, unlimited retries, and unbounded memory for a slow caller.
 */
import type { ServerResponse } from 'node:http'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import {
  endEvents, type EngineScript, FakeEngine, completeStreamScript, startStream, streamOf, textOf, tokenEvent
} from '../entry/testing/FakeEngine.js'
import { flushUsageRecords, reefToken, type TestHost, createTestHost, type TestHostOptions } from '../entry/testing/TestHost.js'
import { EndlessSender, maxAcceptedBytes } from '../clients/testing/EndlessSender.js'
import { ManualClock } from '../common/index.js'
import { RetryBudget } from './RetryBudget.js'

let engines: FakeEngine[]
const hosts: TestHost[] = []
const count = 6

beforeEach(async () => {
  engines = await Promise.all([FakeEngine.start(), FakeEngine.start(), FakeEngine.start()])
})

afterEach(async () => {
  await Promise.all(hosts.splice(0).map(host => host.upstreams.stop()))
  await Promise.all(engines.map(engine => engine.stop()))
})

async function createHost (options: TestHostOptions = {}): Promise<TestHost> {
  const host = await createTestHost({ engines: engines.map(({ address }) => address), ...options })
  hosts.push(host)
  return host
}

/**
 * Runs the n-th script for the n-th attempt, whichever engine receives it; all later attempts stream a complete answer.
 */
function setScripts (...scripts: EngineScript[]): void {
  const remainingScripts = [...scripts]
  for (const engine of engines) engine.script = (...call) => (remainingScripts.shift() ?? completeStreamScript)(...call)
}

function respondWith (text: (request: Parameters<EngineScript>[0]) => string | Buffer, afterwards: 'reset' | 'end' | 'keep'): EngineScript {
  return (request, response) => {
    startStream(response)
    const end = (): void => {
      if (afterwards === 'reset') response.destroy()
      if (afterwards === 'end') response.end()
    }
    const bytes = text(request)
    if (bytes.length === 0) setImmediate(end)
    else response.write(bytes, end)
  }
}

interface StreamResult { texts: string[], error: { type: string, detail?: unknown } | undefined, done: boolean, status: number }

async function requestStream (host: TestHost, headers: Record<string, string> = {}, tokens = count): Promise<StreamResult> {
  const response = await host.application.request('/v1/completions', {
    method: 'POST',
    headers: { authorization: `Bearer ${reefToken}`, ...headers },
    body: JSON.stringify({ model: 'carassius', prompt: 'which fish', max_tokens: tokens, stream: true })
  })
  const result: StreamResult = { texts: [], error: undefined, done: false, status: response.status }
  const text = await response.text()
  if (response.status !== 200) return { ...result, error: (JSON.parse(text) as { error: StreamResult['error'] }).error }
  for (const event of text.split('\n\n').filter(part => part !== '')) {
    const data = event.slice(event.indexOf('data: ') + 'data: '.length)
    if (data === '[DONE]') result.done = true
    else if (event.startsWith('event: error')) result.error = (JSON.parse(data) as { error: StreamResult['error'] }).error
    else result.texts.push(...(JSON.parse(data) as { choices: Array<{ text: string }> }).choices.map(choice => choice.text))
  }
  return result
}

function expectComplete (result: StreamResult): void {
  expect(result).toMatchObject({ error: undefined, done: true })
  expect(result.texts.filter(text => text !== '')).toEqual(textOf(count).split(/(?= )/))
}

/** Advances the clock until the promise has settled. */
async function advanceUntilSettled<T> (host: TestHost, promise: Promise<T>): Promise<T> {
  const state = { settled: false }
  const settle = (): void => { state.settled = true }
  promise.then(settle, settle)
  while (!state.settled) await (host.clock as ManualClock).advance(50)
  return await promise
}

/** Answers the first attempt with a stream that does not end, and each later one with a complete stream. */
function sendEndlessly (piece: string): EndlessSender[] {
  const senders: EndlessSender[] = []
  setScripts((_request, response) => {
    senders.push(new EndlessSender(response.socket!, 'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n', piece))
  })
  return senders
}

describe('an engine whose stream is', () => {
  // Guards against a host that buffers what such an engine sends until the deadline of the request.
  test.each([
    ['a line without an end', 'x'],
    ['an event without an end', 'data: x\n']
  ])('%s is disconnected, and another engine answers', async (_name, piece) => {
    const senders = sendEndlessly(piece)
    expectComplete(await requestStream(await createHost()))
    await senders[0]!.closed
    expect(senders[0]!.sentBytes).toBeLessThan(maxAcceptedBytes)
  })
})

const positions = [...Array(count + 1).keys()]

describe('retry and resumption', () => {
  test.each(positions)('after a reset at token %i another engine continues the stream, unless the stream was complete', async position => {
    setScripts(respondWith(request => streamOf({ ...request, max_tokens: position }).split(/(?=data: )/).slice(0, position).join(''), 'reset'))
    const host = await createHost()
    expectComplete(await requestStream(host))
    const requests = engines.flatMap(engine => engine.requests)
    expect(engines.every(engine => engine.requests.length < 2)).toBe(true)
    expect(requests.map(({ resume_from: from }) => from ?? 0).sort()).toEqual(position === count ? [0] : [0, position])
    expect(await flushUsageRecords(host)).toMatchObject([{ generatedTokens: count, calls: 1 }])
  })

  test('after a reset at any byte of the stream the answer is complete', async () => {
    const requestId = 'x'.repeat(24)
    const sample = streamOf({ request_id: requestId, attempt_id: `${requestId}.1`, priority: 'interactive', max_tokens: 2 })
    const brokenOffsets: number[] = []
    for (let bytes = 0; bytes <= sample.length; bytes += 1) {
      setScripts(respondWith(request => Buffer.from(streamOf(request)).subarray(0, bytes), 'reset'))
      const host = await createHost()
      const result = await requestStream(host, {}, 2)
      if (result.texts.join('') !== textOf(2) || !result.done) brokenOffsets.push(bytes)
      await host.upstreams.stop()
      hosts.pop()
    }
    expect(brokenOffsets).toEqual([])
  })

  test('the second attempt sends the delivered position and text under a new attempt id', async () => {
    setScripts(respondWith(request => tokenEvent(request, 0) + tokenEvent(request, 1), 'reset'))
    await requestStream(await createHost())
    const [first, second] = engines.flatMap(engine => engine.requests).sort((a, b) => (a.resume_from ?? 0) - (b.resume_from ?? 0))
    expect(second).toMatchObject({ request_id: first!.request_id, resume_from: 2, resume_text: textOf(2) })
    expect(second!.attempt_id).not.toBe(first!.attempt_id)
  })

  test('a stream that ends without a finish reason is continued and completed', async () => {
    setScripts(respondWith(request => tokenEvent(request, 0), 'end'))
    expectComplete(await requestStream(await createHost()))
  })

  test('an engine is tried again only after all others were tried', async () => {
    setScripts(...Array(3).fill(respondWith(request => tokenEvent(request, request.resume_from ?? 0), 'reset')) as EngineScript[])
    const host = await createHost()
    expectComplete(await advanceUntilSettled(host, requestStream(host)))
    expect(engines.map(engine => engine.requests.length).sort()).toEqual([1, 1, 2])
  })

  test('engines that refuse connections are skipped without using the retry budget', async () => {
    await engines[0]!.stop()
    await engines[1]!.stop()
    const host = await createHost({ generation: { budget: new RetryBudget(new ManualClock(), { ratio: 0, slack: 0 }) } })
    expectComplete(await requestStream(host))
  })

  test.each([
    ['status 503', (_request, response) => { response.writeHead(503).end() }],
    ['status 429', (_request, response) => { response.writeHead(429).end() }],
    ['status 500', (_request, response) => { response.writeHead(500).end('broken') }],
    ['an error event', respondWith(request =>
      `${tokenEvent(request, 0)}data: {"error":{"type":"upstream_failed","message":"role change"}}\n\n`, 'end')],
    ['an event that is not JSON', respondWith(request => `${tokenEvent(request, 0)}data: {\n\n`, 'keep')]
  ] as Array<[string, EngineScript]>)('after %s another engine completes the answer', async (_name, script) => {
    setScripts(script)
    expectComplete(await requestStream(await createHost()))
  })

  test('a request that an engine answers with status 400 fails without another attempt', async () => {
    setScripts((_request, response) => {
      response.writeHead(400).end('{"error":{"type":"bad_request","message":"too long"}}')
    })
    expect(await requestStream(await createHost())).toMatchObject({ status: 400, error: { type: 'bad_request', message: 'too long' } })
    expect(engines.flatMap(engine => engine.requests)).toHaveLength(1)
  })
})

describe('chunk order', () => {
  test.each([
    ['duplicate', [0, 0, 1, 2, 2, 2, 3, 4, 5]],
    ['late', [0, 1, 0, 2, 3, 1, 4, 5]],
    ['reordered', [5, 4, 3, 2, 1, 0]]
  ])('with %s chunks the answer is complete after one attempt', async (_name, order) => {
    setScripts(respondWith(request => order.map(position => tokenEvent(request, position)).join('') + endEvents(request, count), 'end'))
    expectComplete(await requestStream(await createHost()))
    expect(engines.flatMap(engine => engine.requests)).toHaveLength(1)
  })

  test('chunks of another attempt are dropped', async () => {
    setScripts(respondWith(request => [0, 1, 2, 3, 4, 5].map(position =>
      tokenEvent(request, position, 'other.1').replace(' t', ' WRONG') + tokenEvent(request, position)
    ).join('') + endEvents(request, count), 'end'))
    const host = await createHost()
    expectComplete(await requestStream(host))
    expect(host.timeline.events().find(({ event }) => event === 'chunks_dropped')?.fields).toMatchObject({ foreign: 6 })
  })

  test('a token that stays missing ends the attempt, and another engine sends the token', async () => {
    // The reported progress is not ahead of the received tokens, so only the gap timeout can end the attempt.
    for (const engine of engines) engine.progress = 1
    setScripts(respondWith(request => tokenEvent(request, 0) + tokenEvent(request, 2) + tokenEvent(request, 3), 'keep'))
    const host = await createHost()
    expectComplete(await advanceUntilSettled(host, requestStream(host)))
    expect(engines.flatMap(engine => engine.requests).map(({ resume_from: from }) => from ?? 0).sort()).toEqual([0, 1])
  })
})

describe('silent connections', () => {
  test('a silent connection that lost tokens is abandoned, and its attempt is cancelled on the engine', async () => {
    for (const engine of engines) engine.progress = 4
    setScripts(respondWith(request => tokenEvent(request, 0) + tokenEvent(request, 1), 'keep'))
    const host = await createHost()
    expectComplete(await advanceUntilSettled(host, requestStream(host)))
    expect(engines.flatMap(engine => engine.requests).map(({ resume_from: from }) => from ?? 0).sort()).toEqual([0, 2])
    const firstEngine = engines.find(engine => engine.requests.some(request => request.resume_from === undefined))!
    await firstEngine.waitUntil(() => firstEngine.cancelled.length === 1)
    expect(firstEngine.cancelled[0]!.attemptId).toBe(firstEngine.requests[0]!.attempt_id)
  })

  test('a silent connection whose engine does not know the request is abandoned', async () => {
    setScripts(respondWith(request => tokenEvent(request, 0), 'keep'))
    const host = await createHost()
    expectComplete(await advanceUntilSettled(host, requestStream(host)))
  })

  test('a silent connection is kept while the engine reports no further tokens', async () => {
    let finish = (): void => {}
    for (const engine of engines) engine.progress = 2
    setScripts((request, response) => {
      startStream(response)
      response.write(tokenEvent(request, 0) + tokenEvent(request, 1))
      finish = () => response.end(streamOf({ ...request, resume_from: 2 }))
    })
    const host = await createHost()
    const result = requestStream(host)
    while (engines.every(engine => engine.progressQueries < 3)) await (host.clock as ManualClock).advance(50)
    finish()
    expectComplete(await advanceUntilSettled(host, result))
    expect(engines.flatMap(engine => engine.requests)).toHaveLength(1)
  })
})

describe('limits', () => {
  test('a stream whose retry budget is used up ends with a stream_interrupted error', async () => {
    setScripts(...Array(3).fill(respondWith(request => tokenEvent(request, request.resume_from ?? 0), 'reset')) as EngineScript[])
    const host = await createHost({ generation: { budget: new RetryBudget(new ManualClock(), { ratio: 0, slack: 1 }) } })
    const result = await requestStream(host)
    expect(result).toMatchObject({ done: false, error: { type: 'stream_interrupted', detail: { position: 2 } } })
    expect(result.texts).toEqual([' t0', ' t1'])
  })

  test('the attempts of many failing requests stay within the retry budget', async () => {
    for (const engine of engines) engine.script = (_request, response) => { response.destroy() }
    const host = await createHost({ generation: { budget: new RetryBudget(new ManualClock(), { ratio: 0.5, slack: 2 }) } })
    host.upstreams.start()
    for (let request = 0; request < 10; request += 1) {
      // Failed engines are paused; waiting for them leaves the retry budget as the only limit on the attempts.
      while (host.upstreams.candidatesForModel('carassius' as never).length < 3) await (host.clock as ManualClock).advance(500)
      expect(await requestStream(host)).toMatchObject({ status: 502, error: { type: 'upstream_failed' } })
    }
    // 10 first attempts, 2 retries of the slack, and at most half a retry for each request.
    expect(engines.flatMap(engine => engine.requests).length).toBeLessThanOrEqual(17)
    expect(engines.flatMap(engine => engine.requests).length).toBeGreaterThan(12)
  })

  test('a request whose second attempt stalls ends at the deadline with stream_interrupted', async () => {
    for (const engine of engines) engine.progress = 1
    setScripts(
      respondWith(request => tokenEvent(request, 0), 'reset'),
      respondWith(() => '', 'keep')
    )
    const host = await createHost()
    const result = await advanceUntilSettled(host, requestStream(host, { 'x-timeout-ms': '500' }))
    expect(result).toMatchObject({ done: false, error: { type: 'stream_interrupted', detail: { cause: 'deadline_exceeded' } } })
    expect(host.clock.monotonic()).toBeLessThan(1000)
  })

  test('a request without an available engine fails with not_run and creates no usage record', async () => {
    const host = await createHost({ engines: [] })
    expect(await requestStream(host)).toMatchObject({ status: 503, error: { type: 'not_run', not_run: true } })
    expect(await flushUsageRecords(host)).toEqual([])
  })

  test.each([['status 503'], ['no available engine']])('after an attempt that ran, %s results in upstream_failed, not in not_run', async laterProblem => {
    if (laterProblem === 'no available engine') await Promise.all([engines[1]!.stop(), engines[2]!.stop()])
    setScripts((_request, response) => { response.destroy() }, ...Array(9).fill((_request: unknown, response: ServerResponse) => {
      response.writeHead(503).end()
    }) as EngineScript[])
    const host = await createHost({ generation: { budget: new RetryBudget(new ManualClock(), { ratio: 0, slack: laterProblem === 'status 503' ? 1 : 5 }) } })
    const result = await advanceUntilSettled(host, requestStream(host))
    expect(result).toMatchObject({ status: 502, error: { type: 'upstream_failed', not_run: false } })
  })

  test('a stream whose [DONE] event arrives before earlier chunks is completed in one attempt', async () => {
    setScripts(respondWith(request => {
      const events = streamOf(request).split(/(?<=\n\n)/)
      return [...events.slice(0, 5), events.at(-1), ...events.slice(5, -1)].join('')
    }, 'end'))
    expectComplete(await requestStream(await createHost()))
    expect(engines.flatMap(engine => engine.requests)).toHaveLength(1)
  })

  test('a stream that lost chunks before [DONE] on an open connection is completed by another attempt', async () => {
    for (const engine of engines) engine.progress = 3
    setScripts(respondWith(request => [0, 1, 2].map(position => tokenEvent(request, position)).join('') + 'data: [DONE]\n\n', 'keep'))
    const host = await createHost()
    expectComplete(await advanceUntilSettled(host, requestStream(host)))
  })

  test('for a slow caller, reading from the engine pauses at the buffer limit', async () => {
    const answerLength = 1000
    const limit = 4096
    setScripts(respondWith(request => [...Array(answerLength).keys()].map(position => tokenEvent(request, position)).join('') +
      endEvents(request, answerLength), 'end'))
    const host = await createHost({ generation: { maxBufferedBytes: limit } })
    const { generation } = host.requests.generate({
      requestId: 'r' as never,
      team: 'reef' as never,
      owner: 'acuarios' as never,
      model: 'carassius' as never,
      path: '/v1/completions',
      body: { model: 'carassius', prompt: 'x' },
      maxTokens: answerLength,
      priority: 'interactive',
      deadline: 600_000,
      routing: { promptTokens: 1, promptBlocks: [] }
    })
    let largestBuffer = 0
    let tokens = 0
    for (;;) {
      const event = await generation.next()
      for (let immediate = 0; immediate < 3; immediate += 1) await new Promise(resolve => setImmediate(resolve))
      largestBuffer = Math.max(largestBuffer, generation.bufferedBytes)
      if (event?.kind !== 'token') break
      tokens += 1
    }
    expect(tokens).toBe(answerLength)
    expect(largestBuffer).toBeLessThanOrEqual(limit + 128)
    expect(largestBuffer).toBeGreaterThan(limit / 2)
  })
})
