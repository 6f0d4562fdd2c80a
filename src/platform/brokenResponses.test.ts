/**
 * Guards against responses that faulty workers break off, repeat or put in the place of others, as operators of similar
 * systems have reported them. The workers speak over real sockets.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import type { FakeWorker, ReceivedRequest } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil } from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined

afterEach(async () => {
  await platform?.stop()
  platform = undefined
})

async function start (options: Parameters<typeof startPlatform>[0] = {}): Promise<PlatformTest> {
  platform = await startPlatform(options)
  return platform
}

async function connectCaller (): Promise<RawCaller> {
  return await RawCaller.connect(platform!.host.addresses.callers)
}

/** Sends a request; resolves to its response, or to `undefined` if the connection closed before a complete one. */
async function ask (caller: RawCaller, id: string, path: string): Promise<{ status: number, body: string } | undefined> {
  caller.send('POST', path, requestHeaders(id), 'text')
  try {
    return await caller.readResponse()
  } catch {
    return undefined
  }
}

// Guards against callers who are told "not run, try again" for a request that a worker has run, and against a second run.
describe('an earlier refusal that a worker writes once more in place of the response', () => {
  test.each<[string, Record<string, string | undefined>, number]>([
    ['with the id of the earlier request', { 'dogwooddale-not-run': '1', 'dogwooddale-request-id': 'r-refused' }, 503],
    ['without an id', { 'dogwooddale-not-run': '1', 'dogwooddale-request-id': undefined }, 503],
    ['of another worker without an id', { 'dogwooddale-request-id': undefined }, 421],
    ['without an id, for too many requests', { 'dogwooddale-not-run': '1', 'dogwooddale-request-id': undefined }, 429]
  ])('%s does not state that the request has not run', async (_name, headers, status) => {
    const { app } = await start()
    let runs = 0
    for (const worker of app) {
      worker.onRequest = request => {
        const isRefused = request.headers['dogwooddale-request-id'] === 'r-refused'
        if (!isRefused) runs += 1
        const own = isRefused ? { ...headers, 'dogwooddale-request-id': 'r-refused' } : headers
        request.socket.write(worker.responseTo(request, '', { status, headers: own }))
      }
    }
    const caller = await connectCaller()
    expect((await ask(caller, 'r-refused', '/votes/1'))?.status).toBe(503)
    expect((await ask(caller, 'r-run', '/votes/1'))?.status).toBe(502)
    expect(runs).toBe(1)
  })
})

// Guards against an answer that goes on from the prompt of another request.
test.each([
  ['of the request before it', 'r0'],
  ['without an id', undefined]
])('the response to a computed prompt %s is not taken for the one to the next prompt', async (_name, id) => {
  const { host, store, models } = await start({ modelWorkers: 2 })
  const [prefill, decode] = models as [FakeWorker, FakeWorker]
  store.write('keyed.servers', prefill.id, prefill.createEntry('llm', { stage: 'prefill', sequence: 2 }))
  store.write('keyed.servers', decode.id, decode.createEntry('llm', { stage: 'decode', sequence: 2 }))
  await waitUntil(() => host.workers().some(({ role }) => role === 'prefill') && host.workers().some(({ role }) => role === 'decode'))
  prefill.onRequest = request => {
    request.socket.write(prefill.responseTo(request, '{"kv-handle":"foreign","tokens":30}', { headers: { 'dogwooddale-request-id': id } }))
  }
  const caller = await connectCaller()
  caller.send('POST', '/tags/1', requestHeaders('r1', {
    'dogwooddale-model': 'm', 'dogwooddale-token-counts': '30,5', 'dogwooddale-prompt-prefix': 'aa:20,bb:10'
  }), 'text')
  expect((await caller.readResponse()).status).toBe(200)
  expect(prefill.requests.length).toBeGreaterThan(0)
  expect(decode.requests.map(({ headers }) => headers['dogwooddale-kv-from'])).toEqual([undefined])
})

// Guards against a computed prompt that is lost because the response to an earlier release arrives in its place.
test('a late copy of the response to a prompt that arrives in place of that to a release does not affect the next prompt', async () => {
  const { host, store, models } = await start({ modelWorkers: 2 })
  const [prefill, decode] = models as [FakeWorker, FakeWorker]
  store.write('keyed.servers', prefill.id, prefill.createEntry('llm', { stage: 'prefill', sequence: 2 }))
  store.write('keyed.servers', decode.id, decode.createEntry('llm', { stage: 'decode', sequence: 2 }))
  await waitUntil(() => host.workers().some(({ role }) => role === 'prefill') && host.workers().some(({ role }) => role === 'decode'))
  const copies = new Map<unknown, string>()
  prefill.onRequest = request => {
    const { socket, method, headers } = request
    if (method === 'DELETE') {
      socket.write(copies.get(socket) ?? '')
      setTimeout(() => { socket.write(prefill.responseTo(request, '{}')) }, 100)
      return
    }
    const response = prefill.responseTo(request, JSON.stringify({ 'kv-handle': `of-${headers['dogwooddale-request-id']}`, tokens: 30 }))
    // A worker serves one request at a time on a connection.
    setTimeout(() => { socket.write(response) }, copies.size === 0 ? 0 : 150)
    copies.set(socket, response)
  }
  decode.onRequest = request => {
    const isRefused = request.headers['dogwooddale-request-id'] === 'r1'
    const overrides = isRefused ? { status: 503, headers: { 'dogwooddale-not-run': '1' } } : {}
    request.socket.write(decode.responseTo(request, '', overrides))
  }
  const caller = await connectCaller()
  const send = async (id: string): Promise<number> => {
    caller.send('POST', '/tags/1', requestHeaders(id, {
      'dogwooddale-model': 'm', 'dogwooddale-token-counts': '30,5', 'dogwooddale-prompt-prefix': `aa:20,${id}:10`
    }), 'text')
    return (await caller.readResponse()).status
  }
  expect(await send('r1')).toBe(503)
  await waitUntil(() => prefill.requests.some(({ method }) => method === 'DELETE'))
  await new Promise(resolve => setTimeout(resolve, 50))
  expect(await send('r2')).toBe(200)
  expect(decode.requests.map(({ headers }) => headers['dogwooddale-kv-from']?.split('/')[1])).toEqual(['of-r1', 'of-r2'])
  await waitUntil(() => prefill.connections === 2)
})

// Guards against the text or the head of an error in the middle of a stream, and against a stream that looks complete.
describe('a stream that broke off', () => {
  const event = (id: number): string => `id: ${id}\ndata: piece-${id}\n\n`
  const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`
  const stream = { 'content-length': undefined, 'content-type': 'text/event-stream', 'transfer-encoding': 'chunked' }

  function beginAndBreak (worker: FakeWorker, request: ReceivedRequest): void {
    request.socket.write(worker.responseTo(request, '', { headers: stream }) + chunk(event(1)))
    setTimeout(() => { request.socket.resetAndDestroy() }, 20)
  }

  test.each<[string, (worker: FakeWorker, request: ReceivedRequest) => string]>([
    ['an error with a text', (worker, request) => worker.responseTo(request, 'failed\n\n', { status: 500 })],
    ['an error as an event stream', (worker, request) => worker.responseTo(request, 'data: failed\n\n', { status: 500, headers: { 'content-type': 'text/event-stream' } })],
    ['an error without a length', (worker, request) => worker.responseTo(request, 'failed\n\n', { status: 502, headers: { 'content-length': undefined, connection: 'close' } })],
    ['a success that is no event stream', (worker, request) => worker.responseTo(request, '{"error":"failed"}\n\n', { headers: { 'content-type': 'application/json' } })],
    ['a success without a type', (worker, request) => worker.responseTo(request, 'failed\n\n')],
    ['a stream in which an error begins', (worker, request) =>
      worker.responseTo(request, `${event(2)}HTTP/1.1 500 X\r\ncontent-length: 8\r\n\r\nfailed\n\n`, { headers: { 'content-length': undefined, 'content-type': 'text/event-stream', connection: 'close' } })],
    ['a stream of chunks in which an error begins', (worker, request) =>
      worker.responseTo(request, `${chunk(event(2))}HTTP/1.1 500 X\r\ncontent-length: 8\r\n\r\nfailed\n\n`, { headers: stream })],
    ['nothing but the start of a head', () => 'HTTP/1.1 200 OK\r\ncontent-type: text/event-st']
  ])('and is continued by a worker that answers with %s contains only events and does not look complete', async (_name, respond) => {
    const { models } = await start()
    let attempts = 0
    for (const worker of models) {
      worker.onRequest = request => {
        attempts += 1
        if (attempts === 1) return beginAndBreak(worker, request)
        request.socket.end(respond(worker, request))
      }
    }
    const caller = await connectCaller()
    expect(await ask(caller, 'r1', '/answers/1')).toBeUndefined()
    expect(attempts).toBe(2)
    expect(caller.received).toContain('piece-1')
    expect(caller.received).not.toContain('failed')
    expect(caller.received.match(/HTTP\/1\.1/g)).toHaveLength(1)
    expect(caller.received).not.toMatch(/\r\n0\r\n\r\n$/)
  })
})

// Guards against the head of an error that a worker writes into its own stream, also if the stream cannot be resumed.
test.each(['/answers/1', '/tags/1'])('a stream without length or chunks for %s ends as broken where the head of an error begins', async path => {
  const { models } = await start({ modelWorkers: 1 })
  models[0]!.onRequest = request => {
    const head = models[0]!.responseTo(request, '', { headers: { 'content-length': undefined, 'content-type': 'text/event-stream' } })
    request.socket.write(`${head}id: 1\ndata: 1\n\n`, () => {
      setTimeout(() => { request.socket.end('HTTP/1.1 500 X\r\ncontent-length: 8\r\n\r\nfailed\n\n') }, 20)
    })
  }
  const caller = await connectCaller()
  expect(await ask(caller, 'r1', path)).toBeUndefined()
  expect(caller.received).toContain('data: 1')
  expect(caller.received).not.toContain('failed')
})

// Guards against the handle of a prompt, or another text, that is passed on as a complete stream.
describe('a success of another type in place of a stream', () => {
  const prompt = { headers: { 'content-type': 'application/json' } }
  const page = { headers: { 'content-type': 'text/html; charset=utf-8' } }

  test.each([
    ['the handle of a prompt', '{"kv-handle":"h1","tokens":30}', prompt],
    ['a page', '<p>fine</p>', page],
    ['a page with another status', '<p>fine</p>', { ...page, status: 203 }]
  ])('%s is not the answer to a request that may run once', async (_name, body, overrides) => {
    const { models } = await start()
    for (const worker of models) {
      worker.onRequest = request => { request.socket.write(worker.responseTo(request, body, overrides)) }
    }
    expect((await ask(await connectCaller(), 'r1', '/tags/1'))?.status).toBe(502)
    expect(models.flatMap(({ requests }) => requests)).toHaveLength(1)
  })

  test('does not keep another worker from answering a stream that may be resumed', async () => {
    const { models } = await start()
    let attempts = 0
    for (const worker of models) {
      worker.onRequest = request => {
        attempts += 1
        const response = attempts === 1 ? worker.responseTo(request, '{}', prompt) : worker.responseTo(request, 'data: 1\n\n', { headers: { 'content-type': 'text/event-stream' } })
        request.socket.write(response)
      }
    }
    expect(await ask(await connectCaller(), 'r1', '/answers/1')).toMatchObject({ status: 200, body: 'data: 1' })
  })

  test.each([400, 404, 500])('does not change the failure with status %d of a worker', async status => {
    const { models } = await start({ modelWorkers: 1 })
    const [worker] = models as [FakeWorker]
    worker.onRequest = request => { request.socket.write(worker.responseTo(request, '{"error":"x"}', { ...prompt, status })) }
    expect(await ask(await connectCaller(), 'r1', '/tags/1')).toMatchObject({ status, body: '{"error":"x"}', headers: { 'dogwooddale-server-stamp': `signed-by-${worker.id}` } })
  })
})

// Guards against a success with an empty or short body that is framed as whole.
describe('a response whose worker stops in the middle of the head', () => {
  const id = (request: ReceivedRequest): string => `dogwooddale-request-id: ${request.headers['dogwooddale-request-id']}\r\n`
  const heads: Array<[string, (request: ReceivedRequest) => string]> = [
    ['in the status line', () => 'HTTP/1.1 20'],
    ['behind the status line', () => 'HTTP/1.1 200 OK\r\n'],
    ['in the name of a field', request => `HTTP/1.1 200 OK\r\n${id(request)}dogwooddale-server-st`],
    ['in the value of the length', request => `HTTP/1.1 200 OK\r\n${id(request)}dogwooddale-server-stamp: s\r\ncontent-length: 1`],
    ['behind the last field', request => `HTTP/1.1 200 OK\r\n${id(request)}dogwooddale-server-stamp: s\r\nconnection: close\r\n`],
    ['in the line that ends it', request => `HTTP/1.1 200 OK\r\n${id(request)}dogwooddale-server-stamp: s\r\nconnection: close\r\n\r`],
    ['behind an interim response', request => `HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n${id(request)}`]
  ]

  test.each(heads.flatMap(([name, head]): Array<[string, string, (request: ReceivedRequest) => string, boolean]> => [
    [name, '/votes/1', head, false], [name, '/tags/1', head, false], [name, '/votes/1', head, true]
  ]))('%s is no success for %s', async (_name, path, head, isKept) => {
    const { app, models } = await start({ appWorkers: 1, modelWorkers: 1 })
    const [worker] = (path === '/tags/1' ? models : app) as [FakeWorker]
    const caller = await connectCaller()
    if (isKept) expect((await ask(caller, 'r0', path))?.status).toBe(200)
    worker.onRequest = request => { request.socket.end(head(request)) }
    const response = await ask(caller, 'r1', path)
    expect(response === undefined || response.status >= 500).toBe(true)
  })
})
