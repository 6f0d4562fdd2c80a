/**
 * Guards against workers that send bytes without end: hosts that buffer them, read them until the deadline, or give the
 * caller no true answer. Each worker is a stand-in that sends on real sockets until its connection is closed.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { EndlessSender, endlessHeads, maxAcceptedBytes } from '../clients/testing/EndlessSender.js'
import type { FakeWorker, ReceivedRequest } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil } from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined
let senders: EndlessSender[] = []

afterEach(async () => {
  await platform?.stop()
  platform = undefined
  senders = []
})

/** Header fields of a request whose prompt is long enough to be computed by a separate worker. */
const prompt = { 'dogwooddale-model': 'm', 'dogwooddale-token-counts': '1500,20', 'dogwooddale-prompt-prefix': 'aa:1000,bb:500' }

async function startPlain (): Promise<PlatformTest> {
  platform = await startPlatform()
  return platform
}

/** Starts a host whose workers answer the first request with bytes without end, and each later one as usual. */
async function start (headOf: (worker: FakeWorker, request: ReceivedRequest) => string, piece: string): Promise<RawCaller> {
  platform = await startPlatform()
  for (const worker of [...platform.app, ...platform.models]) {
    worker.onRequest = request => {
      if (senders.length === 0) senders.push(new EndlessSender(request.socket, headOf(worker, request), piece))
      else request.socket.write(worker.responseTo(request, 'fine'))
    }
  }
  return await RawCaller.connect(platform.host.addresses.callers)
}

/** Waits until the host has learned that the first model worker only computes prompts. */
async function separatePrefillWorker ({ host, store, models }: PlatformTest): Promise<FakeWorker> {
  const [prefill, decode] = models as [FakeWorker, FakeWorker]
  store.write('keyed.servers', prefill.id, prefill.createEntry('llm', { stage: 'prefill', sequence: 2 }))
  store.write('keyed.servers', decode.id, decode.createEntry('llm', { stage: 'decode', sequence: 2 }))
  await waitUntil(() => host.workers().some(({ role }) => role === 'prefill') && host.workers().some(({ role }) => role === 'decode'))
  return prefill
}

async function expectClosedByHost (): Promise<void> {
  await waitUntil(() => senders.length > 0)
  await senders[0]!.closed
  expect(senders[0]!.sentBytes).toBeLessThan(maxAcceptedBytes)
}

const chunkedHead = (worker: FakeWorker, request: ReceivedRequest, overrides: Parameters<FakeWorker['responseTo']>[2] = {}): string =>
  worker.responseTo(request, '', { ...overrides, headers: { 'content-length': undefined, 'transfer-encoding': 'chunked', ...overrides.headers } })

const openHead = (worker: FakeWorker, request: ReceivedRequest, overrides: Parameters<FakeWorker['responseTo']>[2] = {}): string =>
  worker.responseTo(request, '', { ...overrides, headers: { 'content-length': undefined, ...overrides.headers } })

const endlessFraming: Array<[string, (worker: FakeWorker, request: ReceivedRequest) => string, string]> = [
  ...endlessHeads.map(([name, head, piece]) => [name, () => head, piece] as [string, () => string, string]),
  ['a chunk extension without an end', (worker, request) => chunkedHead(worker, request) + '1;', 'x'],
  ['trailers without an end', (worker, request) => chunkedHead(worker, request) + '1\r\na\r\n0\r\n', 'x-a: b\r\n']
]

describe('a worker that sends', () => {
  test.each(endlessFraming)('%s is disconnected, and a safe request is answered by another worker', async (_name, headOf, piece) => {
    const caller = await start(headOf, piece)
    caller.send('GET', '/reads/1', requestHeaders('r1'))
    expect(await caller.readResponse()).toMatchObject({ status: 200, body: 'fine' })
    await expectClosedByHost()
  })

  test.each([
    ...endlessFraming,
    ['a body without an end', openHead, 'x']
  ] as typeof endlessFraming)('%s is disconnected, and a request that may run once is answered 502', async (_name, headOf, piece) => {
    const caller = await start(headOf, piece)
    caller.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    expect((await caller.readResponse()).status).toBe(502)
    await expectClosedByHost()
  })

  // Guards against a host that reads such a body faster than its caller, or longer than the caller's deadline allows.
  test.each([
    ['body of a safe response', '/reads/1', 'x', {}],
    ['row of comments in a stream', '/tags/1', ': wait\n', { 'content-type': 'text/event-stream' }],
    ['row of comments in a resumable stream', '/answers/1', ': wait\n', { 'content-type': 'text/event-stream' }]
  ])('an endless %s is read as its caller reads, and disconnected at the deadline', async (_name, path, piece, headers) => {
    const caller = await start((worker, request) => openHead(worker, request, { headers }), piece)
    caller.socket.pause()
    caller.send(path === '/reads/1' ? 'GET' : 'POST', path, requestHeaders('r1', { 'dogwooddale-deadline-ms': '500' }))
    await expectClosedByHost()
    caller.socket.resume()
    await waitUntil(() => caller.closed)
    expect(caller.received).toContain('HTTP/1.1 200')
    expect(caller.received.endsWith('0\r\n\r\n')).toBe(false)
  })

  test('a refusal whose body has no end is disconnected, and the request is answered by another worker', async () => {
    const caller = await start((worker, request) => openHead(worker, request, { status: 503, headers: { 'dogwooddale-not-run': '1' } }), 'x')
    caller.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    expect(await caller.readResponse()).toMatchObject({ status: 200, body: 'fine' })
    await expectClosedByHost()
  })

  // The worker sends nothing more, so only a time limit ends the refusal, after the request itself has ended.
  test('a refusal whose body stops without its end is disconnected', async () => {
    const refusal = { status: 503, headers: { 'content-length': '9', 'dogwooddale-not-run': '1' } }
    const { app, host } = await startPlain()
    let isClosed = false
    let hasRefused = false
    for (const worker of app) {
      worker.onRequest = request => {
        if (hasRefused) return request.socket.write(worker.responseTo(request, 'fine'))
        hasRefused = true
        request.socket.once('close', () => { isClosed = true })
        return request.socket.write(worker.responseTo(request, 'x', refusal))
      }
    }
    const caller = await RawCaller.connect(host.addresses.callers)
    caller.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    expect(await caller.readResponse()).toMatchObject({ status: 200, body: 'fine' })
    await waitUntil(() => isClosed)
  })

  test('a computed prompt without an end is disconnected, and a decode worker computes the prompt itself', async () => {
    const { host, models } = await startPlain()
    const prefill = await separatePrefillWorker(platform!)
    prefill.onRequest = request => { senders.push(new EndlessSender(request.socket, openHead(prefill, request), ' ')) }
    const caller = await RawCaller.connect(host.addresses.callers)
    caller.send('POST', '/tags/1', requestHeaders('r1', prompt), 'post')
    expect(await caller.readResponse()).toMatchObject({ status: 200, body: models[1]!.id })
    await expectClosedByHost()
  })

  // Guards against a connection and a call that are kept for as long as the host runs.
  test('nothing in answer to the release of a prompt is disconnected', async () => {
    const { host, models } = await startPlain()
    const prefill = await separatePrefillWorker(platform!)
    let isClosed = false
    prefill.onRequest = request => {
      if (request.method === 'DELETE') request.socket.once('close', () => { isClosed = true })
      else request.socket.write(prefill.responseTo(request, '{"kv-handle":"h1","tokens":1500,"version":1}'))
    }
    models[1]!.onRequest = request => {
      request.socket.write(models[1]!.responseTo(request, '', { status: 503, headers: { 'dogwooddale-not-run': '1' } }))
    }
    const caller = await RawCaller.connect(host.addresses.callers)
    caller.send('POST', '/tags/1', requestHeaders('r1', prompt), 'post')
    expect((await caller.readResponse()).status).toBe(503)
    await waitUntil(() => isClosed)
  })

  test.each([
    ['a line', 'x'],
    ['an event', 'data: x\n']
  ])('a resumable stream with %s that does not end is disconnected, and another worker continues the stream', async (_name, piece) => {
    const caller = await start((worker, request) => openHead(worker, request, { headers: { 'content-type': 'text/event-stream' } }) + 'id: 1\ndata: a\n\n', piece)
    const { models } = platform!
    caller.send('POST', '/answers/1', requestHeaders('r1'), 'why')
    await expectClosedByHost()
    await waitUntil(() => models.some(({ requests }) => requests.some(({ headers }) => headers['last-event-id'] === '1')))
  })

  test.each([
    ['a line', 'x'],
    ['an event', 'data: x\n']
  ])('a stream with %s that does not end is disconnected, and so is the caller', async (_name, piece) => {
    const caller = await start((worker, request) => openHead(worker, request, { headers: { 'content-type': 'text/event-stream' } }) + 'id: 1\ndata: a\n\n', piece)
    caller.send('POST', '/tags/1', requestHeaders('r1'), 'post')
    await expectClosedByHost()
    await waitUntil(() => caller.closed)
    expect(caller.received.endsWith('0\r\n\r\n')).toBe(false)
  })
})
