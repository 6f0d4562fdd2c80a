/**
 * Guards against answers that look complete although their worker crashed: without a length or chunks, the close of the
 * connection by the operating system looks like the regular end. The workers speak over real sockets.
 */
import { afterEach, expect, test } from '@jest/globals'
import type { FakeWorker, ReceivedRequest } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil } from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined

afterEach(async () => {
  await platform?.stop()
  platform = undefined
})

const eventStream = { 'content-type': 'text/event-stream' }

/** Head of an answer that ends with its connection. */
function headOf (worker: FakeWorker, request: ReceivedRequest, headers: Record<string, string> = {}): string {
  return worker.responseTo(request, '', { headers: { 'content-length': undefined, ...headers } })
}

/** Sends a request; resolves to the response, or to `broken` if it broke off. */
async function ask (path: string, method = 'POST'): Promise<{ status: number, body: string } | 'broken'> {
  const caller = await RawCaller.connect(platform!.host.addresses.callers)
  caller.send(method, path, requestHeaders('caller-1'), method === 'GET' ? undefined : 'text')
  try {
    return await caller.readResponse()
  } catch {
    return 'broken'
  } finally {
    caller.socket.destroy()
  }
}

// Guards against a stream that looks complete to its caller although its worker crashed between two events.
test('a stream without length or chunks breaks off if its worker crashed behind an event', async () => {
  platform = await startPlatform()
  for (const worker of platform.models) {
    worker.onRequest = request => {
      worker.crash(request.socket)
      request.socket.end(`${headOf(worker, request, eventStream)}id: 1\ndata: a\n\n`)
    }
  }
  expect(await ask('/tags/1')).toBe('broken')
})

// Guards against a resumable stream that ends early although another worker could continue it.
test('a resumable stream without length or chunks continues at another worker if its worker crashed behind an event', async () => {
  platform = await startPlatform()
  const { models } = platform
  for (const worker of models) {
    worker.onRequest = request => {
      if (request.headers['last-event-id'] === '1') {
        request.socket.end(`${headOf(worker, request, eventStream)}id: 2\ndata: b\n\n`)
        return
      }
      worker.crash(request.socket)
      request.socket.end(`${headOf(worker, request, eventStream)}id: 1\ndata: a\n\n`)
    }
  }
  expect(await ask('/answers/1')).toMatchObject({ status: 200, body: expect.stringMatching(/data: a[^]*data: b/) })
  expect(models.map(({ requests }) => requests.length)).toEqual([1, 1])
})

// Guards against the beginning of an answer that is passed on as the whole one.
test.each<[string, string, number, string, number]>([
  ['GET', '/reads/1', 200, 'whole', 2],
  ['POST', '/votes/1', 502, '', 1]
])('%s %s, whose worker crashes within a body without length or chunks, ends with status %i', async (method, path, status, body, runs) => {
  platform = await startPlatform()
  const { app } = platform
  for (const worker of app) {
    worker.onRequest = request => {
      if (app.some(other => other !== worker && other.requests.length > 0)) {
        request.socket.end(`${headOf(worker, request)}whole`)
        return
      }
      worker.crash(request.socket)
      request.socket.end(`${headOf(worker, request)}who`)
    }
  }
  const response = await ask(path, method)
  expect(response).toMatchObject({ status })
  if (status === 200) expect(response).toMatchObject({ body })
  expect(app.reduce((sum, { requests }) => sum + requests.length, 0)).toBe(runs)
})

// Guards against a stream that looks complete since the next process of its worker accepts connections at its address.
test('a stream without length or chunks breaks off if its worker has restarted', async () => {
  platform = await startPlatform({ modelWorkers: 1 })
  const { host, store, models } = platform
  const worker = models[0]!
  worker.onRequest = request => {
    request.socket.write(`${headOf(worker, request, eventStream)}id: 1\ndata: a\n\n`)
    // The next process has another role, by which the test knows that the host has read of it.
    store.write('keyed.servers', worker.id, worker.createEntry('llm', { stage: 'decode', sequence: 1, born: 2 }))
    waitUntil(() => host.workers().some(({ role }) => role === 'decode')).then(() => { request.socket.end() }, () => {})
  }
  expect(await ask('/tags/1')).toBe('broken')
})

// Guards against whole answers that are broken off since their worker exits right after them.
test.each<[string, (worker: FakeWorker) => Record<string, string>, (worker: FakeWorker) => Promise<void>]>([
  ['has stated in the answer that it leaves', () => ({ 'server-leaving': '1' }), async () => {}],
  ['is draining', () => ({}), async worker => {
    platform!.store.write('keyed.servers', worker.id, worker.createEntry('llm', { stage: 'colocated', state: 'draining', sequence: 2 }))
    await waitUntil(() => platform!.host.workers().some(({ id, draining }) => id === worker.id && draining))
  }],
  ['is no longer listed', () => ({}), async worker => {
    platform!.store.write('keyed.servers', worker.id, undefined)
    await waitUntil(() => !platform!.host.workers().some(({ id }) => id === worker.id))
  }]
])('a stream without length or chunks is complete if its worker %s and exits', async (_name, notice, leave) => {
  platform = await startPlatform()
  for (const worker of platform.models) {
    worker.onRequest = request => {
      request.socket.write(`${headOf(worker, request, { ...eventStream, ...notice(worker) })}id: 1\ndata: a\n\n`)
      leave(worker).then(() => {
        worker.crash(request.socket)
        request.socket.end('id: 2\ndata: b\n\n')
      }, () => {})
    }
  }
  expect(await ask('/tags/1')).toMatchObject({ status: 200, body: expect.stringContaining('data: b') })
})

// Guards against answers that never end, or that are asked about although they have no body.
test.each<[string, string, string, Record<string, string | undefined>]>([
  ['HEAD', '/reads/1', 'HTTP/1.1 200 X', {}],
  ['GET', '/reads/1', 'HTTP/1.1 204 X', {}]
])('%s %s answered with %s needs no running worker', async (method, path, statusLine, headers) => {
  platform = await startPlatform()
  const { app } = platform
  for (const worker of app) {
    worker.onRequest = request => {
      worker.crash(request.socket)
      request.socket.end(headOf(worker, request, headers as Record<string, string>).replace(/^.*/, statusLine))
    }
  }
  const caller = await RawCaller.connect(platform.host.addresses.callers)
  caller.send(method, path, requestHeaders('caller-1'))
  await waitUntil(() => caller.received.includes('\r\n\r\n') || caller.closed)
  expect(caller.received).toContain(statusLine.slice(0, 12))
  caller.socket.destroy()
})
