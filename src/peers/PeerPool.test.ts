/**
 * Guards against calls between hosts that report a wrong outcome (`not_run` although the call may have run), that are
 * served by another incarnation than the expected one, or that hang on a connection that has gone silent.
 */
import { afterEach, expect, test } from '@jest/globals'
import { createServer } from 'node:net'
import { Result } from 'true-myth'
import { type ErrorKind, failure, type Incarnation, toOffset } from '../common/index.js'
import { keepAliveOptions } from './channelOptions.js'
import type { PeerHandlers, PeerTarget } from './index.js'
import { Cleanup, GrowingSource, identityOf, createPeerPool, createRecordingLog, startServer, TcpForwarder } from './peerTestSupport.js'

const cleanup = new Cleanup()
afterEach(() => cleanup.run())

const serverIdentity = identityOf('b')
const heartbeatResponse = { responder: serverIdentity, ready: true, draining: false }
const heartbeat: PeerHandlers['heartbeat'] = async () => Result.ok(heartbeatResponse)

function targetAt (address: string, incarnation?: Incarnation): PeerTarget {
  return { hostId: serverIdentity.hostId, address, ...(incarnation === undefined ? {} : { incarnation }) }
}

async function findUnusedAddress (): Promise<string> {
  const probe = createServer()
  await new Promise<void>(resolve => probe.listen(0, '127.0.0.1', resolve))
  const { port } = probe.address() as { port: number }
  await new Promise(resolve => probe.close(resolve))
  return `127.0.0.1:${port}`
}

test('a unary call passes the request and the sender to its handler and returns the response', async () => {
  const received: unknown[] = []
  const demand: PeerHandlers['demand'] = async (request, call) => {
    received.push(call.sender, request.models[0]?.model)
    return Result.ok({ accepted: true })
  }
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers: { demand } })
  const models = [{ model: 'm', prefillTokensPerSecond: 1, decodeTokensPerSecond: 2, queuedRequests: 3 }]
  const result = await createPeerPool(cleanup, 'a').demand(targetAt(address), { models })
  expect(result).toEqual(Result.ok({ accepted: true }))
  expect(received).toEqual([identityOf('a'), 'm'])
})

const kinds: ErrorKind[] = ['overloaded', 'deadline_exceeded', 'conflict', 'platform_unavailable', 'internal', 'cancelled']
test.each(kinds)('if a handler fails with %s, the caller receives the kind, message and detail', async kind => {
  const handlerFailure = failure(kind, 'reason ä', { winner: 'x' })
  const { address } = await startServer(cleanup, {
    identity: serverIdentity, handlers: { heartbeat: async () => Result.err(handlerFailure) }
  })
  const result = await createPeerPool(cleanup, 'a').heartbeat(targetAt(address))
  expect(result).toEqual(Result.err(handlerFailure))
})

test('if a handler throws, the caller receives the failure internal with the message of the error', async () => {
  const handlers: PeerHandlers = { heartbeat: async () => { throw new Error('fault') } }
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers })
  expect(await createPeerPool(cleanup, 'a').heartbeat(targetAt(address))).toEqual(Result.err(failure('internal', 'fault')))
})

test('a call for an earlier incarnation fails with wrong_incarnation and the identity of the current one', async () => {
  const { address } = await startServer(cleanup, { identity: identityOf('b', '2'), handlers: { heartbeat } })
  const result = await createPeerPool(cleanup, 'a').heartbeat(targetAt(address, serverIdentity.incarnation))
  expect(result.isErr && result.error).toMatchObject({ kind: 'wrong_incarnation', detail: identityOf('b', '2') })
})

test('a call whose sender has a malformed incarnation fails with bad_request', async () => {
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers: { heartbeat } })
  const identity = { ...identityOf('a'), incarnation: 'x' as Incarnation }
  const result = await createPeerPool(cleanup, 'a', { identity }).heartbeat(targetAt(address))
  expect(result.isErr && result.error.kind).toBe('bad_request')
})

test('a call for which the peer has no handler fails with not_run', async () => {
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers: {} })
  const result = await createPeerPool(cleanup, 'a').heartbeat(targetAt(address))
  expect(result.isErr && result.error.kind).toBe('not_run')
})

test('if the TCP connection is refused, a call fails with not_run and the reason', async () => {
  const result = await createPeerPool(cleanup, 'a').heartbeat(targetAt(await findUnusedAddress()))
  expect(result.isErr && result.error.kind).toBe('not_run')
  expect(result.isErr && result.error.message).toContain('ECONNREFUSED')
})

test.each([
  ['the connection breaks', 'outcome_unknown', (forwarder: TcpForwarder) => forwarder.reset(), 10_000],
  ['the deadline passes', 'outcome_unknown', () => {}, 300]
] as const)('if %s during a call, the call fails with %s', async (_case, kind, applyFault, timeoutMilliseconds) => {
  let resolveRunning = (): void => {}
  const running = new Promise<void>(resolve => { resolveRunning = resolve })
  const handlers: PeerHandlers = {
    heartbeat: async (_request, call) => {
      resolveRunning()
      await new Promise(resolve => call.signal.addEventListener('abort', resolve))
      return Result.ok(heartbeatResponse)
    }
  }
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers })
  const forwarder = await TcpForwarder.start(address)
  cleanup.add(() => forwarder.stop())
  const pending = createPeerPool(cleanup, 'a').heartbeat(targetAt(forwarder.address), { timeoutMilliseconds })
  await running
  applyFault(forwarder)
  const result = await pending
  expect(result.isErr && result.error.kind).toBe(kind)
})

test('when the signal of a call aborts, the call fails with cancelled and the signal of the handler aborts', async () => {
  const controller = new AbortController()
  let resolveCancelled = (): void => {}
  const cancelled = new Promise<void>(resolve => { resolveCancelled = resolve })
  const handlers: PeerHandlers = {
    heartbeat: async (_request, call) => {
      call.signal.addEventListener('abort', () => resolveCancelled())
      controller.abort()
      await cancelled
      return Result.ok(heartbeatResponse)
    }
  }
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers })
  const result = await createPeerPool(cleanup, 'a').heartbeat(targetAt(address), { signal: controller.signal })
  expect(result.isErr && result.error.kind).toBe('cancelled')
  await cancelled
})

test('if a server is stopped during a call, the caller still receives the response', async () => {
  let resolveRunning = (): void => {}
  let release = (): void => {}
  const running = new Promise<void>(resolve => { resolveRunning = resolve })
  const released = new Promise<void>(resolve => { release = resolve })
  const handlers: PeerHandlers = {
    heartbeat: async (_request, call) => {
      resolveRunning()
      await released
      return call.signal.aborted ? Result.err(failure('cancelled', 'aborted')) : Result.ok(heartbeatResponse)
    }
  }
  const started = await startServer(cleanup, { identity: serverIdentity, handlers })
  const pending = createPeerPool(cleanup, 'a').heartbeat(targetAt(started.address))
  await running
  const stopped = started.stop(10_000)
  release()
  expect(await pending).toEqual(Result.ok(heartbeatResponse))
  await stopped
})

test('after release, open calls to the peer continue and new calls succeed', async () => {
  const source = new GrowingSource()
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers: { heartbeat, follow: source } })
  const pool = createPeerPool(cleanup, 'a')
  const following = pool.follow(targetAt(address), 'leases', toOffset(1), new AbortController().signal)
  await following.next()
  pool.release(serverIdentity.hostId)
  source.append(1)
  expect((await following.next()).value?.records?.records).toHaveLength(1)
  expect(await pool.heartbeat(targetAt(address))).toEqual(Result.ok(heartbeatResponse))
  await following.return()
})

test('a call advances the hybrid clock of the server or of the client, whichever is behind', async () => {
  const { events, hybridClock } = createRecordingLog('b')
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers: { heartbeat }, events, hybridClock })
  const clientClock = createRecordingLog('a').hybridClock
  const pool = createPeerPool(cleanup, 'a', { hybridClock: clientClock })
  const ahead = { wall: Date.now() + 30_000, counter: 0 }
  clientClock.receive(ahead)
  await pool.heartbeat(targetAt(address))
  expect(hybridClock.now().wall).toBe(ahead.wall)
  hybridClock.receive({ wall: ahead.wall + 10_000, counter: 0 })
  await pool.heartbeat(targetAt(address))
  expect(clientClock.now().wall).toBe(ahead.wall + 10_000)
})

test('keep-alive detects a silent connection in less than the 3 s after which a peer is considered silent', () => {
  const { 'grpc.keepalive_time_ms': time = Infinity, 'grpc.keepalive_timeout_ms': timeout = Infinity } = keepAliveOptions
  expect(time + timeout).toBeLessThan(3000)
})

// Without keep-alive this call would never end, since the source sends nothing more and the call has no deadline.
test('a connection that goes silent interrupts its streams, and the next call succeeds on a new connection', async () => {
  const source = new GrowingSource()
  source.append(1)
  const { address } = await startServer(cleanup, { identity: serverIdentity, handlers: { heartbeat, follow: source } })
  const forwarder = await TcpForwarder.start(address)
  cleanup.add(() => forwarder.stop())
  const pool = createPeerPool(cleanup, 'a')
  const following = pool.follow(targetAt(forwarder.address), 'leases', toOffset(1), new AbortController().signal)
  // Receives the record and the source's heartbeat, after which the source sends nothing until the next append.
  await following.next()
  await following.next()
  forwarder.silence()
  const ended = await following.next().catch((caught: unknown) => caught)
  expect(ended).toMatchObject({ failure: { kind: 'stream_interrupted' } })
  expect(await pool.heartbeat(targetAt(forwarder.address))).toEqual(Result.ok(heartbeatResponse))
  expect(forwarder.accepted).toBe(2)
})
