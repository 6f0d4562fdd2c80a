/**
 * Guards against a worker that answered out of turn once and is then sent each call on a new connection for good, or
 * fills the log.
 */
import { createServer, type Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { type HostId, loadHash, ManualClock, type WorkerId, type Zone } from '../common/index.js'
import { FixedConfiguration } from '../configuration/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import type { Upstream } from './Upstream.js'
import { UpstreamManager } from './UpstreamManager.js'

let server: Server
let clock: ManualClock
let manager: UpstreamManager
let upstream: Upstream
let connections = 0
let lines: string[] = []

beforeEach(async () => {
  connections = 0
  lines = []
  server = createServer((_request, response) => { response.end('fine') }).on('connection', () => { connections += 1 })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  clock = new ManualClock()
  const worker = { id: 'w' as WorkerId, zone: 'a' as Zone, address, checksFencing: false, draining: false, reportsLoad: false }
  manager = new UpstreamManager({
    hostId: 'h-1' as HostId,
    zone: 'a' as Zone,
    configuration: new FixedConfiguration({ '/fleet/pools/p': { kind: 'service', workers: [worker] } }),
    clock,
    events: new EventLog({ timeline: new Timeline('h-1', new HybridClock(clock)), level: 'warn', write: line => { lines.push(line) } }),
    hash: await loadHash(),
    loadPollMilliseconds: 100,
    subsetSize: 8
  })
  upstream = manager.worker(worker.id)!
})

afterEach(async () => {
  await manager.stop()
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
})

/** Makes calls one after the other. Returns the number of connections that they opened. */
async function connectionsOf (calls: number): Promise<number> {
  const before = connections
  for (let call = 0; call < calls; call += 1) {
    const { body } = await upstream.request({ method: 'GET', path: '/' })
    expect(await body.text()).toBe('fine')
    // The pool uses a connection again one turn of the event loop after the response.
    await new Promise(resolve => setTimeout(resolve, 5))
  }
  return connections - before
}

test('calls share a connection again a few seconds after the latest response out of turn', async () => {
  expect(await connectionsOf(5)).toBe(1)
  manager.doubtConnections(upstream, 'foreign_response')
  expect(await connectionsOf(3)).toBe(3)
  await clock.advance(2000)
  manager.doubtConnections(upstream, 'surplus')
  await clock.advance(2000)
  expect(await connectionsOf(3)).toBe(3)
  await clock.advance(2000)
  expect(await connectionsOf(5)).toBe(1)
})

test('each time at which the connections come into doubt is logged once', async () => {
  for (let response = 0; response < 20; response += 1) manager.doubtConnections(upstream, 'foreign_response')
  await clock.advance(4000)
  for (let response = 0; response < 20; response += 1) manager.doubtConnections(upstream, 'surplus')
  expect(lines.filter(line => line.includes('connections_doubted'))).toEqual([
    expect.stringContaining('worker=w reason=foreign_response'), expect.stringContaining('worker=w reason=surplus')
  ])
})
