/**
 * Guards against request handling that works only with the minimal fake engines of the other tests. Sends complete
 * requests to engine stand-ins that simulate faults, and transfers KV caches from prefill engines to decode engines.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { SystemClock } from '../common/index.js'
import { flushUsageRecords, reefToken, type TestHost, createTestHost } from '../entry/testing/TestHost.js'
import { EngineStandIn, type EngineStandInSettings, expectedText, type FaultInput } from '../standins/index.js'
import { defaultAttemptLimits } from './EngineAttempt.js'

const engines: EngineStandIn[] = []
let host: TestHost

const prompt = 'which fish may share a small tank with a goby'
const count = 12

afterEach(async () => {
  await host.upstreams.stop()
  await Promise.all(engines.splice(0).map(engine => engine.stop()))
})

/** Starts engines and waits until the host knows their roles. */
async function startEngines (...settings: EngineStandInSettings[]): Promise<void> {
  for (const engineSettings of settings) {
    engines.push(await EngineStandIn.start({ models: [{ model: 'carassius' as never }], timeScale: 0.05, ...engineSettings }))
  }
  host = await createTestHost({
    clock: new SystemClock(),
    engines: engines.map(engine => engine.listenAddress),
    generation: { limits: { ...defaultAttemptLimits, progressCheckMilliseconds: 100, gapTimeoutMilliseconds: 100 } }
  })
  host.upstreams.start()
  while (host.upstreams.view().some(({ report }) => report === undefined)) await new Promise(resolve => setImmediate(resolve))
}

async function setFault (fault: FaultInput): Promise<void> {
  await Promise.all(engines.map(engine => fetch(`${engine.origin}/faults`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(fault)
  })))
}

async function requestCompletion (): Promise<Record<string, unknown>> {
  const response = await host.application.request('/v1/completions', {
    method: 'POST',
    headers: { authorization: `Bearer ${reefToken}` },
    body: JSON.stringify({ model: 'carassius', prompt, max_tokens: count })
  })
  return await response.json() as Record<string, unknown>
}

const completeResponse = {
  choices: [{ text: expectedText('carassius', prompt, count), finish_reason: 'length' }],
  usage: { prompt_tokens: 10, completion_tokens: count }
}

describe('faults of engines', () => {
  const path = '/v1/completions'
  test.each<[string, FaultInput]>([
    ['duplicate chunks', { kind: 'duplicate_chunks', path }],
    ['duplicate chunks of another attempt', { kind: 'duplicate_chunks', path, attemptId: 'other.1' }],
    ['reordered chunks', { kind: 'reordered_chunks', path, every: 3 }],
    ['chunks that arrive within the gap timeout', { kind: 'late_chunks', path, every: 4, milliseconds: 20 }],
    ['a chunk that arrives after the gap timeout', { kind: 'late_chunks', path, every: 12, count: 1, milliseconds: 1000 }],
    ['a reset within the stream', { kind: 'reset_after_bytes', path, bytes: 700, count: 1 }],
    ['a lost response', { kind: 'lose_answer', path, count: 1 }],
    ['a request rejected with status 503', { kind: 'refuse', path, count: 1 }],
    ['a connection that goes silent', { kind: 'silent', path, connections: 'all', afterBytes: 900, count: 1 }]
  ])('with %s the answer is complete', async (_name, fault) => {
    await startEngines({}, {})
    await setFault(fault)
    expect(await requestCompletion()).toMatchObject(completeResponse)
    expect(await flushUsageRecords(host)).toMatchObject([{ generatedTokens: count, promptTokens: 10 }])
  })
})

describe('KV cache transfer', () => {
  test('a prefill engine computes the prompt and a decode engine generates the rest of the answer', async () => {
    await startEngines({ role: 'prefill', blockTokens: 4 }, { role: 'decode', blockTokens: 4 })
    const usage = { ...completeResponse.usage, prompt_tokens_details: { cached_tokens: 0 } }
    expect(await requestCompletion()).toMatchObject({ ...completeResponse, usage })
    const requests = await Promise.all(engines.map(async engine =>
      (await (await fetch(`${engine.origin}/requests`)).json() as { requests: unknown[] }).requests))
    expect(requests).toMatchObject([[{ resumeFrom: 0, position: 1 }], [{ resumeFrom: 1, position: count, prefillLeft: 0 }]])
  })

  test('if no engine imports the KV cache, a mixed engine computes the prompt again and the answer is complete', async () => {
    await startEngines({ role: 'prefill' }, { role: 'decode' }, { role: 'mixed' })
    await setFault({ kind: 'refuse', path: '/kv/import' })
    for (let request = 0; request < 3; request += 1) expect(await requestCompletion()).toMatchObject(completeResponse)
  })

  test('a prefill engine alone completes an answer that consists of one token', async () => {
    await startEngines({ role: 'prefill' })
    const response = await host.application.request('/v1/completions', {
      method: 'POST',
      headers: { authorization: `Bearer ${reefToken}` },
      body: JSON.stringify({ model: 'carassius', prompt, max_tokens: 1 })
    })
    expect(await response.json()).toMatchObject({ choices: [{ text: expectedText('carassius', prompt, 1) }] })
  })
})
