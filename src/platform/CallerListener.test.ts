/**
 * Guards against a host whose processor is used up that takes on more requests than it can forward, and that sends
 * requests on whose callers have already left, and against a stop that takes requests it cannot finish.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, loadHash, SystemClock } from '../common/index.js'
import type { RequestManager, ServiceRequest, ServiceResponse } from '../forwarding/index.js'
import { ClientIntake, deriveIntakeLimits } from '../intake/index.js'
import { EventLog, HybridClock, Metrics, Timeline } from '../observability/index.js'
import { CallerListener } from './CallerListener.js'
import { RequestMetrics } from './RequestMetrics.js'
import { decodeRouteConfiguration, RouteTable } from './RouteConfiguration.js'
import { configurationDocument, RawCaller, requestHeaders, waitUntil } from './testing/platformTestSupport.js'

let listener: CallerListener | undefined

afterEach(async () => { await listener?.closeAll() })

type Outcome = Result<ServiceResponse, Failure>

type Run = (request: ServiceRequest, forwarded: ServiceRequest[], signal: AbortSignal) => Promise<Outcome>

const refused: Run = async () => Result.err(failure('not_run', 'no worker'))

interface ListenerTest {
  caller: RawCaller
  /** Requests that the listener forwarded. */
  forwarded: ServiceRequest[]
  /** Log lines of the listener. */
  lines: string[]
}

/** Starts a listener whose event loop is late by the given time and whose requests end as `run` says. */
async function start (delayMilliseconds: number, run: Run = refused, document = configurationDocument(1)): Promise<ListenerTest> {
  const clock = new SystemClock()
  const lines: string[] = []
  const forwarded: ServiceRequest[] = []
  const requests = {
    begin: () => () => {},
    serviceCall: (request: ServiceRequest) => {
      forwarded.push(request)
      return { attempts: 0, worker: undefined, run: async (signal: AbortSignal) => await run(request, forwarded, signal) }
    }
  } as unknown as RequestManager
  const configuration = decodeRouteConfiguration(Buffer.from(JSON.stringify(document)))
  const routes = new RouteTable(configuration.unwrapOrElse(failed => { throw new Error(failed.message) }))
  const events = new EventLog({
    timeline: new Timeline('test', new HybridClock(clock)),
    level: 'info',
    write: line => { lines.push(line) }
  })
  listener = new CallerListener({
    address: '127.0.0.1:0',
    routes: () => routes,
    requests,
    clock,
    events,
    intake: new ClientIntake({ limits: deriveIntakeLimits({}), clock, events }),
    hash: await loadHash(),
    metrics: new RequestMetrics(new Metrics()),
    eventLoopDelay: () => delayMilliseconds,
    isConfigurationCurrent: () => true
  })
  await listener.listen()
  return { caller: await RawCaller.connect(listener.address), forwarded, lines }
}

test.each([
  ['forwards requests while the event loop is on time', 0, 1, 503],
  ['forwards requests while the event loop is somewhat late', 100, 1, 503],
  ['refuses requests at once, as not run, while the event loop is very late', 400, 0, 429]
])('the listener %s', async (_name, delay, expectedForwarded, status) => {
  const { caller, forwarded } = await start(delay)
  caller.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
  expect(await caller.readResponse()).toMatchObject({ status, headers: { 'retry-after': expect.any(String) } })
  expect(forwarded).toHaveLength(expectedForwarded)
})

// Guards against callers who were refused together and come back together.
test('refused callers are told different times, from the stated one to half as long again', async () => {
  const { caller } = await start(0, async () => Result.err(failure('overloaded', 'full', { retryAfterMilliseconds: 2000 })))
  const times = new Set<number>()
  for (let number = 0; number < 8; number += 1) {
    caller.send('POST', '/votes/1', requestHeaders(`r${number}`), 'yes')
    times.add(Number((await caller.readResponse()).headers['retry-after']))
  }
  expect(times.size).toBeGreaterThan(4)
  expect(Math.min(...times)).toBeGreaterThanOrEqual(2)
  expect(Math.max(...times)).toBeLessThanOrEqual(3)
})

test('while the event loop is late, a request whose caller closes right after sending it is not forwarded', async () => {
  const { caller, forwarded } = await start(100)
  caller.send('GET', '/reads/1', requestHeaders('r1'))
  caller.socket.destroy()
  const next = await RawCaller.connect(listener!.address)
  next.send('GET', '/reads/2', requestHeaders('r2'))
  await next.readResponse()
  expect(forwarded.map(({ requestId }) => requestId as string)).toEqual(['r2'])
})

/** A complete response with the request's id as the body. */
function answerTo ({ requestId }: ServiceRequest): Result<ServiceResponse, Failure> {
  return Result.ok({ status: 200, headers: {}, body: Buffer.from(requestId), remainingBody: undefined })
}

// Guards against log lines from which a request cannot be attributed, and against keys in the log.
test('the log lines of a request name its account, and no line contains a key', async () => {
  const tenants = [{ name: 'kiosk', 'api-keys': ['secret-1'] }]
  const { lines } = await start(0, async request => answerTo(request), configurationDocument(1, { tenants }))
  listener!.configure({ maxHeaderBytes: 4096, maxBodyBytes: 10, headerTimeoutMilliseconds: 3000, idleTimeoutMilliseconds: 3000 })
  for (const [id, key, body, status] of [['r1', 'secret-1', 'yes', 200], ['r2', 'secret-1', 'x'.repeat(11), 413], ['r3', 'secret-2', 'yes', 401]] as const) {
    const caller = await RawCaller.connect(listener!.address)
    caller.send('POST', '/votes/1', requestHeaders(id, { authorization: `Bearer ${key}` }), body)
    expect((await caller.readResponse()).status).toBe(status)
  }
  const lineOf = (event: string, id: string): string | undefined => lines.find(line => line.includes(`event=${event} request=${id} `))
  expect(lineOf('request_ended', 'r1')).toContain(' account=kiosk ')
  expect(lineOf('request_refused', 'r2')).toContain(' account=kiosk ')
  expect(lineOf('request_refused', 'r3')).not.toContain('account=')
  expect(lines.join('')).not.toContain('secret')
})

describe('during a stop', () => {
  // Guards against pipelined requests that are passed on although the connection closes after an earlier response.
  test.each([['first', 'r1'], ['second', 'r2']])('answers two pipelined requests of which the %s ends first', async (_name, firstToEnd) => {
    let finishOther = (): void => {}
    const otherMayEnd = new Promise<void>(resolve => { finishOther = resolve })
    const { caller, forwarded } = await start(0, async (request, forwarded) => {
      await waitUntil(() => forwarded.length === 2)
      if (request.requestId !== firstToEnd) await otherMayEnd
      return answerTo(request)
    })
    listener!.startStop()
    caller.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    caller.send('POST', '/votes/2', requestHeaders('r2'), 'yes')
    await waitUntil(() => forwarded.length === 2)
    await new Promise(resolve => setImmediate(resolve))
    finishOther()
    expect(await caller.readResponse()).toMatchObject({ body: 'r1', headers: { connection: 'keep-alive' } })
    expect(await caller.readResponse()).toMatchObject({ body: 'r2', headers: { connection: 'close' } })
  })

  test('passes no request on that arrives behind a response which announced that the connection closes', async () => {
    let finish = (): void => {}
    const finished = new Promise<void>(resolve => { finish = resolve })
    async function * stream (): AsyncGenerator<Buffer> {
      yield Buffer.from('piece')
      await finished
    }
    const { caller, forwarded } = await start(0, async request => request.requestId === 'r1'
      ? Result.ok({ status: 200, headers: {}, body: Buffer.alloc(0), remainingBody: stream() })
      : answerTo(request))
    listener!.startStop()
    caller.send('POST', '/tags/1', requestHeaders('r1'), 'post')
    await waitUntil(() => caller.received.includes('piece'))
    caller.send('POST', '/tags/2', requestHeaders('r2'), 'post')
    const other = await RawCaller.connect(listener!.address)
    other.send('POST', '/votes/1', requestHeaders('r3'), 'yes')
    await other.readResponse()
    finish()
    await waitUntil(() => caller.closed)
    expect(forwarded.map(({ requestId }) => requestId as string)).toEqual(['r1', 'r3'])
  })
})

describe('a listener that closes', () => {
  // Guards against requests that are passed on to a worker although the listener has closed.
  test.each([
    ['the rest of its body', 'content-length: 4\r\n\r\nye', 's!'],
    ['a chunk of its body', 'transfer-encoding: chunked\r\n\r\n', '4\r\nyes!\r\n0\r\n\r\n']
  ])('refuses a request, as not run, if %s arrives afterwards', async (_name, firstPart, rest) => {
    const { caller, forwarded, lines } = await start(0)
    caller.socket.write(`POST /votes/1 HTTP/1.1\r\nhost: forum.example\r\ndogwooddale-request-id: r1\r\n${firstPart}`)
    await waitUntil(() => listener!.stopSummary.idle === 0)
    listener!.startStop()
    const closed = listener!.close()
    caller.socket.write(rest)
    expect(await caller.readResponse()).toMatchObject({
      status: 503, headers: { connection: 'close', 'retry-after': expect.any(String) }
    })
    await closed
    expect(forwarded).toEqual([])
    expect(lines.filter(line => /event=request_refused .*kind=draining/.test(line))).toHaveLength(1)
  })

  // Guards against responses that are cut because they had been ended, but not sent completely, when the listener closed.
  test('sends a response completely to a caller that reads slowly', async () => {
    const body = Buffer.alloc(40_000_000, 'x')
    const { caller } = await start(0, async () => Result.ok({ status: 200, headers: {}, body, remainingBody: undefined }))
    caller.send('POST', '/votes/1', requestHeaders('r1'), 'yes')
    let received = 0
    // The first bytes show that the response has been ended; the caller then reads nothing until the listener closes.
    await new Promise<void>(resolve => caller.socket.once('data', bytes => {
      received = bytes.length
      caller.socket.pause()
      resolve()
    }))
    caller.socket.removeAllListeners('data')
    const closed = listener!.close()
    caller.socket.on('data', bytes => { received += bytes.length })
    caller.socket.resume()
    await closed
    await waitUntil(() => caller.closed)
    expect(received).toBeGreaterThan(body.length)
  })
})

describe('when the process exits soon', () => {
  const untilAborted = async (signal: AbortSignal): Promise<void> => await new Promise(resolve => signal.addEventListener('abort', () => resolve()))

  const openRequests: Array<[string, string, string, Run, number]> = [
    ['that no worker has received', '/reads/1', 'yes', async (_request, _forwarded, signal) => {
      await untilAborted(signal)
      return Result.err(failure('not_run', 'not sent'))
    }, 503],
    ['at a worker that may run it again', '/reads/1', 'yes', async (_request, _forwarded, signal) => {
      await untilAborted(signal)
      return Result.err(failure('cancelled', 'the caller disconnected'))
    }, 502],
    ['at a worker that may run it once', '/votes/1', 'yes', async () => await new Promise(() => {}), 502],
    ['whose body is incomplete', '/votes/1', 'ye', refused, 503]
  ]

  // Guards against requests that end without an answer, because the process exits while they are open.
  test.each(openRequests)('a request %s receives a final answer', async (_name, path, body, run, status) => {
    const { caller, forwarded } = await start(0, run)
    caller.send('POST', path, requestHeaders('r1', { 'content-length': '3' }), undefined)
    caller.socket.write(body)
    await waitUntil(() => listener!.stopSummary.idle === 0 && (body.length < 3 || forwarded.length === 1))
    listener!.startStop()
    const closed = listener!.close()
    expect(listener!.answerOpenRequests()).toBe(1)
    const response = await caller.readResponse()
    expect(response).toMatchObject({ status, headers: { connection: 'close' } })
    expect(response.headers['retry-after'] !== undefined).toBe(status === 503)
    await closed
  })
})

describe('a body that the caller wants to be asked for', () => {
  const limits = { maxHeaderBytes: 4096, maxBodyBytes: 10, headerTimeoutMilliseconds: 3000, idleTimeoutMilliseconds: 15_000 }

  // Guards against callers that are asked for a body that is then refused, and against callers that wait in vain.
  test.each([
    ['is not asked for if it is too large', '11', 'HTTP/1.1 413 '],
    ['is asked for if it is within the limit', '10', 'HTTP/1.1 100 ']
  ])('%s', async (_name, length, expected) => {
    const { caller } = await start(0)
    listener!.configure(limits)
    caller.send('POST', '/votes/1', requestHeaders('r1', { 'content-length': length, expect: '100-continue' }))
    await waitUntil(() => caller.received.length > 0)
    expect(caller.received.startsWith(expected)).toBe(true)
  })
})

// Guards against requests of a closed connection that stay open for as long as the host runs.
test('requests behind the response that is being sent end when their connection closes', async () => {
  const signals: AbortSignal[] = []
  const { caller } = await start(0, async (_request, _forwarded, signal) => await new Promise(() => { signals.push(signal) }))
  for (const id of ['r1', 'r2', 'r3']) caller.send('GET', `/reads/${id}`, requestHeaders(id))
  await waitUntil(() => signals.length === 3)
  caller.socket.resetAndDestroy()
  await waitUntil(() => signals.every(({ aborted }) => aborted))
  expect(listener!.stopSummary.connections).toBe(0)
})
