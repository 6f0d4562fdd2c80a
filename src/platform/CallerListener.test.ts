/**
 * Guards against a host whose processor is used up that takes on more requests than it can forward, and that sends
 * requests on whose callers have already left.
 */
import { afterEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { failure, loadHash, SystemClock } from '../common/index.js'
import type { RequestManager, ServiceRequest } from '../forwarding/index.js'
import { Metrics } from '../observability/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { CallerListener } from './CallerListener.js'
import { RequestMetrics } from './RequestMetrics.js'
import { decodeRouteConfiguration, RouteTable } from './RouteConfiguration.js'
import { configurationDocument, RawCaller, requestHeaders } from './testing/platformTestSupport.js'

let listener: CallerListener | undefined

afterEach(async () => { await listener?.closeAll() })

/** Starts a listener whose event loop is late by the given time; returns the requests that it forwards. */
async function start (delayMilliseconds: number): Promise<{ caller: RawCaller, forwarded: ServiceRequest[] }> {
  const clock = new SystemClock()
  const forwarded: ServiceRequest[] = []
  const requests = {
    begin: () => () => {},
    serviceCall: (request: ServiceRequest) => {
      forwarded.push(request)
      return { attempts: 0, worker: undefined, run: async () => Result.err(failure('not_run', 'no worker')) }
    }
  } as unknown as RequestManager
  const configuration = decodeRouteConfiguration(Buffer.from(JSON.stringify(configurationDocument(1))))
  const routes = new RouteTable(configuration.unwrapOrElse(failed => { throw new Error(failed.message) }))
  listener = new CallerListener({
    address: '127.0.0.1:0',
    routes: () => routes,
    requests,
    clock,
    events: discardingEventLog(clock),
    hash: await loadHash(),
    metrics: new RequestMetrics(new Metrics()),
    eventLoopDelay: () => delayMilliseconds
  })
  await listener.listen()
  return { caller: await RawCaller.connect(listener.address), forwarded }
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

test('while the event loop is late, a request whose caller closes right after sending it is not forwarded', async () => {
  const { caller, forwarded } = await start(100)
  caller.send('GET', '/reads/1', requestHeaders('r1'))
  caller.socket.destroy()
  const next = await RawCaller.connect(listener!.address)
  next.send('GET', '/reads/2', requestHeaders('r2'))
  await next.readResponse()
  expect(forwarded.map(({ requestId }) => requestId as string)).toEqual(['r2'])
})
