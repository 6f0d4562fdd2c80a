/**
 * Guards against responses that do not follow the OpenAI format, invalid input that reaches an upstream, requests without
 * a valid token that are served, and headers that leak between callers and services.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { ManualClock } from '../common/index.js'
import { FakeEngine, startStream, textOf, tokenEvent } from './testing/FakeEngine.js'
import { FakeService } from './testing/FakeService.js'
import { expiringToken, flushUsageRecords, reefToken, type TestHost, createTestHost } from './testing/TestHost.js'

let engine: FakeEngine
let service: FakeService
let host: TestHost

beforeEach(async () => {
  engine = await FakeEngine.start()
  service = await FakeService.start()
  host = await createTestHost({ engines: [engine.address], services: [service.address] })
})

afterEach(async () => {
  await host.upstreams.stop()
  await engine.stop()
  await service.stop()
})

const authorization = { authorization: `Bearer ${reefToken}` }

async function post (path: string, body: unknown, headers: Record<string, string> = {}): Promise<Response> {
  const text = typeof body === 'string' || body instanceof Uint8Array ? body : JSON.stringify(body)
  return await host.application.request(path, {
    method: 'POST', body: text, headers: { ...authorization, 'content-type': 'application/json', ...headers }
  })
}

const completion = { model: 'carassius', prompt: 'which fish', max_tokens: 3 }
const chat = { model: 'carassius', messages: [{ role: 'user', content: 'which fish' }], max_tokens: 3 }

describe('model endpoints', () => {
  test('a non-streaming completion has the text, the token counts and the request id', async () => {
    const response = await post('/v1/completions', completion)
    const body = await response.json() as Record<string, unknown>
    expect(response.status).toBe(200)
    expect(body).toMatchObject({
      object: 'text_completion',
      model: 'carassius',
      choices: [{ index: 0, text: textOf(3), finish_reason: 'length' }],
      usage: { prompt_tokens: 11, completion_tokens: 3, total_tokens: 14, prompt_tokens_details: { cached_tokens: 3 } }
    })
    expect(body.id).toBe(`cmpl-${response.headers.get('x-request-id')}`)
  })

  test('a non-streaming chat response has one assistant message', async () => {
    const body = await (await post('/v1/chat/completions', chat)).json()
    expect(body).toMatchObject({
      object: 'chat.completion', choices: [{ message: { role: 'assistant', content: textOf(3) }, finish_reason: 'length' }]
    })
  })

  test.each([
    ['/v1/completions', completion, (choice: { text?: string }) => choice.text ?? ''],
    ['/v1/chat/completions', chat, (choice: { delta?: { content?: string } }) => choice.delta?.content ?? '']
  ])('a stream of %s has each token once, the token counts and [DONE] at its end', async (path, body, textOfChoice) => {
    const response = await post(path, { ...body, stream: true, stream_options: { include_usage: true } })
    const events = (await response.text()).split('\n\n').filter(event => event !== '').map(event => event.slice('data: '.length))
    expect(response.headers.get('content-type')).toContain('text/event-stream')
    expect(events.at(-1)).toBe('[DONE]')
    const chunks = events.slice(0, -1).map(event => JSON.parse(event) as { choices: object[], usage?: object })
    expect(chunks.flatMap(({ choices }) => choices.map(textOfChoice)).join('')).toBe(textOf(3))
    expect(chunks.at(-1)?.usage).toMatchObject({ completion_tokens: 3 })
    expect(JSON.stringify(chunks)).not.toContain('attempt_id')
  })

  test('a request is recorded as one usage record with its token counts', async () => {
    const response = await post('/v1/completions', completion)
    expect(await flushUsageRecords(host)).toEqual([{
      requestId: response.headers.get('x-request-id'),
      team: 'reef',
      owner: 'acuarios',
      model: 'carassius',
      promptTokens: 11,
      cachedPromptTokens: 3,
      generatedTokens: 3,
      engineMilliseconds: 0,
      calls: 1
    }])
  })

  test('cancelling a streaming response cancels the attempt on the engine and records the tokens generated so far', async () => {
    engine.script = (request, response) => {
      startStream(response)
      response.write(tokenEvent(request, 0))
    }
    const response = await post('/v1/completions', { ...completion, stream: true })
    await response.body!.cancel()
    await engine.waitUntil(() => engine.cancelled.length === 1)
    expect(await flushUsageRecords(host)).toMatchObject([{ generatedTokens: 1 }])
  })

  test('GET /v1/models lists the configured models', async () => {
    const response = await host.application.request('/v1/models', { headers: authorization })
    expect(await response.json()).toMatchObject({ object: 'list', data: [{ id: 'carassius', object: 'model' }] })
  })

  test('a request to an adapter is sent to an engine of its model under the name of the adapter', async () => {
    host.configuration.set('/fleet/adapters/reef-style', { model: 'carassius', version: '1' })
    const body = await (await post('/v1/completions', { ...completion, model: 'reef-style' })).json()
    expect(body).toMatchObject({ model: 'reef-style' })
    expect(engine.requests[0]).toMatchObject({ model: 'reef-style' })
  })
})

describe('invalid requests', () => {
  test.each([
    ['a body that is not JSON', '{', {}, 400, 'bad_request'],
    ['a body that is not UTF-8', Buffer.from('{"model":"carassius","prompt":"\xff"}', 'latin1'), {}, 400, 'bad_request'],
    ['a body without a prompt', { model: 'carassius' }, {}, 400, 'bad_request'],
    ['an empty prompt', { ...completion, prompt: '' }, {}, 400, 'bad_request'],
    ['a prompt that is not a string', { ...completion, prompt: 7 }, {}, 400, 'bad_request'],
    ['max_tokens of 0', { ...completion, max_tokens: 0 }, {}, 400, 'bad_request'],
    ['max_tokens that is not an integer', { ...completion, max_tokens: 1.5 }, {}, 400, 'bad_request'],
    ['a temperature out of range', { ...completion, temperature: 3 }, {}, 400, 'bad_request'],
    ['n above 1', { ...completion, n: 2 }, {}, 400, 'bad_request'],
    ['an unknown model', { ...completion, model: 'perca' }, {}, 404, 'unknown_model'],
    ['a model name with path characters', { ...completion, model: '../x' }, {}, 404, 'unknown_model'],
    ['a deadline of 0', completion, { 'x-timeout-ms': '0' }, 400, 'bad_request'],
    ['a deadline over the limit', completion, { 'x-timeout-ms': '600001' }, 400, 'bad_request'],
    ['a deadline that is not a decimal integer', completion, { 'x-timeout-ms': '1e3' }, 400, 'bad_request'],
    ['an unknown priority', completion, { 'x-priority': 'urgent' }, 400, 'bad_request'],
    ['an idempotency key with a space', completion, { 'idempotency-key': 'a b' }, 400, 'bad_request'],
    ['a body over the limit', { ...completion, prompt: 'x'.repeat(10_001) }, {}, 413, 'body_too_large'],
    ['headers over the limit', completion, { 'x-fill': 'x'.repeat(5000) }, 431, 'headers_too_large']
  ])('a request with %s fails with the status and error kind of its case, does not reach an engine and is not recorded', async (_name, body, headers: Record<string, string>, status, kind) => {
    const response = await post('/v1/completions', body, headers)
    expect(response.status).toBe(status)
    expect(await response.json()).toMatchObject({ error: { type: kind, not_run: true } })
    expect(response.headers.get('x-request-id')).toMatch(/^[0-9a-f]{24}$/)
    expect(engine.requests).toHaveLength(0)
    expect(await flushUsageRecords(host)).toHaveLength(0)
  })

  test('a body without content-length fails with status 413 once it exceeds the limit', async () => {
    let sent = 0
    const body = new ReadableStream<Uint8Array>({
      pull (controller) {
        sent += 1
        controller.enqueue(new Uint8Array(1000))
      }
    })
    const request = new Request('http://host/v1/completions', { method: 'POST', body, headers: authorization, duplex: 'half' } as RequestInit)
    expect((await host.application.fetch(request)).status).toBe(413)
    expect(sent).toBeLessThan(20)
  })

  test.each([
    ['GET', '/v1/completions'], ['GET', '/nothing'], ['POST', '/services/none/x'], ['POST', '/services/engines/x'],
    ['POST', '/services/..%2f/x']
  ])('%s %s returns the error not_found', async (method, path) => {
    const response = await host.application.request(path, { method, headers: authorization })
    expect(await response.json()).toMatchObject({ error: { type: 'not_found' } })
  })
})

describe('authentication', () => {
  test.each([
    ['no token', undefined],
    ['a wrong token', 'Bearer wrong'],
    ['another scheme', `Basic ${reefToken}`],
    ['an empty token', 'Bearer '],
    ['the hash of a token', 'Bearer 2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae'],
    ['an expired token', `Bearer ${expiringToken}`]
  ])('a request with %s receives the same 401 response, which does not say what is wrong', async (_name, value) => {
    await (host.clock as ManualClock).advance(1000)
    const headers: Record<string, string> = value === undefined ? {} : { authorization: value }
    const response = await host.application.request('/v1/models', { headers })
    expect(response.status).toBe(401)
    expect(await response.json()).toEqual({ error: { type: 'unauthenticated', message: 'the request has no valid token', not_run: true } })
  })

  test('a token is accepted before it expires; a token added to the account is accepted until it is removed', async () => {
    const status = async (token: string) =>
      (await host.application.request('/v1/models', { headers: { authorization: `Bearer ${token}` } })).status
    expect(await status(expiringToken)).toBe(200)
    // SHA-256 of "foo"
    const sha256 = '2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae'
    host.configuration.set('/teams/kelp/account', { owner: 'acuarios', tokens: [{ sha256 }], operator: false })
    expect(await status('foo')).toBe(200)
    host.configuration.set('/teams/kelp/account', { owner: 'acuarios', tokens: [], operator: false })
    expect(await status('foo')).toBe(401)
  })
})

describe('service calls', () => {
  test('only headers on the allowlists are forwarded to the service and back to the caller', async () => {
    service.answer = (_run, response) => {
      response.writeHead(200, { 'content-type': 'text/plain', etag: '"1"', 'set-cookie': 'a=b', 'x-internal': 'yes' }).end('fine')
    }
    const response = await host.application.request('/services/votes/tally?round=2', {
      headers: {
        ...authorization,
        accept: 'text/plain',
        cookie: 'session=1',
        'x-forwarded-for': '10.0.0.1',
        forwarded: 'for=10.0.0.1',
        'x-request-id': 'forged',
        'if-none-match': '"0"',
        te: 'trailers'
      }
    })
    const { host: _host, connection: _connection, ...passed } = service.runs[0]!.headers
    expect(service.runs[0]).toMatchObject({ method: 'GET', path: '/tally?round=2' })
    expect(passed).toEqual({
      accept: 'text/plain', 'if-none-match': '"0"', 'x-request-id': response.headers.get('x-request-id')
    })
    expect(Object.fromEntries(response.headers)).toEqual({
      'content-type': 'text/plain', etag: '"1"', 'x-request-id': response.headers.get('x-request-id')
    })
    expect(await response.text()).toBe('fine')
  })

  test('a call repeated with its idempotency key runs once and is recorded once', async () => {
    const { key } = await (await post('/keys', '')).json() as { key: string }
    const responses = [await post('/services/votes/vote', 'yes', { 'idempotency-key': key }),
      await post('/services/votes/vote', 'yes', { 'idempotency-key': key })]
    expect(await Promise.all(responses.map(response => response.json()))).toEqual([{ run: 1 }, { run: 1 }])
    expect(service.runs).toHaveLength(1)
    expect(service.runs[0]!.headers['idempotency-key']).toBe(key)
    const records = await flushUsageRecords(host)
    expect(records.map(({ model, calls }) => ({ model, calls }))).toEqual([{ model: 'service/votes', calls: 1 }])
  })

  test('the response to a call without an idempotency key contains a key issued by the host', async () => {
    const response = await post('/services/votes/vote', 'yes')
    expect(response.headers.get('idempotency-key')).toMatch(/^host-1\.0123456789abcdef\.1\.[0-9a-f]{32}$/)
  })

  test('a call of the class once_logged_claim fails with not_run and does not reach the service', async () => {
    expect(await (await post('/services/votes/claims/1', '')).json()).toMatchObject({ error: { type: 'not_run', not_run: true } })
    expect(service.runs).toHaveLength(0)
  })
})

describe('health', () => {
  test('/health/ready follows the readiness of the host, /health/live does not, and neither needs a token', async () => {
    expect((await host.application.request('/health/ready')).status).toBe(200)
    host.state.ready = false
    expect((await host.application.request('/health/ready')).status).toBe(503)
    expect((await host.application.request('/health/live')).status).toBe(200)
  })

  test('requests during a graceful shutdown are served, with connection: close', async () => {
    host.state.draining = true
    const response = await post('/v1/completions', completion)
    expect(response.status).toBe(200)
    expect(response.headers.get('connection')).toBe('close')
  })
})
