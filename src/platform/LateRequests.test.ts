/**
 * Guards against requests that arrive at any moment of a stop and are cut by its end without an answer, and against
 * answers that promise that a request did not run after it was passed on. The workers need longer than what remains.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import type { FakeWorker } from './testing/FakeWorker.js'
import {
  configurationDocument, type PlatformTest, RawCaller, requestHeaders, startPlatform, testSettings, waitUntil
} from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined

afterEach(async () => {
  await platform?.stop()
  platform = undefined
})

const stepMilliseconds = 50

/** Makes a worker begin its streams, and never end them nor answer anything else. */
function neverEnd (worker: FakeWorker): void {
  worker.onRequest = ({ path, headers, socket }) => {
    if (path.startsWith('/reads/kept')) {
      socket.write(`HTTP/1.1 200 OK\r\ncontent-length: 4\r\ndogwooddale-request-id: ${headers['dogwooddale-request-id']}\r\ndogwooddale-server-stamp: s\r\n\r\nkept`)
      return
    }
    if (!path.startsWith('/begun/')) return
    socket.write(`HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\ndogwooddale-request-id: ${headers['dogwooddale-request-id']}\r\ndogwooddale-server-stamp: s\r\n\r\nf\r\nid: 1\ndata: a\n\n\r\n`)
  }
}

const begun = {
  name: 'begun',
  host: 'forum.example',
  'path-prefix': '/begun/',
  kind: 'streaming',
  'timeout-ms': 60_000,
  'target-latency-ms': 500,
  service: 'llm',
  'max-attempts': 1
}

/** Opens a connection as it is before the stop. */
type Open = () => Promise<RawCaller>

async function connectNew (): Promise<RawCaller> {
  return await RawCaller.connect(platform!.host.addresses.callers)
}

async function connectKept (): Promise<RawCaller> {
  const caller = await connectNew()
  caller.send('GET', '/reads/kept', requestHeaders('kept'))
  expect((await caller.readResponse()).status).toBe(200)
  return caller
}

const openings: Array<[string, boolean, Open]> = [
  ['a new connection', true, connectNew],
  ['a kept connection', false, connectKept],
  ['an unused connection', false, connectNew]
]

const requests: Array<[string, string]> = [['GET', '/reads/1'], ['POST', '/votes/1'], ['POST', '/tags/1'], ['POST', '/answers/1'], ['POST', '/begun/1']]
const moments = [0, 0.1, 0.25, 0.325, 0.5, 0.6, 0.75, 0.9, 0.95]

describe.each([2, 3, 5, 8])('with a grace period of %d s', graceSeconds => {
  test.each(openings)('a request on %s is answered before the exit or not taken, at any moment', async (_name, isNew, open) => {
    for (const moment of moments) {
      const clock = new ManualClock()
      const configuration = configurationDocument(1, { routes: [begun] })
      platform = await startPlatform({ clock, graceSeconds, appWorkers: 1, modelWorkers: 1, configuration })
      const { host, app, models } = platform
      for (const worker of [...app, ...models]) neverEnd(worker)
      const early = isNew ? [] : await Promise.all(requests.map(open))
      const startedAt = clock.monotonic()
      const exit: { at?: number } = {}
      host.stop().then(() => { exit.at = clock.monotonic() }, () => {})
      const at = moment * graceSeconds * 1000
      while (clock.monotonic() - startedAt < at && exit.at === undefined) await clock.advance(stepMilliseconds)
      const sent = await Promise.all(requests.map(async ([method, path], index) => {
        const caller = isNew ? await open().catch(() => undefined) : early[index]
        caller?.send(method, path, requestHeaders(`late-${path}`, { 'dogwooddale-deadline-ms': '60000' }), method === 'GET' ? undefined : 'body')
        return { path, caller }
      }))
      await new Promise(resolve => setTimeout(resolve, 100))
      while (exit.at === undefined) {
        await clock.advance(stepMilliseconds)
        await new Promise(resolve => setTimeout(resolve, 1))
      }
      await host.close()
      await waitUntil(() => sent.every(({ caller }) => caller === undefined || caller.closed))
      const results = sent.map(({ path, caller }) => {
        const isPassedOn = [...app, ...models].some(worker => worker.requests.some(request => request.path === path))
        const [, status = 'none'] = /^HTTP\/1.1 (\d+)/.exec(caller?.received ?? '') ?? []
        return { path, at, isPassedOn, status }
      })
      const exitedAfter = exit.at - startedAt
      for (const { path, isPassedOn, status } of results) {
        const expected = !isPassedOn ? ['503', 'none'] : path.startsWith('/begun/') ? ['200'] : ['502', '504']
        const isExpected = expected.includes(status)
        expect({ path, at, isPassedOn, status, isExpected }).toEqual({ path, at, isPassedOn, status, isExpected: true })
        // A stream that is cut counts as lost unless its worker was at work in the last sixth of the grace period.
        if (status === '200') expect(exitedAfter).toBeGreaterThan(graceSeconds * 1000 * 5 / 6)
      }
      expect(exitedAfter).toBeLessThan(graceSeconds * 1000)
      await platform.stop()
      platform = undefined
    }
  })
})

// Guards against a request that a worker has run, but whose response waits behind a stream that the exit cuts.
test.each([
  ['GET', '/reads/1', 100],
  ['POST', '/votes/1', 100],
  ['POST', '/votes/1', 2500],
  ['POST', '/votes/1', 5000],
  ['POST', '/answers/1', 2500]
])('%s %s, pipelined behind a stream %d ms after the start of a stop, is not passed on unless the stream ends', async (method, path, at) => {
  for (const ends of [false, true]) {
    const clock = new ManualClock()
    const configuration = configurationDocument(1, { routes: [begun] })
    platform = await startPlatform({ clock, appWorkers: 1, modelWorkers: 1, configuration })
    const { host, app, models } = platform
    for (const worker of models) neverEnd(worker)
    const caller = await connectNew()
    caller.send('POST', '/begun/1', requestHeaders('stream', { 'dogwooddale-deadline-ms': '60000' }), 'post')
    await waitUntil(() => caller.received.includes('data: a'))
    const stopped = host.stop()
    await clock.advance(at)
    caller.send(method, path, requestHeaders('late'), method === 'GET' ? undefined : 'body')
    await new Promise(resolve => setTimeout(resolve, 50))
    const received = (): string[] => [...app, ...models].flatMap(worker => worker.requests.map(request => request.path))
    const countPassedOn = (): number => received().filter(other => other === path).length
    expect(countPassedOn()).toBe(0)
    if (ends) {
      models[0]!.requests[0]!.socket.write('0\r\n\r\n')
      const isTaken = at < 2600
      if (isTaken) await waitUntil(() => countPassedOn() === 1)
      const hasStatus = (): boolean => caller.received.split('HTTP/1.1 ')[2]?.startsWith(isTaken ? '200' : '503') === true
      if (path !== '/answers/1') await waitUntil(hasStatus)
    }
    await clock.advance(7500)
    await stopped
    await waitUntil(() => caller.closed)
    await platform.stop()
    platform = undefined
  }
})

// Guards against a second signal that shortens a stop, so that open requests are cut.
test('a second SIGTERM, and settings with another grace period, change nothing about a stop that has begun', async () => {
  const clock = new ManualClock()
  platform = await startPlatform({ clock, appWorkers: 1, modelWorkers: 1 })
  const { host, store, app } = platform
  neverEnd(app[0]!)
  const caller = await connectNew()
  caller.send('POST', '/votes/1', requestHeaders('r1', { 'dogwooddale-deadline-ms': '60000' }), 'body')
  await app[0]!.waitForRequests(1)
  const exit: { at?: number } = {}
  const stopped = host.stop()
  stopped.then(() => { exit.at = clock.monotonic() }, () => {})
  await clock.advance(1000)
  host.reload(testSettings(store, { graceSeconds: 2 }))
  expect(host.stop()).toBe(stopped)
  await clock.advance(3900)
  expect([exit.at, caller.received]).toEqual([undefined, ''])
  // The time limit of the route passes at 5 s.
  await clock.advance(200)
  expect((await caller.readResponse()).status).toBe(502)
})
