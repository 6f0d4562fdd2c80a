/**
 * Guards against the bytes of an earlier response, which a faulty worker writes a second time into a later one, as a part
 * of a complete answer. The workers speak over real sockets.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import type { FakeWorker, ReceivedRequest } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform } from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined

afterEach(async () => {
  await platform?.stop()
  platform = undefined
})

type Framing = 'length' | 'chunks' | 'connection'
type Position = 'inside' | 'behind' | 'between chunks'
/** `whole`: the worker's own body; `failed`: an error, or a response that ends early; `mixed`: complete, with other bytes. */
type Outcome = 'whole' | 'failed' | 'mixed'

/** Parts of the worker's own body; the earlier response stands between them if it is `inside`. */
const texts: [string, string] = ['own-1 ', 'own-2']
const events: [string, string] = ['id: 1\ndata: own-1\n\n', 'id: 2\ndata: own-2\n\n']
const cutEvents: [string, string] = ['id: 1\ndata: own-1\n\nid: 2\ndata: ow', 'n-2\n\n']

const chunk = (text: string): string => `${text.length.toString(16)}\r\n${text}\r\n`

/** What the worker writes behind the head, and whether it then closes the connection. */
function bytesOf ([first, second]: [string, string], earlier: string, framing: Framing, position: Position): string {
  const own = framing === 'chunks' ? [chunk(first), chunk(second) + '0\r\n\r\n'] : [first, second]
  if (position === 'behind') return own.join('') + earlier
  if (position === 'between chunks') return own.join(earlier)
  return framing === 'chunks' ? `${first.length.toString(16)}\r\n${first.slice(0, 2)}${earlier}${first.slice(2)}\r\n${own[1]}` : own.join(earlier)
}

/** Has one request answered, and the next by a response into which the worker writes the first response once more. */
async function outcomeOf (path: string, parts: [string, string], framing: Framing, position: Position): Promise<Outcome> {
  platform = await startPlatform({ appWorkers: 1, modelWorkers: 1 })
  const isModel = path === '/tags/1' || path === '/answers/1'
  const [worker] = (isModel ? platform.models : platform.app) as [FakeWorker]
  const type = parts === texts ? {} : { 'content-type': 'text/event-stream' }
  const body = parts.join('')
  let earlier: string | undefined
  worker.onRequest = (request: ReceivedRequest) => {
    if (earlier === undefined) {
      earlier = worker.responseTo(request, parts === texts ? 'earlier' : 'data: earlier\n\n', { headers: type })
      return request.socket.write(earlier)
    }
    const lengths: Record<Framing, Record<string, string | undefined>> = {
      length: { 'content-length': String(body.length) },
      chunks: { 'content-length': undefined, 'transfer-encoding': 'chunked' },
      connection: { 'content-length': undefined }
    }
    const head = worker.responseTo(request, '', { headers: { ...type, ...lengths[framing] } })
    const bytes = head + bytesOf(parts, earlier, framing, position)
    return framing === 'connection' ? request.socket.end(bytes) : request.socket.write(bytes)
  }
  const caller = await RawCaller.connect(platform.host.addresses.callers)
  const ask = async (id: string): Promise<{ status: number, body: string } | undefined> => {
    caller.send(path === '/reads/1' ? 'GET' : 'POST', path, requestHeaders(id))
    return await caller.readResponse().catch(() => undefined)
  }
  expect((await ask('r0'))?.status).toBe(200)
  const response = await ask('r1')
  if (response?.status !== 200) return 'failed'
  return response.body.trimEnd() === body.trimEnd() ? 'whole' : 'mixed'
}

describe('a response in which an earlier one stands', () => {
  const paths = ['/reads/1', '/votes/1', '/tags/1', '/answers/1']
  const bodies: Array<[string, [string, string]]> = [['a text', texts], ['events', events], ['events, in one of them', cutEvents]]
  const cases: Array<[Framing, Position, Outcome]> = [
    ['length', 'inside', 'failed'],
    ['length', 'behind', 'whole'],
    ['chunks', 'inside', 'failed'],
    ['chunks', 'between chunks', 'failed'],
    ['chunks', 'behind', 'whole'],
    ['connection', 'inside', 'failed'],
    ['connection', 'behind', 'failed']
  ]
  test.each(paths.flatMap(path => bodies.flatMap(([name, parts]) =>
    cases.map(([framing, position, expected]): [string, string, Framing, Position, Outcome, [string, string]] =>
      [path, name, framing, position, expected, parts]))))('for %s with %s, ended by its %s, with the earlier one %s, is %s', async (path, _name, framing, position, expected, parts) => {
    expect(await outcomeOf(path, parts, framing, position)).toBe(expected)
  })
})

// Guards against texts about HTTP that are taken for mixed ones.
test.each(['/reads/1', '/votes/1', '/tags/1'])('a text for %s that quotes another response, or ends in the name of the protocol, is whole', async path => {
  platform = await startPlatform({ appWorkers: 1, modelWorkers: 1 })
  const caller = await RawCaller.connect(platform.host.addresses.callers)
  const [worker] = (path === '/tags/1' ? platform.models : platform.app) as [FakeWorker]
  const quotes = ['HTTP/1.1 200 OK\r\ndogwooddale-request-id: another\r\n\r\nquoted', 'it speaks HTTP/1.1']
  for (const [index, quote] of quotes.entries()) {
    worker.onRequest = request => { request.socket.write(worker.responseTo(request, quote)) }
    caller.send('POST', path, requestHeaders(`r${index}`), 'text')
    expect(await caller.readResponse()).toMatchObject({ status: 200, body: quote })
  }
})

test('a safe request that was answered with an earlier response in the body is answered by another worker', async () => {
  platform = await startPlatform({ appWorkers: 2 })
  let isMixed = false
  for (const worker of platform.app) {
    worker.onRequest = request => {
      if (isMixed) return request.socket.write(worker.responseTo(request, 'fine'))
      isMixed = true
      const earlier = worker.responseTo(request, 'own')
      return request.socket.end(worker.responseTo(request, `own${earlier}`, { headers: { 'content-length': undefined } }))
    }
  }
  const caller = await RawCaller.connect(platform.host.addresses.callers)
  caller.send('GET', '/reads/1', requestHeaders('r1'))
  expect(await caller.readResponse()).toMatchObject({ status: 200, body: 'fine' })
})
