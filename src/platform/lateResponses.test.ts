/**
 * Guards against responses that a faulty worker writes a second time, late: where the response to another call on the
 * same connection is due. The workers speak over real sockets.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import type { FakeWorker, ReceivedRequest, ResponseOverrides } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil } from './testing/platformTestSupport.js'
import { WorkerProtocol } from './WorkerProtocol.js'

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

const prompt = { 'dogwooddale-model': 'm', 'dogwooddale-token-counts': '30,5', 'dogwooddale-prompt-prefix': 'aa:20,bb:10' }
const notRun = { 'dogwooddale-not-run': '1' }
const stream = { 'content-type': 'text/event-stream' }
const event = 'id: 1\ndata: piece\n\n'

/** Changes the entries of the model workers, and waits until the host has read them. */
async function assign (sequence: number, roles: Array<'prefill' | 'decode' | 'draining'>): Promise<void> {
  const { host, store, models } = platform!
  for (const [index, worker] of models.entries()) {
    const role = roles[index]!
    const entry = role === 'draining' ? { state: 'draining', stage: 'decode' } : { stage: role }
    store.write('keyed.servers', worker.id, worker.createEntry('llm', { sequence, ...entry }))
  }
  await waitUntil(() => models.every(({ id }, index) => host.workers().some(worker =>
    worker.id === id && (roles[index] === 'draining' ? !worker.available : worker.role === roles[index]))))
}

function isPromptCall ({ headers }: ReceivedRequest): boolean {
  return headers['dogwooddale-stage'] === 'prefill'
}

// Guards against calls of one request that are told apart by nothing: all their responses bear the id of the request.
describe('a late copy of the response to an earlier call of the same request', () => {
  test.each<[string, string, ResponseOverrides]>([
    ['with the handle of the prompt', '{"kv-handle":"h1","tokens":30}', { headers: { 'content-type': 'application/json' } }],
    ['that declined the prompt', '', { status: 503, headers: notRun }],
    ['that misdirected the prompt', '', { status: 421, headers: notRun }]
  ])('%s is not taken for the answer of a worker whose role has changed', async (_name, body, overrides) => {
    await start({ modelWorkers: 2 })
    await assign(2, ['prefill', 'decode'])
    const [worker, other] = platform!.models as [FakeWorker, FakeWorker]
    let copy = (): void => {}
    let runs = 0
    worker.onRequest = request => {
      if (isPromptCall(request)) copy = () => { request.socket.write(worker.responseTo(request, body, overrides)) }
      copy()
      if (isPromptCall(request)) return
      runs += 1
      request.socket.write(worker.responseTo(request, event, { headers: stream }))
    }
    other.onRequest = async request => {
      await assign(3, ['decode', 'draining'])
      request.socket.write(other.responseTo(request, '', { status: 503, headers: notRun }))
    }
    const caller = await connectCaller()
    caller.send('POST', '/tags/1', requestHeaders('r1', prompt), 'text')
    expect(await caller.readResponse()).toMatchObject({ status: 200, body: event.trimEnd() })
    expect(runs).toBe(1)
  })

  test('that computed the prompt is not taken for the response to the second computation', async () => {
    await start({ modelWorkers: 3 })
    await assign(2, ['prefill', 'decode', 'decode'])
    const [prefill, ...decoding] = platform!.models as [FakeWorker, FakeWorker, FakeWorker]
    const copies: Array<() => void> = []
    prefill.onRequest = request => {
      const body = `{"kv-handle":"h${copies.length + 1}","tokens":30}`
      copies.push(() => { request.socket.write(prefill.responseTo(request, body)) })
      for (const copy of copies) copy()
    }
    const sources: Array<string | undefined> = []
    for (const worker of decoding) {
      worker.onRequest = request => {
        sources.push(request.headers['dogwooddale-kv-from'])
        if (sources.length === 1) request.socket.destroy()
        else request.socket.write(worker.responseTo(request, event, { headers: stream }))
      }
    }
    const caller = await connectCaller()
    caller.send('POST', '/answers/1', requestHeaders('r1', prompt), 'text')
    expect((await caller.readResponse()).status).toBe(200)
    expect(sources).toEqual([`${prefill.address}/h1`, `${prefill.address}/h2`])
  })

  // The computed prompt is the short body of a response, which is read whole.
  test.each([
    ['behind a body that ends with its connection', undefined, (earlier: string, own: string) => own + earlier],
    ['in front of a body that ends with its connection', undefined, (earlier: string, own: string) => earlier + own],
    ['inside a body with a length', '30', (earlier: string, own: string) => own.slice(0, 20) + earlier + own.slice(20)]
  ])('that computed the prompt yields no handle %s', async (_name, length, join) => {
    const { models } = await start({ modelWorkers: 2 })
    await assign(2, ['prefill', 'decode'])
    const [prefill, decode] = models as [FakeWorker, FakeWorker]
    prefill.onRequest = request => {
      const head = prefill.responseTo(request, '', { headers: { 'content-length': length } })
      request.socket.end(head + join(prefill.responseTo(request, '{"kv-handle":"h1","tokens":30}'), '{"kv-handle":"h2","tokens":30}'))
    }
    decode.onRequest = request => { request.socket.write(decode.responseTo(request, event, { headers: stream })) }
    const caller = await connectCaller()
    caller.send('POST', '/tags/1', requestHeaders('r1', prompt), 'text')
    expect((await caller.readResponse()).status).toBe(200)
    expect(prefill.requests).toHaveLength(1)
    expect(decode.requests.map(({ headers }) => headers['dogwooddale-kv-from'])).toEqual([undefined])
  })

  test('that refused it is not taken for the response when a caller sends the request again under its id', async () => {
    const { app } = await start({ appWorkers: 1 })
    const [worker] = app as [FakeWorker]
    let refuse: (() => void) | undefined
    worker.onRequest = request => {
      const isFirst = refuse === undefined
      refuse ??= () => { request.socket.write(worker.responseTo(request, '', { status: 503, headers: notRun })) }
      refuse()
      if (!isFirst) request.socket.write(worker.responseTo(request, 'fine'))
    }
    const caller = await connectCaller()
    for (const expected of [503, 200]) {
      caller.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
      expect((await caller.readResponse()).status).toBe(expected)
    }
    expect(worker.requests).toHaveLength(2)
    // The connection of a further call is not kept.
    await waitUntil(() => worker.requests[1]!.socket.destroyed)
  })
})

// Guards against a connection that is opened for each call although its worker would keep it.
test('requests with ids of their own share a kept connection', async () => {
  const { app } = await start({ appWorkers: 1 })
  const caller = await connectCaller()
  for (const id of ['r1', 'r2', 'r3']) {
    caller.send('POST', '/votes/1', requestHeaders(id), 'yes')
    expect((await caller.readResponse()).status).toBe(200)
  }
  expect(app[0]!.connections).toBe(1)
})

// Guards against requests that are lost one after the other, each on another kept connection of the same worker.
describe('a worker that has answered out of turn', () => {
  /** Makes the worker repeat, before each response, the one that it sent on the same connection before. */
  function repeatEarlierResponses (worker: FakeWorker, bodyOf: (request: ReceivedRequest) => string = () => 'yes'): void {
    const earlier = new WeakMap<object, string>()
    worker.onRequest = request => {
      const response = worker.responseTo(request, bodyOf(request))
      request.socket.write((earlier.get(request.socket) ?? '') + response)
      earlier.set(request.socket, response)
    }
  }

  async function send (id: string, path: string, headers: Record<string, string> = {}): Promise<number> {
    const caller = await connectCaller()
    caller.send('POST', path, requestHeaders(id, headers), 'text')
    return (await caller.readResponse()).status
  }

  /** Has two requests answered at once, so that the host keeps two connections to the worker. */
  async function keepTwoConnections (worker: FakeWorker): Promise<void> {
    const respond = worker.onRequest
    const held: ReceivedRequest[] = []
    worker.onRequest = request => {
      held.push(request)
      if (held.length === 2) for (const each of held) respond(each)
    }
    await Promise.all(['kept-1', 'kept-2'].map(async id => await send(id, '/votes/1')))
    worker.onRequest = respond
    expect(worker.connections).toBe(2)
  }

  test('is sent the next requests on connections of their own', async () => {
    const { app } = await start({ appWorkers: 1 })
    const [worker] = app as [FakeWorker]
    repeatEarlierResponses(worker)
    await keepTwoConnections(worker)
    const statuses: number[] = []
    for (const id of ['r1', 'r2', 'r3', 'r4']) statuses.push(await send(id, '/votes/1'))
    expect(statuses).toEqual([502, 200, 200, 200])
  })

  test('computes the next prompts on connections of their own', async () => {
    const { models } = await start({ modelWorkers: 2 })
    await assign(2, ['prefill', 'decode'])
    const [prefill, decode] = models as [FakeWorker, FakeWorker]
    repeatEarlierResponses(prefill, ({ headers }) => `{"kv-handle":"of-${headers['dogwooddale-request-id']}","tokens":30}`)
    decode.onRequest = request => { request.socket.write(decode.responseTo(request, event, { headers: stream })) }
    for (const id of ['r1', 'r2', 'r3', 'r4']) expect(await send(id, '/tags/1', prompt)).toBe(200)
    const sources = decode.requests.map(({ headers }) => headers['dogwooddale-kv-from']?.replace(`${prefill.address}/`, ''))
    expect(sources).toEqual(['of-r1', undefined, 'of-r3', 'of-r4'])
  })

  test.each([
    ['a second response', (worker: FakeWorker, request: ReceivedRequest) => worker.responseTo(request, 'yes')],
    ['bytes that are no response', () => 'yes']
  ])('on an idle connection with %s is sent the next requests on connections of their own', async (_name, surplus) => {
    const { app } = await start({ appWorkers: 1 })
    const [worker] = app as [FakeWorker]
    repeatEarlierResponses(worker)
    await keepTwoConnections(worker)
    const [idle] = worker.requests as [ReceivedRequest]
    idle.socket.write(surplus(worker, idle))
    await waitUntil(() => idle.socket.destroyed)
    expect(await Promise.all(['r1', 'r2'].map(async id => await send(id, '/votes/1')))).toEqual([200, 200])
  })

  test('completes the requests that it is working on', async () => {
    const { app } = await start({ appWorkers: 1 })
    const [worker] = app as [FakeWorker]
    repeatEarlierResponses(worker)
    expect(await send('r1', '/votes/1')).toBe(200)
    const respond = worker.onRequest
    let complete = (): void => {}
    worker.onRequest = request => { complete = () => { request.socket.write(worker.responseTo(request, 'yes')) } }
    const pending = send('r2', '/reads/1')
    await worker.waitForRequests(2)
    worker.onRequest = respond
    expect(await send('r3', '/votes/1')).toBe(200)
    expect(await send('r4', '/votes/1')).toBe(502)
    complete()
    expect(await pending).toBe(200)
  })
})

// Guards against a log in which a late copy cannot be told from garbage.
test.each<[string, string | undefined, string]>([
  ['that bears an id', 'r-earlier', 'the response with status 200 with the id r-earlier does not belong to the call'],
  ['without an id', undefined, 'the response with status 200 without an id does not belong to the call'],
  ['with a long id', 'x'.repeat(1000), `the response with status 200 with the id ${'x'.repeat(64)} does not belong to the call`]
])('the reason for a response %s names it', (_name, id, reason) => {
  expect(new WorkerProtocol().foreignReason({ status: 200, headers: { 'dogwooddale-request-id': id } })).toBe(reason)
})
