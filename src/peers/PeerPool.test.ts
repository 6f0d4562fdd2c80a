/**
 * Guards against calls between hosts that report the wrong outcome ("not run" for one that may have run),
 * reach a replaced host, or hang on a connection that went silent.
 */
import { afterEach, expect, test } from '@jest/globals'
import { createServer } from 'node:net'
import { Result } from 'true-myth'
import { type ErrorKind, failure, type Incarnation, toOffset } from '../common/index.js'
import { keepAliveOptions } from './channelOptions.js'
import type { PeerHandlers, PeerTarget } from './index.js'
import { Cleanup, GrowingSource, identityOf, makePool, recordedLog, startServer, TcpForwarder } from './peerTestSupport.js'

const cleanup = new Cleanup()
afterEach(() => cleanup.run())

const server = identityOf('b')
const answer = { responder: server, ready: true, draining: false }
const heartbeat: PeerHandlers['heartbeat'] = async () => Result.ok(answer)

function targetAt (address: string, incarnation?: Incarnation): PeerTarget {
  return { hostId: server.hostId, address, ...(incarnation === undefined ? {} : { incarnation }) }
}

async function unusedAddress (): Promise<string> {
  const probe = createServer()
  await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve))
  const { port } = probe.address() as { port: number }
  await new Promise(resolve => probe.close(resolve))
  return `127.0.0.1:${port}`
}

test('a call reaches its handler with the sender, and the answer comes back', async () => {
  const seen: unknown[] = []
  const demand: PeerHandlers['demand'] = async (request, call) => {
    seen.push(call.sender, request.models[0]?.model)
    return Result.ok({ accepted: true })
  }
  const { address } = await startServer(cleanup, { identity: server, handlers: { demand } })
  const models = [{ model: 'm', prefillTokensPerSecond: 1, decodeTokensPerSecond: 2, queuedRequests: 3 }]
  const result = await makePool(cleanup, 'a').demand(targetAt(address), { models })
  expect(result).toEqual(Result.ok({ accepted: true }))
  expect(seen).toEqual([identityOf('a'), 'm'])
})

const kinds: ErrorKind[] = ['overloaded', 'deadline_exceeded', 'conflict', 'platform_unavailable', 'internal', 'cancelled']
test.each(kinds)('the failure %s of a handler arrives with its message and detail', async kind => {
  const failed = failure(kind, 'reason ä', { winner: 'x' })
  const { address } = await startServer(cleanup, { identity: server, handlers: { heartbeat: async () => Result.err(failed) } })
  const result = await makePool(cleanup, 'a').heartbeat(targetAt(address))
  expect(result).toEqual(Result.err(failed))
})

test('a handler that throws answers internal', async () => {
  const handlers: PeerHandlers = { heartbeat: async () => { throw new Error('fault') } }
  const { address } = await startServer(cleanup, { identity: server, handlers })
  expect(await makePool(cleanup, 'a').heartbeat(targetAt(address))).toEqual(Result.err(failure('internal', 'fault')))
})

test('a call for a replaced incarnation is answered wrong_incarnation with the present identity', async () => {
  const { address } = await startServer(cleanup, { identity: identityOf('b', '2'), handlers: { heartbeat } })
  const result = await makePool(cleanup, 'a').heartbeat(targetAt(address, server.incarnation))
  expect(result.isErr && result.error).toMatchObject({ kind: 'wrong_incarnation', detail: identityOf('b', '2') })
})

test('a call without a valid sender is refused', async () => {
  const { address } = await startServer(cleanup, { identity: server, handlers: { heartbeat } })
  const identity = { ...identityOf('a'), incarnation: 'x' as Incarnation }
  const result = await makePool(cleanup, 'a', { identity }).heartbeat(targetAt(address))
  expect(result.isErr && result.error.kind).toBe('bad_request')
})

test('a call that the peer has no handler for did not run', async () => {
  const { address } = await startServer(cleanup, { identity: server, handlers: {} })
  const result = await makePool(cleanup, 'a').heartbeat(targetAt(address))
  expect(result.isErr && result.error.kind).toBe('not_run')
})

test('a call without a connection did not run, and says why', async () => {
  const result = await makePool(cleanup, 'a').heartbeat(targetAt(await unusedAddress()))
  expect(result.isErr && result.error.kind).toBe('not_run')
  expect(result.isErr && result.error.message).toContain('ECONNREFUSED')
})

test.each([
  ['the connection breaks', 'outcome_unknown', (forwarder: TcpForwarder) => forwarder.reset(), 10_000],
  ['the deadline passes', 'outcome_unknown', () => {}, 300]
] as const)('a call in progress when %s ends as %s', async (_case, kind, fault, timeoutMilliseconds) => {
  let arrived = (): void => {}
  const running = new Promise<void>(resolve => { arrived = resolve })
  const handlers: PeerHandlers = {
    heartbeat: async (_request, call) => {
      arrived()
      await new Promise(resolve => call.signal.addEventListener('abort', resolve))
      return Result.ok(answer)
    }
  }
  const { address } = await startServer(cleanup, { identity: server, handlers })
  const forwarder = await TcpForwarder.start(address)
  cleanup.add(() => forwarder.stop())
  const pending = makePool(cleanup, 'a').heartbeat(targetAt(forwarder.address), { timeoutMilliseconds })
  await running
  fault(forwarder)
  const result = await pending
  expect(result.isErr && result.error.kind).toBe(kind)
})

test('a cancelled call ends as cancelled and its handler learns of it', async () => {
  const controller = new AbortController()
  let learned = (): void => {}
  const cancelled = new Promise<void>(resolve => { learned = resolve })
  const handlers: PeerHandlers = {
    heartbeat: async (_request, call) => {
      call.signal.addEventListener('abort', () => learned())
      controller.abort()
      await cancelled
      return Result.ok(answer)
    }
  }
  const { address } = await startServer(cleanup, { identity: server, handlers })
  const result = await makePool(cleanup, 'a').heartbeat(targetAt(address), { signal: controller.signal })
  expect(result.isErr && result.error.kind).toBe('cancelled')
  await cancelled
})

test('a stopping server lets the calls in progress end', async () => {
  let arrived = (): void => {}
  let release = (): void => {}
  const running = new Promise<void>(resolve => { arrived = resolve })
  const released = new Promise<void>(resolve => { release = resolve })
  const handlers: PeerHandlers = {
    heartbeat: async (_request, call) => {
      arrived()
      await released
      return call.signal.aborted ? Result.err(failure('cancelled', 'aborted')) : Result.ok(answer)
    }
  }
  const started = await startServer(cleanup, { identity: server, handlers })
  const pending = makePool(cleanup, 'a').heartbeat(targetAt(started.address))
  await running
  const stopped = started.stop(10_000)
  release()
  expect(await pending).toEqual(Result.ok(answer))
  await stopped
})

test('releasing a peer does not cut its open calls', async () => {
  const source = new GrowingSource()
  const { address } = await startServer(cleanup, { identity: server, handlers: { heartbeat, follow: source } })
  const pool = makePool(cleanup, 'a')
  const following = pool.follow(targetAt(address), 'leases', toOffset(1), new AbortController().signal)
  await following.next()
  pool.release(server.hostId)
  source.append(1)
  expect((await following.next()).value?.records?.records).toHaveLength(1)
  expect(await pool.heartbeat(targetAt(address))).toEqual(Result.ok(answer))
  await following.return()
})

test('stamps move the hybrid clocks of both ends', async () => {
  const { log, hybridClock } = recordedLog('b')
  const { address } = await startServer(cleanup, { identity: server, handlers: { heartbeat }, log, hybridClock })
  const near = recordedLog('a').hybridClock
  const pool = makePool(cleanup, 'a', { hybridClock: near })
  const ahead = { wall: Date.now() + 30_000, counter: 0 }
  near.receive(ahead)
  await pool.heartbeat(targetAt(address))
  expect(hybridClock.now().wall).toBe(ahead.wall)
  hybridClock.receive({ wall: ahead.wall + 10_000, counter: 0 })
  await pool.heartbeat(targetAt(address))
  expect(near.now().wall).toBe(ahead.wall + 10_000)
})

test('keep-alive finds a silent connection within the time after which a peer counts as silent', () => {
  const { 'grpc.keepalive_time_ms': time = Infinity, 'grpc.keepalive_timeout_ms': timeout = Infinity } = keepAliveOptions
  expect(time + timeout).toBeLessThan(3000)
})

// Without keep-alive this call never ends: the source has nothing more to send and the call has no deadline.
test('a connection that went silent is found while new connections work, and replaced', async () => {
  const source = new GrowingSource()
  source.append(1)
  const { address } = await startServer(cleanup, { identity: server, handlers: { heartbeat, follow: source } })
  const forwarder = await TcpForwarder.start(address)
  cleanup.add(() => forwarder.stop())
  const pool = makePool(cleanup, 'a')
  const following = pool.follow(targetAt(forwarder.address), 'leases', toOffset(1), new AbortController().signal)
  // The record and the source's heartbeat; the source sends nothing more by itself.
  await following.next()
  await following.next()
  forwarder.silence()
  const ended = await following.next().catch((caught: unknown) => caught)
  expect(ended).toMatchObject({ failure: { kind: 'stream_interrupted' } })
  expect(await pool.heartbeat(targetAt(forwarder.address))).toEqual(Result.ok(answer))
  expect(forwarder.accepted).toBe(2)
})
