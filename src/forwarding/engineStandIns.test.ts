/**
 * Guards against a request path that fits only the small fake engines of the other tests: whole requests over
 * the engine stand-in with its faults, and the handover from engines that compute prompts to those that generate.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { SystemClock } from '../common/index.js'
import { recordsOf, reefToken, type TestHost, testHost } from '../entry/testing/TestHost.js'
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
async function start (...settings: EngineStandInSettings[]): Promise<void> {
  for (const one of settings) {
    engines.push(await EngineStandIn.start({ models: [{ model: 'carassius' as never }], timeScale: 0.05, ...one }))
  }
  host = await testHost({
    clock: new SystemClock(),
    engines: engines.map(engine => engine.listenAddress),
    generation: { limits: { ...defaultAttemptLimits, progressCheckMilliseconds: 100, gapMilliseconds: 100 } }
  })
  host.upstreams.start()
  while (host.upstreams.view().some(({ report }) => report === undefined)) await new Promise(resolve => setImmediate(resolve))
}

async function setFault (fault: FaultInput): Promise<void> {
  await Promise.all(engines.map(engine => fetch(`${engine.origin}/faults`, {
    method: 'POST', headers: { 'content-type': 'application/json' }, body: JSON.stringify(fault)
  })))
}

async function answer (): Promise<Record<string, unknown>> {
  const response = await host.application.request('/v1/completions', {
    method: 'POST',
    headers: { authorization: `Bearer ${reefToken}` },
    body: JSON.stringify({ model: 'carassius', prompt, max_tokens: count })
  })
  return await response.json() as Record<string, unknown>
}

const complete = {
  choices: [{ text: expectedText('carassius', prompt, count), finish_reason: 'length' }],
  usage: { prompt_tokens: 10, completion_tokens: count }
}

describe('faults of engines', () => {
  const path = '/v1/completions'
  test.each<[string, FaultInput]>([
    ['doubled chunks', { kind: 'duplicate_chunks', path }],
    ['doubled chunks of another attempt', { kind: 'duplicate_chunks', path, attemptId: 'other.1' }],
    ['reordered chunks', { kind: 'reordered_chunks', path, every: 3 }],
    ['late chunks', { kind: 'late_chunks', path, every: 4, milliseconds: 20 }],
    ['chunks that are too late', { kind: 'late_chunks', path, every: 12, count: 1, milliseconds: 1000 }],
    ['a reset within the stream', { kind: 'reset_after_bytes', path, bytes: 700, count: 1 }],
    ['a lost answer', { kind: 'lose_answer', path, count: 1 }],
    ['a refusal', { kind: 'refuse', path, count: 1 }],
    ['a connection that goes silent', { kind: 'silent', path, connections: 'all', afterBytes: 900, count: 1 }]
  ])('%s give a complete answer', async (_name, fault) => {
    await start({}, {})
    await setFault(fault)
    expect(await answer()).toMatchObject(complete)
    expect(await recordsOf(host)).toMatchObject([{ generatedTokens: count, promptTokens: 10 }])
  })
})

describe('handover', () => {
  test('the prompt is computed on one engine and the answer generated on another', async () => {
    await start({ role: 'prefill', blockTokens: 4 }, { role: 'decode', blockTokens: 4 })
    const usage = { ...complete.usage, prompt_tokens_details: { cached_tokens: 0 } }
    expect(await answer()).toMatchObject({ ...complete, usage })
    const requests = await Promise.all(engines.map(async engine =>
      (await (await fetch(`${engine.origin}/requests`)).json() as { requests: unknown[] }).requests))
    expect(requests).toMatchObject([[{ resumeFrom: 0, position: 1 }], [{ resumeFrom: 1, position: count, prefillLeft: 0 }]])
  })

  test('a cache that cannot be moved is computed anew on a mixed engine', async () => {
    await start({ role: 'prefill' }, { role: 'decode' }, { role: 'mixed' })
    await setFault({ kind: 'refuse', path: '/kv/import' })
    for (let request = 0; request < 3; request += 1) expect(await answer()).toMatchObject(complete)
  })

  test('an answer of one token needs no handover', async () => {
    await start({ role: 'prefill' })
    const response = await host.application.request('/v1/completions', {
      method: 'POST',
      headers: { authorization: `Bearer ${reefToken}` },
      body: JSON.stringify({ model: 'carassius', prompt, max_tokens: 1 })
    })
    expect(await response.json()).toMatchObject({ choices: [{ text: expectedText('carassius', prompt, 1) }] })
  })
})
