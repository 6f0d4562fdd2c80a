/**
 * Guards the request path on the platform against responses that reach another request or look complete although they
 * were cut, requests that run twice or are reported as not run after they ran, header fields that callers forge,
 * workers that keep working for callers who disconnected, and stops that cut responses.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import type { Socket } from 'node:net'
import { ManualClock } from '../common/index.js'
import type { FakeWorker, ReceivedRequest } from './testing/FakeWorker.js'
import { configurationDocument, type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil } from './testing/platformTestSupport.js'

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

/** The content of a chunked body; undefined unless it ends with the final chunk. */
function decodeChunks (text: string): string | undefined {
  let content = ''
  let rest = text
  for (;;) {
    const lineEnd = rest.indexOf('\r\n')
    const length = Number.parseInt(rest.slice(0, lineEnd), 16)
    if (lineEnd < 0 || Number.isNaN(length)) return undefined
    if (length === 0) return content
    content += rest.slice(lineEnd + 2, lineEnd + 2 + length)
    rest = rest.slice(lineEnd + 4 + length)
  }
}

function countRequests (workers: FakeWorker[]): number {
  return workers.reduce((sum, { requests }) => sum + requests.length, 0)
}

function streamHead (request: ReceivedRequest, worker: FakeWorker): string {
  return `HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\ndogwooddale-request-id: ${request.headers['dogwooddale-request-id']}\r\ndogwooddale-server-stamp: ${worker.id}\r\n\r\n`
}

function streamChunk (text: string): string {
  return `${text.length.toString(16)}\r\n${text}\r\n`
}

function streamEvent (id: number): string {
  return `id: ${id}\ndata: piece-${id}\n\n`
}

describe('a request', () => {
  test('reaches a worker unchanged, except for hop-by-hop fields and fields that only the system may set', async () => {
    const { app } = await start({ appWorkers: 1 })
    const client = await connectCaller()
    client.send('POST', '/votes/a%2Fb?x=1&y=%20', requestHeaders('r1', {
      'x-note': 'kept',
      connection: 'keep-alive, x-hop',
      'x-hop': 'dropped',
      'dogwooddale-expect-instance': 'forged',
      'dogwooddale-kv-from': '1.2.3.4:5/abc',
      'dogwooddale-kv-hold': 'forged',
      'dogwooddale-pin-ms': '4000',
      'dogwooddale-kv-backup': 'forged',
      'dogwooddale-stage': 'prefill',
      'kv-fetch': '1.2.3.4:5'
    }), 'yes')
    expect(await client.readResponse()).toMatchObject({ status: 200, body: 'app-0', headers: { 'dogwooddale-server-stamp': 'signed-by-app-0' } })
    const [request] = app[0]!.requests
    expect(request).toMatchObject({ method: 'POST', path: '/votes/a%2Fb?x=1&y=%20', body: 'yes' })
    expect(request!.headers).toMatchObject({ host: 'forum.example', 'x-note': 'kept', 'dogwooddale-expect-instance': 'app-0' })
    expect(Number(request!.headers['dogwooddale-deadline-ms'])).toBeLessThanOrEqual(4000)
    for (const name of ['x-hop', 'dogwooddale-kv-from', 'dogwooddale-kv-hold', 'dogwooddale-pin-ms', 'dogwooddale-kv-backup', 'dogwooddale-stage', 'kv-fetch']) {
      expect(request!.headers[name]).toBeUndefined()
    }
  })

  test.each([
    ['no route', 'GET', '/none/', requestHeaders('r1'), undefined, 404],
    ['no id', 'GET', '/reads/1', {}, undefined, 400],
    ['a body over the limit', 'POST', '/votes/1', requestHeaders('r1'), 'x'.repeat(10_001), 413],
    ['a header over the limit', 'GET', '/reads/1', requestHeaders('r1', { 'x-long': 'x'.repeat(5000) }), undefined, 431]
  ] as Array<[string, string, string, Record<string, string>, string | undefined, number]>)(
    'with %s is answered with the matching 4xx status and reaches no worker', async (_name, method, path, headers, body, status) => {
      const { app, models } = await start()
      const client = await connectCaller()
      client.send(method, path, headers, body)
      expect((await client.readResponse()).status).toBe(status)
      expect(countRequests([...app, ...models])).toBe(0)
    })

  test('with a chunked body reaches the worker with the complete body', async () => {
    const { app } = await start({ appWorkers: 1 })
    const client = await connectCaller()
    client.socket.write('POST /votes/1 HTTP/1.1\r\nhost: forum.example\r\ndogwooddale-request-id: r1\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n')
    client.socket.write('2\r\nde\r\n0\r\n\r\n')
    expect((await client.readResponse()).status).toBe(200)
    expect(app[0]!.requests[0]!.body).toBe('abcde')
  })

  test('that is pipelined behind another on the same connection receives its own response', async () => {
    const { app } = await start({ appWorkers: 1 })
    app[0]!.onRequest = request => { request.socket.write(app[0]!.responseTo(request, request.path)) }
    const client = await connectCaller()
    client.send('GET', '/reads/1', requestHeaders('r1'))
    client.send('GET', '/reads/2', requestHeaders('r2'))
    expect((await client.readResponse()).body).toBe('/reads/1')
    expect((await client.readResponse()).body).toBe('/reads/2')
  })

  test('before the first configuration is answered 503 with retry-after, by a host that is not ready', async () => {
    const { host } = await start({ configuration: null })
    expect(host.isReady).toBe(false)
    const client = await connectCaller()
    client.send('GET', '/reads/1', requestHeaders('r1'))
    expect(await client.readResponse()).toMatchObject({ status: 503, headers: { 'retry-after': expect.any(String) } })
  })
})

describe('a worker response', () => {
  const invalidResponses: Array<[string, (worker: FakeWorker, request: ReceivedRequest) => void]> = [
    ['that belongs to another request', (worker, request) => {
      request.socket.write(worker.responseTo(request, 'stale', { headers: { 'dogwooddale-request-id': 'another' } }))
    }],
    ['without a signature', (worker, request) => {
      request.socket.write(worker.responseTo(request, 'unsigned', { headers: { 'dogwooddale-server-stamp': undefined } }))
    }],
    ['with a content encoding that was not requested', (worker, request) => {
      request.socket.write(worker.responseTo(request, 'coded', { headers: { 'content-encoding': 'br' } }))
    }],
    ['that ends before its content length', (worker, request) => {
      request.socket.end(worker.responseTo(request, 'short', { headers: { 'content-length': '50' } }))
    }],
    ['without a content length that is cut by a reset', (worker, request) => {
      const partialResponse = worker.responseTo(request, 'part', { headers: { 'content-length': undefined } })
      request.socket.write(partialResponse, () => request.socket.resetAndDestroy())
    }],
    ['that is not HTTP', (_worker, request) => { request.socket.end('garbage\r\n\r\n') }]
  ]

  test.each(invalidResponses)('%s is answered 502 for a non-idempotent request, which is not sent again', async (_name, sendInvalid) => {
    const { app } = await start({ appWorkers: 2 })
    for (const worker of app) worker.onRequest = request => sendInvalid(worker, request)
    const client = await connectCaller()
    client.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    expect((await client.readResponse()).status).toBe(502)
    expect(countRequests(app)).toBe(1)
  })

  test.each(invalidResponses)('%s is discarded for an idempotent request, which is sent again', async (_name, sendInvalid) => {
    const { app } = await start({ appWorkers: 2 })
    let isFirstRun = true
    for (const worker of app) {
      worker.onRequest = request => {
        if (isFirstRun) sendInvalid(worker, request)
        else request.socket.write(worker.responseTo(request, 'fine'))
        isFirstRun = false
      }
    }
    const client = await connectCaller()
    client.send('GET', '/reads/1', requestHeaders('r1'))
    expect(await client.readResponse()).toMatchObject({ status: 200, body: 'fine' })
    expect(countRequests(app)).toBe(2)
  })

  // Guards against a complete response that is taken for a broken one since only its connection's close ends it.
  test.each([['GET', '/reads/1'], ['POST', '/votes/1']])('without a length or chunks that ends with its connection is delivered whole for %s %s', async (method, path) => {
    const { app } = await start()
    for (const worker of app) {
      worker.onRequest = request => { request.socket.end(worker.responseTo(request, 'whole', { headers: { 'content-length': undefined } })) }
    }
    const client = await connectCaller()
    client.send(method, path, requestHeaders('r1'), method === 'POST' ? 'yes' : undefined)
    expect(await client.readResponse()).toMatchObject({ status: 200, body: 'whole' })
    expect(countRequests(app)).toBe(1)
  })

  test('that is sent twice on a kept-alive connection does not answer the next request', async () => {
    const { app } = await start({ appWorkers: 1 })
    const worker = app[0]!
    worker.onRequest = request => {
      if (worker.requests.length === 1) request.socket.write(worker.responseTo(request, 'first') + worker.responseTo(request, 'twice'))
      else request.socket.write(worker.responseTo(request, 'second'))
    }
    const client = await connectCaller()
    client.send('GET', '/reads/1', requestHeaders('r1'))
    expect((await client.readResponse()).body).toBe('first')
    client.send('GET', '/reads/2', requestHeaders('r2'))
    expect((await client.readResponse()).body).toBe('second')
    expect(worker.connections).toBe(2)
  })

  test('with status 500 is forwarded unchanged for a non-idempotent request, which is not sent again', async () => {
    const { app } = await start()
    for (const worker of app) worker.onRequest = request => { request.socket.write(worker.responseTo(request, 'broken', { status: 500 })) }
    const client = await connectCaller()
    client.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    expect(await client.readResponse()).toMatchObject({ status: 500, body: 'broken', headers: { 'dogwooddale-server-stamp': expect.any(String) } })
    expect(countRequests(app)).toBe(1)
  })
})

describe('a refusal by a worker', () => {
  const refusals: Array<[string, { status: number, headers: Record<string, string | undefined> }]> = [
    ['503 and the not-run header', { status: 503, headers: { 'dogwooddale-not-run': '1', 'dogwooddale-server-stamp': undefined } }],
    ['421', { status: 421, headers: { 'dogwooddale-server-stamp': undefined } }]
  ]

  test.each(refusals)('with status %s moves a non-idempotent request to another worker', async (_name, refusal) => {
    const { app } = await start()
    let hasRefused = false
    for (const worker of app) {
      worker.onRequest = request => {
        request.socket.write(hasRefused ? worker.responseTo(request, 'done') : worker.responseTo(request, '', refusal))
        hasRefused = true
      }
    }
    const client = await connectCaller()
    client.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    expect(await client.readResponse()).toMatchObject({ status: 200, body: 'done' })
  })

  test.each(refusals)('with status %s from all workers is answered 503 with retry-after', async (_name, refusal) => {
    const { app } = await start()
    for (const worker of app) worker.onRequest = request => { request.socket.write(worker.responseTo(request, '', refusal)) }
    const client = await connectCaller()
    client.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    expect(await client.readResponse()).toMatchObject({ status: 503, headers: { 'retry-after': expect.any(String) } })
  })

  test.each([
    ['no other worker remains', 2, 1000],
    ['the retry budget is used up', 3, 0]
  ])('that follows a failed run at another worker is answered 502, as the outcome is unknown, when %s', async (_name, appWorkers, retrySlack) => {
    const { app } = await start({ appWorkers, retrySlack })
    let runCount = 0
    for (const worker of app) {
      worker.onRequest = request => {
        runCount += 1
        if (runCount === 1) request.socket.destroy()
        else request.socket.write(worker.responseTo(request, '', refusals[0]![1]))
      }
    }
    const client = await connectCaller()
    client.send('GET', '/reads/1', requestHeaders('r1'))
    expect((await client.readResponse()).status).toBe(502)
  })
})

describe('a stream', () => {
  test('that is cut inside an event is resumed by another worker after the last complete event', async () => {
    const { models } = await start()
    const lastEventIds: Array<string | undefined> = []
    for (const worker of models) {
      worker.onRequest = request => {
        lastEventIds.push(request.headers['last-event-id'])
        if (lastEventIds.length === 1) request.socket.write(streamHead(request, worker) + streamChunk(streamEvent(1)) + streamChunk(streamEvent(2) + 'id: 3\nda'), () => request.socket.destroy())
        else request.socket.write(streamHead(request, worker) + streamChunk(streamEvent(3)) + streamChunk(streamEvent(4)) + '0\r\n\r\n')
      }
    }
    const client = await connectCaller()
    client.send('POST', '/answers/1', requestHeaders('r1'), 'why')
    await waitUntil(() => client.received.endsWith('0\r\n\r\n'))
    expect(client.received.match(/data: piece-\d/g)).toEqual([1, 2, 3, 4].map(id => `data: piece-${id}`))
    expect(lastEventIds).toEqual([undefined, '2'])
  })

  test('that is not resumable ends without the final chunk when it is cut, and its request is not sent again', async () => {
    const { models } = await start()
    for (const worker of models) {
      worker.onRequest = request => {
        request.socket.write(streamHead(request, worker) + streamChunk(streamEvent(1)), () => request.socket.destroy())
      }
    }
    const client = await connectCaller()
    client.send('POST', '/tags/1', requestHeaders('r1'), 'post')
    await waitUntil(() => client.closed)
    expect(client.received).toContain('piece-1')
    expect(client.received.endsWith('0\r\n\r\n')).toBe(false)
    expect(countRequests(models)).toBe(1)
  })

  // Guards against an answer that looks complete to a caller of HTTP/1.0, who gets no chunks.
  test('that is cut is reset for a caller of HTTP/1.0', async () => {
    const { models } = await start()
    for (const worker of models) {
      worker.onRequest = request => {
        request.socket.write(streamHead(request, worker) + streamChunk(streamEvent(1)))
      }
    }
    const client = await connectCaller()
    const failed = new Promise<NodeJS.ErrnoException>(resolve => { client.socket.once('error', resolve) })
    client.socket.write('POST /tags/1 HTTP/1.0\r\nhost: forum.example\r\ndogwooddale-request-id: r1\r\ncontent-length: 4\r\n\r\npost')
    await waitUntil(() => client.received.includes('piece-1'))
    for (const { requests: [request] } of models) request?.socket.destroy()
    await waitUntil(() => client.closed)
    expect(client.received).not.toContain('transfer-encoding')
    expect(await failed).toMatchObject({ code: 'ECONNRESET' })
  })

  const openHead = (request: ReceivedRequest, worker: FakeWorker): string => streamHead(request, worker).replace('transfer-encoding: chunked\r\n', '')
  const reset = (socket: Socket): void => { socket.resetAndDestroy() }
  const finish = (socket: Socket): void => { socket.end() }
  const finishChunks = (socket: Socket): void => { socket.write('0\r\n\r\n') }

  // Guards against streams that look complete to the caller although their worker stopped inside an event.
  test.each([
    ['inside a field of an event, at the close of a connection without a length', openHead, streamEvent(1) + 'id: 2\ndata: pie', finish],
    ['after a single newline, at the close of a connection without a length', openHead, streamEvent(1) + 'id: 2\ndata: piece-2\n', finish],
    ['inside an event with CRLF line ends', openHead, (streamEvent(1) + 'id: 2\ndata: pie').replaceAll('\n', '\r\n'), finish],
    ['inside a comment', openHead, streamEvent(1) + ': wai', finish],
    ['inside an event, with a final chunk', streamHead, streamChunk(streamEvent(1)) + streamChunk('id: 2\ndata: pie'), finishChunks],
    ['after a complete event, by a reset', openHead, streamEvent(1), reset]
  ] as Array<[string, typeof openHead, string, (socket: Socket) => void]>)(
    'that is not resumable and ends %s does not end as complete, and its request is not sent again', async (_name, headOf, body, end) => {
      const lastBytes = body.trimEnd().slice(-3)
      const { models } = await start()
      const sockets: Socket[] = []
      for (const worker of models) {
        worker.onRequest = request => {
          sockets.push(request.socket)
          request.socket.write(headOf(request, worker) + body)
        }
      }
      const client = await connectCaller()
      client.send('POST', '/tags/1', requestHeaders('r1'), 'post')
      // The bytes are passed on before the worker ends the stream.
      await waitUntil(() => client.received.includes(lastBytes))
      end(sockets[0]!)
      await waitUntil(() => client.closed || client.received.endsWith('0\r\n\r\n'))
      expect(client.received.endsWith('0\r\n\r\n')).toBe(false)
      expect(countRequests(models)).toBe(1)
    })

  // Guards against complete streams that are taken for broken ones, or whose bytes are changed or sent again.
  test.each([
    ['LF line ends', '/tags/1', streamEvent(1) + streamEvent(2)],
    ['CRLF line ends', '/tags/1', (streamEvent(1) + streamEvent(2)).replaceAll('\n', '\r\n')],
    ['CR line ends', '/tags/1', (streamEvent(1) + streamEvent(2)).replaceAll('\n', '\r')],
    ['a comment at the end', '/tags/1', streamEvent(1) + ': done\n'],
    ['no event', '/tags/1', ''],
    ['LF line ends', '/answers/1', streamEvent(1) + streamEvent(2)],
    ['CRLF line ends', '/answers/1', (streamEvent(1) + streamEvent(2)).replaceAll('\n', '\r\n')],
    ['CR line ends', '/answers/1', (streamEvent(1) + streamEvent(2)).replaceAll('\n', '\r')],
    ['a comment at the end', '/answers/1', streamEvent(1) + ': done\n'],
    ['no event', '/answers/1', '']
  ])('with %s for %s that has no length and ends with its connection is delivered whole', async (_name, path, body) => {
    const { models } = await start()
    for (const worker of models) worker.onRequest = request => { request.socket.end(openHead(request, worker) + body) }
    const client = await connectCaller()
    client.send('POST', path, requestHeaders('r1'), 'post')
    await waitUntil(() => client.closed || client.received.endsWith('0\r\n\r\n'))
    const chunks = client.received.slice(client.received.indexOf('\r\n\r\n') + 4)
    expect(decodeChunks(chunks)).toBe(body)
    expect(countRequests(models)).toBe(1)
  })

  // Guards against error responses, which carry no events, that are judged as if they were streams of events.
  test('whose worker answers with an error and no length delivers that answer whole', async () => {
    const { models } = await start()
    for (const worker of models) {
      worker.onRequest = request => {
        request.socket.end(worker.responseTo(request, 'no such model', { status: 400, headers: { 'content-length': undefined, 'content-type': 'text/plain' } }))
      }
    }
    const client = await connectCaller()
    client.send('POST', '/tags/1', requestHeaders('r1'), 'post')
    expect(await client.readResponse()).toMatchObject({ status: 400, body: expect.stringContaining('no such model') })
  })

  test.each(['/tags/1', '/answers/1'])('for %s is closed at its worker when the caller disconnects', async path => {
    const { models } = await start({ modelWorkers: 1 })
    let workerClosed = false
    models[0]!.onRequest = request => {
      request.socket.on('close', () => { workerClosed = true })
      request.socket.write(streamHead(request, models[0]!) + streamChunk(streamEvent(1)))
    }
    const client = await connectCaller()
    client.send('POST', path, requestHeaders('r1'), 'post')
    await waitUntil(() => client.received.includes('piece-1'))
    client.socket.destroy()
    await waitUntil(() => workerClosed)
  })
})

describe('configuration and workers', () => {
  test('an older or malformed configuration never replaces a newer one', async () => {
    const { store } = await start({ configuration: configurationDocument(5) })
    const added = { name: 'new', host: 'forum.example', 'path-prefix': '/new/', kind: 'safe', 'timeout-ms': 1000, service: 'app' }
    store.write('keyed.op', 'config', configurationDocument(9, { routes: [added] }))
    const client = await connectCaller()
    const statusOf = async (id: string): Promise<number> => {
      client.send('GET', '/new/1', requestHeaders(id))
      return (await client.readResponse()).status
    }
    let tries = 0
    while (await statusOf(`try-${tries}`) !== 200) tries += 1
    store.write('keyed.op', 'config', configurationDocument(7))
    store.write('keyed.op', 'config', '{"version":12')
    store.compact('keyed.op')
    // Written last, so that its effect shows that all records before it were read.
    store.write('keyed.servers', 'late', 'no entry')
    for (let index = 0; index < 20; index += 1) expect(await statusOf(`after-${index}`)).toBe(200)
  })

  test('a draining worker receives no more requests, even after a delayed older report, and invalid entries affect no other worker', async () => {
    const { store, app } = await start()
    store.write('keyed.servers', 'strange-1', '\u0000\u0001')
    store.write('keyed.servers', 'strange-2', { service: 'app', address: 7, state: 'ready' })
    store.write('keyed.servers', 'strange-3', { ...app[0]!.createEntry('app'), state: 'resting' })
    store.write('keyed.servers', 'app-0', app[0]!.createEntry('app', { state: 'draining', sequence: 2 }))
    // A delayed report from before the worker began to drain.
    store.write('keyed.servers', 'app-0', app[0]!.createEntry('app', { sequence: 1 }))
    const client = await connectCaller()
    let servedBy = ''
    for (let index = 0; servedBy !== 'app-1' || index < 20; index += 1) {
      client.send('GET', '/reads/1', requestHeaders(`r${index}`))
      servedBy = (await client.readResponse()).body
    }
    const countBefore = app[0]!.requests.length
    for (let index = 0; index < 20; index += 1) {
      client.send('GET', '/reads/1', requestHeaders(`s${index}`))
      await client.readResponse()
    }
    expect(app[0]!.requests.length).toBe(countBefore)
  })
})

describe('a stop', () => {
  test('keeps the listener open while the load balancer still sends requests, and ends after the last response', async () => {
    const clock = new ManualClock()
    const { host, app } = await start({ clock, appWorkers: 1 })
    const openRequests: ReceivedRequest[] = []
    app[0]!.onRequest = request => {
      if (request.path === '/reads/slow') openRequests.push(request)
      else request.socket.write(app[0]!.responseTo(request, 'fine'))
    }
    const slow = await connectCaller()
    slow.send('GET', '/reads/slow', requestHeaders('slow'))
    await waitUntil(() => openRequests.length === 1)
    const stopped = host.stop()
    expect(host.isReady).toBe(false)
    await clock.advance(2000)
    const late = await connectCaller()
    late.send('GET', '/reads/1', requestHeaders('late'))
    expect(await late.readResponse()).toMatchObject({ status: 200, headers: { connection: 'close' } })
    await clock.advance(1500)
    openRequests[0]!.socket.write(app[0]!.responseTo(openRequests[0]!, 'slow but whole'))
    expect(await slow.readResponse()).toMatchObject({ status: 200, body: 'slow but whole' })
    expect(await stopped).toBe(true)
  })

  /** Opens a connection as it is when the listener closes; `complete` ends its open request. */
  type LastingConnection = (worker: FakeWorker) => Promise<{ caller: RawCaller, complete: () => Promise<void> }>

  const lastingConnections: Array<[string, LastingConnection]> = [
    ['that was never used', async () => ({ caller: await connectCaller(), complete: async () => {} })],
    ['with a stream whose head was sent before the stop', async worker => {
      worker.onRequest = request => { request.socket.write(streamHead(request, worker) + streamChunk(streamEvent(1))) }
      const caller = await connectCaller()
      caller.send('POST', '/tags/1', requestHeaders('stream'), 'post')
      await waitUntil(() => caller.received.includes('piece-1'))
      return {
        caller,
        complete: async () => {
          worker.requests[0]!.socket.write('0\r\n\r\n')
          worker.onRequest = request => { request.socket.write(worker.responseTo(request, 'late')) }
          expect(await caller.readResponse()).toMatchObject({ status: 200, headers: { connection: 'keep-alive' } })
        }
      }
    }]
  ]

  // Guards against connections that stay usable after the listener has closed, so that a request on them is cut by the exit.
  test.each(lastingConnections)('closes a connection %s without taking another request on it', async (_name, open) => {
    const clock = new ManualClock()
    const { host, models } = await start({ clock, modelWorkers: 1 })
    const { caller, complete } = await open(models[0]!)
    const idle = await connectCaller()
    idle.send('GET', '/reads/1', requestHeaders('idle'))
    await idle.readResponse()
    const countBefore = countRequests(models)
    const stopped = host.stop()
    await clock.advance(2600)
    await waitUntil(() => idle.closed)
    await complete()
    caller.send('POST', '/tags/2', requestHeaders('late'), 'post')
    await expect(caller.readResponse()).rejects.toThrow('closed')
    expect(countRequests(models)).toBe(countBefore)
    expect(await stopped).toBe(true)
  })

  // Guards against requests that are cut without an answer by the exit at the end of the grace period.
  test.each([
    ['GET', '/reads/1', /^HTTP\/1.1 504 /, true],
    ['POST', '/votes/1', /^HTTP\/1.1 502 /, true],
    ['POST', '/tags/1', /^HTTP\/1.1 502 /, false],
    ['POST', '/answers/1', /^HTTP\/1.1 502 /, false]
  ])('answers %s %s before the exit, although the worker is silent', async (method, path, answer, endsByDeadline) => {
    const clock = new ManualClock()
    const { host, app, models } = await start({ clock, appWorkers: 1, modelWorkers: 1 })
    for (const worker of [...app, ...models]) worker.onRequest = () => {}
    const stopped = host.stop()
    await clock.advance(2550)
    const caller = await connectCaller()
    caller.send(method, path, requestHeaders('r1', { 'dogwooddale-deadline-ms': '20000' }), method === 'GET' ? undefined : 'body')
    await waitUntil(() => countRequests([...app, ...models]) === 1)
    await clock.advance(4950)
    expect(await stopped).toBe(endsByDeadline)
    await host.close()
    await waitUntil(() => caller.closed)
    expect(caller.received).toMatch(answer)
  })

  // Guards against workers, and the queue for prompts, that are given more time than the process has left.
  test.each([
    ['a whole response has to be complete for the final answers', '/votes/1', 4700],
    ['a stream may last until the exit', '/tags/1', 4950]
  ])('gives a worker the time that is left: %s', async (_name, path, milliseconds) => {
    const clock = new ManualClock()
    const { host, app, models } = await start({ clock, appWorkers: 1, modelWorkers: 1 })
    const stopped = host.stop()
    await clock.advance(2550)
    const caller = await connectCaller()
    caller.send('POST', path, requestHeaders('r1', { 'dogwooddale-deadline-ms': '20000' }), 'body')
    expect((await caller.readResponse()).status).toBe(200)
    expect([...app, ...models].flatMap(({ requests }) => requests).map(({ headers }) => headers['dogwooddale-deadline-ms']))
      .toEqual([String(milliseconds)])
    await clock.advance(100)
    expect(await stopped).toBe(true)
  })

  test('forwards a stream until the exit and then ends it without the final chunk', async () => {
    const clock = new ManualClock()
    const { host, models } = await start({ clock, modelWorkers: 1 })
    models[0]!.onRequest = request => { request.socket.write(streamHead(request, models[0]!) + streamChunk(streamEvent(1))) }
    const stopped = host.stop()
    await clock.advance(2550)
    const caller = await connectCaller()
    caller.send('POST', '/tags/1', requestHeaders('r1', { 'dogwooddale-deadline-ms': '20000' }), 'post')
    await waitUntil(() => caller.received.includes('piece-1'))
    await clock.advance(4900)
    models[0]!.requests[0]!.socket.write(streamChunk(streamEvent(2)))
    await waitUntil(() => caller.received.includes('piece-2'))
    await clock.advance(100)
    expect(await stopped).toBe(false)
    await waitUntil(() => caller.closed)
    expect(caller.received.endsWith('0\r\n\r\n')).toBe(false)
  })
})

describe('a prompt that a prefill worker computes', () => {
  const prompt = { 'dogwooddale-model': 'm', 'dogwooddale-token-counts': '1500,20', 'dogwooddale-prompt-prefix': 'aa:1000,bb:500' }
  const isPrefill = ({ headers }: ReceivedRequest): boolean => headers['dogwooddale-stage'] === 'prefill'

  /** Starts a host with one prefill worker and the given number of decode workers. */
  async function startDisaggregated (
    decodeWorkers: number
  ): Promise<PlatformTest & { prefill: FakeWorker, decode: FakeWorker[] }> {
    const { host, store, models } = await start({ modelWorkers: decodeWorkers + 1 })
    const [prefill, ...decode] = models as [FakeWorker, ...FakeWorker[]]
    store.write('keyed.servers', prefill.id, prefill.createEntry('llm', { stage: 'prefill', sequence: 2 }))
    for (const worker of decode) store.write('keyed.servers', worker.id, worker.createEntry('llm', { stage: 'decode', sequence: 2 }))
    prefill.onRequest = request => { request.socket.write(prefill.responseTo(request, '{"kv-handle":"h1","tokens":1500,"version":1}')) }
    await waitUntil(() => host.workers().filter(({ role }) => role === 'decode').length === decodeWorkers)
    return { ...platform!, prefill, decode }
  }

  test('is fetched by the decode worker with the handle that the prefill worker returned', async () => {
    const { prefill, decode } = await startDisaggregated(1)
    const client = await connectCaller()
    client.send('POST', '/tags/1', requestHeaders('r1', prompt), 'post')
    expect((await client.readResponse()).status).toBe(200)
    expect(prefill.requests).toHaveLength(1)
    expect(decode[0]!.requests[0]!.headers['dogwooddale-kv-from']).toBe(`${prefill.address}/h1`)
  })

  test('is not computed again when a decode worker rejects the request', async () => {
    const { prefill, decode } = await startDisaggregated(2)
    let hasRefused = false
    for (const worker of decode) {
      worker.onRequest = request => {
        const refusal = { status: 503, headers: { 'dogwooddale-not-run': '1' } }
        request.socket.write(hasRefused ? worker.responseTo(request, 'done') : worker.responseTo(request, '', refusal))
        hasRefused = true
      }
    }
    const client = await connectCaller()
    client.send('POST', '/tags/1', requestHeaders('r1', prompt), 'post')
    expect((await client.readResponse()).body).toBe('done')
    expect(prefill.requests.filter(isPrefill)).toHaveLength(1)
  })

  test('is not continued by a decode worker that began to drain during the computation', async () => {
    const { host, store, prefill, decode } = await startDisaggregated(2)
    const pendingPrefills: ReceivedRequest[] = []
    prefill.onRequest = request => { pendingPrefills.push(request) }
    const clients = await Promise.all(Array.from({ length: 8 }, connectCaller))
    for (const [index, client] of clients.entries()) client.send('POST', '/tags/1', requestHeaders(`r${index}`, prompt), 'post')
    await waitUntil(() => pendingPrefills.length === clients.length)
    store.write('keyed.servers', 'llm-1', decode[0]!.createEntry('llm', { stage: 'decode', state: 'draining', sequence: 3 }))
    await waitUntil(() => host.workers().some(({ id, draining }) => id === 'llm-1' && draining))
    for (const request of pendingPrefills) request.socket.write(prefill.responseTo(request, '{"kv-handle":"h1","tokens":1500,"version":1}'))
    for (const client of clients) expect((await client.readResponse()).body).toBe('llm-2')
    expect(decode[0]!.requests).toHaveLength(0)
  })

  test('is released at the prefill worker when no decode worker accepts the request', async () => {
    const { prefill, decode } = await startDisaggregated(1)
    decode[0]!.onRequest = request => {
      request.socket.write(decode[0]!.responseTo(request, '', { status: 503, headers: { 'dogwooddale-not-run': '1' } }))
    }
    const client = await connectCaller()
    client.send('POST', '/tags/1', requestHeaders('r1', prompt), 'post')
    expect((await client.readResponse()).status).toBe(503)
    await waitUntil(() => prefill.requests.some(({ method, path }) => method === 'DELETE' && path === '/v1/kv-handle/h1'))
  })

  test('is requested only within the retry budget while the prefill worker rejects the computation', async () => {
    const { prefill, decode } = await startDisaggregated(1)
    prefill.onRequest = request => {
      request.socket.write(prefill.responseTo(request, '', { status: 503, headers: { 'dogwooddale-not-run': '1' } }))
    }
    const client = await connectCaller()
    const computations = 200
    for (let index = 0; index < computations; index += 1) {
      client.send('POST', '/tags/1', requestHeaders(`r${index}`, prompt), 'post')
      expect((await client.readResponse()).status).toBe(200)
    }
    expect(decode[0]!.requests).toHaveLength(computations)
    expect(prefill.requests.length).toBeLessThan(computations / 2)
  })
})
