/**
 * Guards against responses that a faulty worker writes a second time, late: where the response to another call on the
 * same connection is due. The workers speak over real sockets.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import type { FakeWorker, ReceivedRequest, ResponseOverrides } from './testing/FakeWorker.js'
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
