/**
 * Guards against a scheduler that keeps the parts of a restarted worker, against a worker's unusable events ending the
 * feed of all others, and against responses to reads that are taken for those to requests, or to later reads.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { EndlessSender, maxAcceptedBytes } from '../clients/testing/EndlessSender.js'
import { SystemClock, type WorkerId } from '../common/index.js'
import { HeldParts } from '../placement/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { Upstream, type UpstreamDescription } from '../upstreams/index.js'
import { CacheFeed } from './CacheFeed.js'
import { FakeWorker, type ReceivedRequest } from './testing/FakeWorker.js'
import { waitUntil } from './testing/platformTestSupport.js'

const clock = new SystemClock()

let workers: FakeWorker[]
let upstreams: Upstream[]
let held: HeldParts
let feed: CacheFeed
let lines: string[]

beforeEach(async () => {
  workers = await Promise.all(['w0', 'w1'].map(async id => await FakeWorker.start(id)))
  upstreams = workers.map(({ id, address }) => new Upstream({
    pool: 'llm', kind: 'engines', worker: { id, address, zone: 'a', reportsLoad: false, draining: false }, models: [], role: 'decode', isInOwnZone: true
  } as unknown as UpstreamDescription, { clock }))
  held = new HeldParts()
  lines = []
  const events = new EventLog({
    timeline: new Timeline('host-1', new HybridClock(clock)), level: 'warn', write: line => { lines.push(line) }
  })
  feed = new CacheFeed({ workers: () => upstreams, held, clock, events })
})

afterEach(async () => {
  await feed.stop()
  await Promise.all(upstreams.map(async upstream => await upstream.close()))
  await Promise.all(workers.map(async worker => await worker.stop()))
})

/** Lets a worker answer its reads in order, the last answer again and again. */
function answerReads (worker: FakeWorker, ...bodies: unknown[]): void {
  worker.onRequest = request => {
    const body = bodies.length > 1 ? bodies.shift() : bodies[0]
    request.socket.write(worker.responseTo(request, typeof body === 'string' ? body : JSON.stringify(body)))
  }
}

function page (epoch: string, next: number, ...events: Array<[string, number]>): unknown {
  const first = next - events.length
  return { epoch, 'next-token': next, lost: false, events: events.map(([part, tokens], index) => [first + index, tokens > 0 ? '+' : '-', '', part, tokens, 'm']) }
}

function tokensOf (worker: string): number {
  return held.leadingTokens(worker as WorkerId, ['m/a'], [100])
}

test('parts that a worker stores and evicts are recorded, and reads continue after the last event', async () => {
  answerReads(workers[0]!, page('1', 5, ['a', 100]), page('1', 6), page('1', 7, ['a', 0]), page('1', 8))
  answerReads(workers[1]!, page('1', 0))
  feed.start()
  await waitUntil(() => tokensOf('w0') === 100)
  await waitUntil(() => tokensOf('w0') === 0)
  expect(workers[0]!.requests.slice(0, 3).map(({ path }) => path)).toEqual([0, 5, 6].map(since => `/v1/kv-events?since=${since}`))
})

test.each([
  ['restarted', page('2', 1)],
  ['lost events', { ...page('1', 9) as object, lost: true }]
])('the parts of a worker that %s are forgotten', async (_name, later) => {
  answerReads(workers[0]!, page('1', 5, ['a', 100]), later)
  answerReads(workers[1]!, page('1', 0))
  feed.start()
  await waitUntil(() => tokensOf('w0') === 100)
  await waitUntil(() => tokensOf('w0') === 0)
})

test.each([
  ['text that is no JSON', 'garbage'],
  ['a document of another shape', { events: 'none' }],
  ['an event of another shape', { ...page('1', 1) as object, events: [['+']] }]
])('a worker that answers with %s does not keep the others from being followed', async (_name, body) => {
  answerReads(workers[0]!, body)
  answerReads(workers[1]!, page('1', 1), page('1', 2, ['a', 100]))
  feed.start()
  await waitUntil(() => tokensOf('w1') === 100 && workers[0]!.requests.length > 1)
})

// Guards against a host that buffers what such a worker sends, and against a log that says nothing of it.
test('a worker whose events have no end is disconnected and logged, and does not keep the others from being followed', async () => {
  const senders: EndlessSender[] = []
  workers[0]!.onRequest = request => {
    const head = workers[0]!.responseTo(request, '', { headers: { 'content-length': undefined } })
    senders.push(new EndlessSender(request.socket, head, ' '))
  }
  answerReads(workers[1]!, page('1', 1), page('1', 2, ['a', 100]))
  feed.start()
  await waitUntil(() => tokensOf('w1') === 100 && senders[0]?.isClosed === true)
  expect(senders[0]!.sentBytes).toBeLessThan(maxAcceptedBytes)
  await waitUntil(() => lines.some(line => line.includes('event=cache_events_unread worker=w0')))
})

/** The number after which a read asks for events; undefined for other requests. */
function sinceOf ({ path }: ReceivedRequest): number | undefined {
  const since = /^\/v1\/kv-events\?since=(\d+)$/.exec(path)?.[1]
  return since === undefined ? undefined : Number(since)
}

/** The position of the first request on the connection of each request. */
function connectionsOf ({ requests }: FakeWorker): number[] {
  return requests.map(({ socket }) => requests.findIndex(request => request.socket === socket))
}

// Guards against a request that is lost because the response to a read arrives in its place.
test('a request after a read that received a late copy of an earlier response receives its own response', async () => {
  const worker = workers[0]!
  answerReads(workers[1]!, page('1', 0))
  const send = async (id: string): Promise<unknown> => {
    const response = await upstreams[0]!.request({ method: 'POST', path: '/votes/1', headers: { 'dogwooddale-request-id': id } })
    await response.body.dump()
    return response.headers['dogwooddale-request-id']
  }
  const copies = new Map<number | undefined, string>()
  worker.onRequest = request => {
    const { socket } = request
    if (sinceOf(request) === undefined) {
      const response = worker.responseTo(request, 'voted')
      // A worker serves one request at a time on a connection.
      setTimeout(() => { socket.write(response) }, copies.size === 0 ? 0 : 150)
      copies.set(socket.remotePort, response)
      return
    }
    socket.write(copies.get(socket.remotePort) ?? '')
    setTimeout(() => { socket.write(worker.responseTo(request, JSON.stringify(page('1', 5, ['a', 100])))) }, 100)
  }
  const pause = async (): Promise<void> => { await new Promise(resolve => setTimeout(resolve, 50)) }
  expect(await send('r1')).toBe('r1')
  await pause()
  feed.start()
  await waitUntil(() => worker.requests.some(request => sinceOf(request) !== undefined))
  await pause()
  expect(await send('r2')).toBe('r2')
  await waitUntil(() => tokensOf('w0') === 100)
})

// Guards against older events that are applied once more, and against reads that go back to an earlier position.
test.each<[string, unknown]>([
  ['with a lower position', page('1', 4, ['a', 0])],
  ['with events from before the read', { ...page('1', 6) as object, events: [[4, '-', '', 'a', 0, 'm']] }]
])('a response %s is dropped, and the read is repeated on another connection', async (_name, copy) => {
  const worker = workers[0]!
  answerReads(workers[1]!, page('1', 0))
  const bodies = [page('1', 5, ['a', 100]), copy, page('1', 6, ['b', 10])]
  let isForgotten = false
  worker.onRequest = request => {
    if (tokensOf('w0') === 0 && bodies.length < 3) isForgotten = true
    const body = bodies.length > 1 ? bodies.shift() : bodies[0]
    request.socket.write(worker.responseTo(request, JSON.stringify(body)))
  }
  feed.start()
  await waitUntil(() => worker.requests.length === 4)
  expect(worker.requests.map(sinceOf)).toEqual([0, 5, 5, 6])
  expect(isForgotten).toBe(false)
  expect(connectionsOf(worker)).toEqual([0, 0, 2, 2])
})

// Guards against a feed that rejects all that such a worker sends, or goes on from a position that it does not know.
test('a worker that counts from a lower number on again is believed on a new connection, and its parts are forgotten', async () => {
  answerReads(workers[0]!, page('1', 5, ['a', 100]), page('1', 2, ['b', 10]))
  answerReads(workers[1]!, page('1', 0))
  feed.start()
  await waitUntil(() => tokensOf('w0') === 100)
  await waitUntil(() => tokensOf('w0') === 0)
  await workers[0]!.waitForRequests(5)
  expect(workers[0]!.requests.slice(0, 4).map(sinceOf)).toEqual([0, 5, 5, 2])
})

// Guards against a connection whose responses arrive one read late from then on.
test.each([
  ['no JSON', 'garbage'],
  ['of another shape', '{"kv-handle":"h"}']
])('a response that is %s ends its connection', async (_name, body) => {
  answerReads(workers[0]!, body, page('1', 5, ['a', 100]))
  answerReads(workers[1]!, page('1', 0))
  feed.start()
  await waitUntil(() => tokensOf('w0') === 100)
  expect(connectionsOf(workers[0]!).slice(0, 2)).toEqual([0, 1])
})

// Guards against a new connection every 300 ms to a worker that is asked by too many hosts.
test('a read that the worker refuses is logged and keeps its connection', async () => {
  const worker = workers[0]!
  worker.onRequest = request => { request.socket.write(worker.responseTo(request, 'too many', { status: 429 })) }
  answerReads(workers[1]!, page('1', 0))
  feed.start()
  await worker.waitForRequests(3)
  expect(connectionsOf(worker).slice(0, 3)).toEqual([0, 0, 0])
  expect(lines.filter(line => line.includes('event=cache_events_unread worker=w0'))).toHaveLength(1)
})

// Guards against reads at the address of a process that has ended, which another worker may have by then.
test('a worker that restarts at another address under the same id is read there', async () => {
  const [first, second] = workers as [FakeWorker, FakeWorker]
  answerReads(first, page('1', 5, ['a', 100]))
  answerReads(second, page('2', 3, ['a', 40]))
  const restarted = upstreams.pop()!
  restarted.description = { ...restarted.description, worker: { ...restarted.description.worker, id: 'w0' as WorkerId } }
  feed.start()
  await waitUntil(() => tokensOf('w0') === 100)
  upstreams.push(restarted)
  await upstreams.shift()!.close()
  await waitUntil(() => tokensOf('w0') === 40)
  const { length } = first.requests
  await second.waitForRequests(3)
  expect(first.requests).toHaveLength(length)
})
