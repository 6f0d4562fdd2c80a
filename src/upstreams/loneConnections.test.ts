/**
 * Guards against connections for one call that stay open when the call ends before, during or after its response.
 */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { ManualClock, type Pool, type RequestId, type WorkerId, type Zone } from '../common/index.js'
import { Upstream } from './Upstream.js'

let server: Server
let upstream: Upstream
let open = 0

beforeEach(async () => {
  open = 0
  server = createServer((request, response) => {
    if (request.url === '/head') response.write('part')
    if (request.url === '/whole') response.end('whole')
  }).on('connection', socket => {
    open += 1
    socket.on('close', () => { open -= 1 })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const worker = { id: 'w' as WorkerId, zone: 'a' as Zone, address, checksFencing: false, draining: false, reportsLoad: false }
  upstream = new Upstream({ pool: 'p' as Pool, kind: 'service', worker, models: [], role: 'mixed', isInOwnZone: true }, { clock: new ManualClock() })
  upstream.doubtConnections()
})

afterEach(async () => {
  server.closeAllConnections()
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
})

async function waitForClose (): Promise<void> {
  const until = performance.now() + 2000
  const isOpen = (): boolean => open > 0
  while (isOpen() && performance.now() < until) await new Promise(resolve => setTimeout(resolve, 10))
}

test.each<[string, string, number | undefined]>([
  ['before the call', '/none', -1],
  ['while the connection is opened', '/none', 0],
  ['while the response is awaited', '/none', 100],
  ['inside the body', '/head', 100],
  ['not at all', '/whole', undefined]
])('a connection for one call is closed if the signal aborts %s', async (_name, path, abortAfter) => {
  const stop = new AbortController()
  if (abortAfter === -1) stop.abort()
  const call = upstream.request({ method: 'GET', path, requestId: 'r' as RequestId, signal: stop.signal }).then(async ({ body }) => await body.text())
  const ended = call.then(() => true, () => false)
  if (abortAfter === 0) stop.abort()
  if (abortAfter !== undefined && abortAfter > 0) setTimeout(() => { stop.abort() }, abortAfter)
  expect(await ended).toBe(abortAfter === undefined)
  await new Promise(resolve => setTimeout(resolve, 50))
  await waitForClose()
  expect(open).toBe(0)
})
