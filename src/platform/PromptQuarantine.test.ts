/**
 * Guards against a part of prompts that crashes one worker after the other because its requests come at several hosts,
 * and against harmless requests that are refused with it. Two hosts share a store; the workers speak over real sockets.
 */
import { afterEach, expect, test } from '@jest/globals'
import type { Socket } from 'node:net'
import { SystemClock } from '../common/index.js'
import type { PlatformHost } from './PlatformHost.js'
import type { FakeWorker, ReceivedRequest } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startHost, startPlatform, waitUntil } from './testing/platformTestSupport.js'

/** The system clock with clocks that the test moves, since losses within seconds may be one. */
class ShiftedClock extends SystemClock {
  shiftMilliseconds = 0
  monotonicShiftMilliseconds = 0

  override monotonic (): number {
    return super.monotonic() + this.monotonicShiftMilliseconds
  }

  override wall (): number {
    return super.wall() + this.shiftMilliseconds
  }
}

const chunked = { 'transfer-encoding': 'chunked' }

const clock = new ShiftedClock()
let platform: PlatformTest | undefined
let secondHost: PlatformHost | undefined

afterEach(async () => {
  await secondHost?.close()
  await platform?.stop()
  secondHost = undefined
  platform = undefined
})

/** Sends a request, for a stream by default, whose prompt has these parts. */
async function send (host: PlatformHost, id: string, parts: string, path = '/tags/1'): Promise<RawCaller> {
  const caller = await RawCaller.connect(host.addresses.callers)
  caller.send('POST', path, requestHeaders(id, {
    'dogwooddale-model': 'm', 'dogwooddale-token-counts': '30,5', 'dogwooddale-prompt-prefix': parts
  }), 'tag')
  return caller
}

/** Sends such a request; resolves to its status, or 0 if the answer broke off. */
async function ask (
  host: PlatformHost,
  id: string,
  parts: string,
  path?: string
): Promise<{ status: number, retryAfter: number }> {
  const caller = await send(host, id, parts, path)
  try {
    const { status, headers } = await caller.readResponse()
    return { status, retryAfter: Number(headers['retry-after']) }
  } catch {
    return { status: 0, retryAfter: 0 }
  } finally {
    caller.socket.destroy()
  }
}

// Each host sees only some of the requests that crash workers, so that without the others' evidence it sends more.
test.each<[string, Record<string, string>, (socket: Socket) => void]>([
  ['reset', chunked, socket => { socket.resetAndDestroy() }],
  ['closed inside a chunk', chunked, socket => { socket.end('5\r\nid') }],
  ['closed inside an event of an answer without length or chunks', {}, socket => { socket.end('id: 2\nda') }],
  ['closed behind an event of an answer without length or chunks', {}, socket => { socket.end() }]
])('a part under which a worker was lost at each of two hosts, its connections %s, is refused by both, and its first part alone is answered', async (_name, framing, crash) => {
  platform = await startPlatform({ clock, modelWorkers: 4 })
  const { host, store, models } = platform
  secondHost = await startHost(store, { name: 'host-2', clock })
  for (const worker of models) {
    worker.onRequest = request => {
      const isDeadly = request.headers['dogwooddale-prompt-prefix']!.includes('dead')
      const headers: Record<string, string | undefined> = { 'content-length': undefined, 'content-type': 'text/event-stream', ...(isDeadly ? framing : chunked) }
      const head = worker.responseTo(request, '', { headers })
      const event = 'id: 1\ndata\n\n'
      request.socket.write(head + (headers['transfer-encoding'] === undefined ? event : `c\r\n${event}\r\n`), () => {
        if (isDeadly) {
          worker.crash(request.socket)
          crash(request.socket)
        } else request.socket.write('0\r\n\r\n')
      })
    }
  }
  for (const [index, receiver] of [host, secondHost].entries()) {
    expect(await ask(receiver, `deadly-${index}`, `aaaa:10,dead:10,c${index}:10`)).toMatchObject({ status: 0 })
    clock.shiftMilliseconds += 5000
  }
  await waitUntil(() => host.quarantinedParts > 0 && secondHost!.quarantinedParts > 0)
  for (const [index, receiver] of [host, secondHost].entries()) {
    const before = models.reduce((sum, { requests }) => sum + requests.length, 0)
    const refused = await ask(receiver, `refused-${index}`, `aaaa:10,dead:10,d${index}:10`)
    expect(refused.status).toBe(503)
    expect(refused.retryAfter).toBeGreaterThan(10)
    expect(models.reduce((sum, { requests }) => sum + requests.length, 0)).toBe(before)
    expect(await ask(receiver, `harmless-${index}`, `aaaa:10,e${index}:10`)).toMatchObject({ status: 200 })
  }
})

/** Head of an event stream that ends with its connection. */
function headWithoutLength (worker: FakeWorker, request: ReceivedRequest): string {
  return worker.responseTo(request, '', { headers: { 'content-length': undefined, 'content-type': 'text/event-stream' } })
}

// Guards against a part that goes on crashing workers since their answers have neither a length nor chunks.
test('a part is refused after two streams without length or chunks that ended inside an event', async () => {
  platform = await startPlatform({ clock, modelWorkers: 4 })
  const { host, models } = platform
  for (const worker of models) {
    worker.onRequest = request => {
      worker.crash(request.socket)
      request.socket.end(`${headWithoutLength(worker, request)}id: 1\nda`)
    }
  }
  for (const name of ['a', 'b']) {
    expect(await ask(host, name, `dead:10,${name}:10`)).toMatchObject({ status: 0 })
    clock.shiftMilliseconds += 5000
  }
  await waitUntil(() => host.quarantinedParts > 0)
  expect(await ask(host, 'c', 'dead:10,c:10')).toMatchObject({ status: 503 })
})

/** Number in a status line with which a host refuses requests for a moment after the test has moved its monotonic clock. */
const lateLoopStatus = 429

/** Sends a request until the host does not take its event loop for late; resolves when the answer has begun. */
async function sendUntilBegun (host: PlatformHost, id: string, parts: string): Promise<RawCaller> {
  for (;;) {
    const caller = await send(host, id, parts)
    await waitUntil(() => caller.received.includes('\r\n\r\n'))
    if (!caller.received.includes(` ${lateLoopStatus} `)) return caller
    caller.socket.destroy()
  }
}

// Guards against a part that goes on crashing workers since these are slow.
test('a part is refused after two streams whose workers crashed later than usual, before they sent a second event', async () => {
  platform = await startPlatform({ clock, modelWorkers: 4 })
  const { host, models } = platform
  for (const worker of models) {
    worker.onRequest = request => { request.socket.write(`${headWithoutLength(worker, request)}id: 1\ndata: a\n\n`) }
  }
  for (const name of ['a', 'b']) {
    const caller = await sendUntilBegun(host, name, `dead:10,${name}:10`)
    await waitUntil(() => caller.received.includes('data: a'))
    clock.monotonicShiftMilliseconds += 2000
    for (const worker of models) {
      const socket = worker.requests.find(({ headers }) => headers['dogwooddale-request-id'] === name)?.socket
      if (socket === undefined) continue
      worker.crash(socket)
      socket.resetAndDestroy()
    }
    await waitUntil(() => caller.closed)
    clock.shiftMilliseconds += 5000
  }
  await waitUntil(() => host.quarantinedParts > 0)
  const refused = await sendUntilBegun(host, 'c', 'dead:10,c:10')
  expect(await refused.readResponse()).toMatchObject({ status: 503 })
})

// Guards against harmless prompts that are refused since their answers have neither a length nor chunks, and against a
// part that is taken for harmless since its worker crashed between two events.
test.each([
  // The second part of the lost prompts is never answered, so that it shows when the losses are known.
  ['that goes on after its start shows that the parts of its prompt are harmless', 600, 'shared:10,unanswered:10', 200],
  ['that ends soon after its start shows nothing', 0, 'shared:10', 503]
])('a stream without length or chunks %s', async (_name, milliseconds, lostParts, status) => {
  platform = await startPlatform({ clock, modelWorkers: 4 })
  const { host, models } = platform
  const answers: ReceivedRequest[] = []
  for (const worker of models) {
    worker.onRequest = request => {
      if (request.headers['dogwooddale-request-id']!.startsWith('lost')) {
        worker.crash(request.socket)
        request.socket.resetAndDestroy()
        return
      }
      request.socket.write(`${headWithoutLength(worker, request)}id: 1\ndata: a\n\n`)
      answers.push(request)
    }
  }
  await ask(host, 'lost-1', `${lostParts},x1:10`)
  clock.shiftMilliseconds += 5000
  const answered = await send(host, 'answered', 'shared:10,x2:10')
  await waitUntil(() => answered.received.includes('data: a'))
  clock.monotonicShiftMilliseconds += milliseconds
  answers[0]!.socket.end('id: 2\ndata: b\n\n')
  expect(await answered.readResponse()).toMatchObject({ status: 200 })
  await ask(host, 'lost-2', `${lostParts},x3:10`)
  await waitUntil(() => host.quarantinedParts > 0)
  const last = await send(host, 'last', 'shared:10,x4:10')
  await waitUntil(() => last.received.includes('\r\n\r\n'))
  expect(last.received).toContain(` ${status} `)
  last.socket.destroy()
  answered.socket.destroy()
})

// Guards against a part that goes on crashing workers since its answers are not streamed.
test('a part is refused after two answers that are not streamed and broke off', async () => {
  platform = await startPlatform({ clock, appWorkers: 4 })
  const { host, app } = platform
  for (const worker of app) {
    worker.onRequest = request => {
      worker.crash(request.socket)
      request.socket.write(worker.responseTo(request, 'short', { headers: { 'content-length': '50' } }), () => request.socket.destroy())
    }
  }
  for (const name of ['a', 'b']) {
    expect(await ask(host, name, `dead:10,${name}:10`, '/votes/1')).toMatchObject({ status: 502 })
    clock.shiftMilliseconds += 5000
  }
  await waitUntil(() => host.quarantinedParts > 0)
  expect(await ask(host, 'c', 'dead:10,c:10', '/votes/1')).toMatchObject({ status: 503 })
})

// Guards against harmless prompts that are refused since their answers are not streamed.
test('a complete answer that is not streamed shows that the parts of its prompt are harmless', async () => {
  platform = await startPlatform({ clock, appWorkers: 4 })
  const { host, app } = platform
  for (const worker of app) {
    worker.onRequest = request => {
      if (!request.headers['dogwooddale-request-id']!.startsWith('lost')) {
        request.socket.write(worker.responseTo(request, 'fine'))
        return
      }
      worker.crash(request.socket)
      request.socket.resetAndDestroy()
    }
  }
  // The second part of the lost prompts is never answered, so that it shows when the losses are known.
  for (const [name, parts] of [['lost-1', 'shared:10,unanswered:10'], ['answered', 'shared:10'], ['lost-2', 'shared:10,unanswered:10']]) {
    await ask(host, name!, `${parts},${name}:10`, '/votes/1')
    clock.shiftMilliseconds += 5000
  }
  await waitUntil(() => host.quarantinedParts > 0)
  expect(await ask(host, 'last', 'shared:10,last:10', '/votes/1')).toMatchObject({ status: 200 })
})
