/**
 * Guards against clients that keep others out by holding all connections or requests, and against ones that are ended although
 * they make progress.
 */
import { afterEach, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { createServer, type Server, type ServerResponse } from 'node:http'
import { type AddressInfo, connect, type Socket } from 'node:net'
import { ManualClock } from '../common/index.js'
import { EventLog, HybridClock, Metrics, Timeline } from '../observability/index.js'
import { ClientIntake } from './ClientIntake.js'
import { deriveIntakeLimits, type IntakeLimits } from './intakeLimits.js'
import type { RequestIntake } from './RequestIntake.js'
import { sendBody } from './sendBody.js'

let server: Server
let intake: ClientIntake
const sockets: Socket[] = []

afterEach(async () => {
  for (const socket of sockets.splice(0)) socket.destroy()
  server.closeAllConnections()
  server.close()
  await intake.stop()
})

/** Starts a server that answers each request once its body has been read, unless `answer` does it. */
async function start (limits: Partial<IntakeLimits>, answer?: (response: ServerResponse, request: RequestIntake) => void) {
  const clock = new ManualClock()
  const events = new EventLog({ timeline: new Timeline('test', new HybridClock(clock)), level: 'error' })
  intake = new ClientIntake({ limits: { ...deriveIntakeLimits({}), ...limits }, clock, events })
  server = createServer()
  let begun = 0
  intake.serve(server, (_message, response, request) => {
    begun += 1
    if (answer !== undefined) return answer(response, request)
    const refusal = request.refusal()
    if (refusal !== undefined) {
      response.writeHead(429).end()
      return
    }
    request.readBody(1000).then(body => { response.writeHead(body.isOk ? 200 : 408).end() }, () => {})
  })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  return { clock, begun: () => begun }
}

async function send (text: string): Promise<{ status: () => string, received: () => string, isClosed: () => boolean }> {
  const socket = connect((server.address() as AddressInfo).port, '127.0.0.1')
  sockets.push(socket)
  let received = ''
  let isClosed = false
  socket.on('error', () => {})
  socket.on('data', bytes => { received += String(bytes) })
  socket.on('close', () => { isClosed = true })
  await once(socket, 'connect')
  socket.write(text)
  return { status: () => received === '' && isClosed ? 'closed' : received.slice(9, 12), received: () => received, isClosed: () => isClosed }
}

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

const stalled = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nab'
const ordinary = 'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nab'

test.each<[string, { maxConnections?: number, maxRequests?: number }, number, string[]]>([
  ['at the limit of connections, a stalled body gives way', { maxConnections: 3 }, 1000, ['closed', '200']],
  ['at the limit of requests, a stalled body gives way', { maxRequests: 3 }, 1000, ['408', '200']],
  ['at the limit of connections, none gives way that made progress a moment ago', { maxConnections: 3 }, 999, ['', 'closed']],
  ['at the limit of requests, none gives way that made progress a moment ago', { maxRequests: 3 }, 999, ['', '429']]
])('%s', async (_name, limits, milliseconds, expected) => {
  const { clock, begun } = await start(limits)
  const crowd: Array<{ status: () => string }> = []
  for (let count = 1; count <= 3; count += 1) {
    crowd.push(await send(stalled))
    await waitUntil(() => begun() === count)
    await new Promise(resolve => setImmediate(resolve))
  }
  await clock.advance(milliseconds)
  const last = await send(ordinary)
  await waitUntil(() => last.status() === expected[1] && crowd[0]!.status() === expected[0])
  expect(crowd.slice(1).map(({ status }) => status())).toEqual(['', ''])
})

// Guards against running requests that end with their connection, since the budget takes one behind them for stalled.
test.each<[string, number]>([
  ['a response behind a stream', 2],
  ['a request that waits for its turn', 9]
])('when the budget is short, %s is not refused for the progress it cannot make', async (_name, count) => {
  const responses: ServerResponse[] = []
  const { clock } = await start({ budgetBytes: 1_000_000 }, (response, request) => {
    responses.push(response)
    if (responses.length === 1) response.flushHeaders()
    else sendBody(response, Buffer.alloc(100_000, 'x'), request).then(() => { response.end() }, () => {})
  })
  const client = await send('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(count))
  await waitUntil(() => responses.length === Math.min(count, 8))
  await clock.advance(1000)
  const reservation = intake.budget.open({ pause: () => {}, resume: () => {}, refuse: () => {} })
  reservation.isRefusable = false
  reservation.add(1_100_000)
  responses[0]!.end()
  const bodyBytes = (): number => client.received().split('x').length - 1
  await waitUntil(() => bodyBytes() === (count - 1) * 100_000 || client.isClosed())
  expect([bodyBytes(), intake.budget.refusals]).toEqual([(count - 1) * 100_000, 0])
})

test('the metrics state what clients hold and were refused', async () => {
  await start({ maxConnections: 1 })
  const metrics = new Metrics()
  intake.expose(metrics)
  await send(stalled)
  const refused = await send(ordinary)
  await waitUntil(() => refused.status() === 'closed')
  const exposition = await metrics.exposition()
  expect(exposition).toMatch(/dogwooddale_client_connections 1\n/)
  expect(exposition).toMatch(/dogwooddale_client_refusals_total{reason="connections"} 1\n/)
})
