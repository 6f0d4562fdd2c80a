/**
 * Guards against errors of the runtime that are written where the response of a running request belongs, and against requests
 * that end by the runtime's time limits although the host itself did not read them.
 */
import { afterEach, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { ManualClock } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { ClientIntake } from './ClientIntake.js'
import { deriveIntakeLimits } from './intakeLimits.js'

let server: Server
let intake: ClientIntake
let socket: Socket

afterEach(async () => {
  socket.destroy()
  server.closeAllConnections()
  server.close()
  await intake.stop()
})

async function start (headersTimeout: number, requestTimeout = 60_000) {
  const clock = new ManualClock()
  const events = new EventLog({ timeline: new Timeline('test', new HybridClock(clock)), level: 'error' })
  intake = new ClientIntake({ limits: deriveIntakeLimits({}), clock, events })
  server = createServer({ connectionsCheckingInterval: 10, headersTimeout, requestTimeout })
  const responses: ServerResponse[] = []
  intake.serve(server, (message, response) => {
    message.resume()
    responses.push(response)
  })
  const errors: string[] = []
  // A listener would replace what the runtime does without one.
  const emit = server.emit.bind(server)
  server.emit = (name: string, ...rest: any[]) => {
    if (name === 'clientError') errors.push(rest[0].code)
    return emit(name, ...rest)
  }
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  let text = ''
  let isClosed = false
  socket.on('error', () => {}).on('data', bytes => { text += String(bytes) }).on('close', () => { isClosed = true })
  return { clock, responses, errors, text: () => text, isClosed: () => isClosed }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

const head = 'GET /abcdefgh HTTP/1.1\r\nhost: a\r\n\r\n'

const statusesOf = (text: string): string[] => [...text.matchAll(/HTTP\/1\.1 (\d+)/g)].map(([, status]) => status!)

test('a head that the host does not read in time is read later, and all requests are answered', async () => {
  const { responses, errors, text, isClosed } = await start(100)
  socket.write(head.repeat(8) + head.slice(0, 20))
  await waitUntil(() => responses.length === 8)
  socket.write(head.slice(20))
  await waitUntil(() => errors.length === 1)
  for (const response of responses) response.end('ok')
  await waitUntil(() => responses.length === 9 || isClosed())
  responses[8]?.end('ok')
  await waitUntil(() => statusesOf(text()).length === 9 || isClosed())
  expect(statusesOf(text())).toEqual(Array.from({ length: 9 }, () => '200'))
})

test('a head that stays incomplete after the responses before it is refused', async () => {
  const { clock, responses, errors, text, isClosed } = await start(100)
  socket.write(head.repeat(8) + head.slice(0, 20))
  await waitUntil(() => errors.length === 1)
  for (const response of responses) response.end('ok')
  await waitUntil(() => statusesOf(text()).length === 8 || isClosed())
  await waitUntil(() => {
    clock.advance(250).catch(() => {})
    return isClosed()
  })
  expect(statusesOf(text())).toEqual([...Array.from({ length: 8 }, () => '200'), '408'])
})

test('a body that the host does not read in time is read later, and the connection stays open after the responses', async () => {
  const { clock, responses, errors, text, isClosed } = await start(100, 100)
  socket.write(`${head.repeat(7)}POST${head.slice(3, -2)}content-length: 2\r\n\r\na`)
  await waitUntil(() => responses.length === 8)
  socket.write('b')
  await waitUntil(() => errors.length === 1)
  for (const response of responses.slice(0, 7)) response.end('ok')
  await waitUntil(() => responses[7]!.req.complete || isClosed())
  responses[7]!.end('ok')
  await waitUntil(() => statusesOf(text()).length === 8 || isClosed())
  await clock.advance(10_000)
  socket.write(head)
  await waitUntil(() => responses.length === 9 || isClosed())
  responses[8]?.end('ok')
  await waitUntil(() => statusesOf(text()).length === 9 || isClosed())
  expect(statusesOf(text())).toEqual(Array.from({ length: 9 }, () => '200'))
})

test.each<[string, string, number, string[]]>([
  ['a faulty head is answered', 'GET\r\n\r\n', 0, ['400']],
  ['a head that is too large is answered', `GET / HTTP/1.1\r\na: ${'b'.repeat(20_000)}\r\n\r\n`, 0, ['431']],
  ['a fault in the body of the only request is answered', `POST${head.slice(3, -2)}transfer-encoding: chunked\r\n\r\n?\r\n`, 1, ['400']],
  ['a fault behind a running request closes the connection without an answer', `${head}?\r\n\r\n`, 1, []]
])('%s', async (_name, sent, requests, expected) => {
  const { responses, text, isClosed } = await start(60_000)
  socket.write(sent)
  await waitUntil(isClosed)
  expect([responses.length, statusesOf(text())]).toEqual([requests, expected])
})

test('a head that does not arrive on a new connection is refused', async () => {
  const { text, isClosed } = await start(100)
  await waitUntil(isClosed)
  expect(statusesOf(text())).toEqual(['408'])
})
