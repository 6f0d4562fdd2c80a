/**
 * Guards against more requests than a worker states that it takes from all hosts together, and against requests that are
 * refused for it although another worker takes them. Three hosts share a store, and grant permits to each other.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import type { PlatformHost } from './PlatformHost.js'
import type { FakeStore } from './testing/FakeStore.js'
import type { FakeWorker } from './testing/FakeWorker.js'
import { configurationDocument, type PlatformTest, RawCaller, requestHeaders, startHost, startPlatform, waitUntil } from './testing/platformTestSupport.js'

/** The limit that workers state, per second: low, so that few permits accrue while the test runs. */
const perSecond = 0.5

/** Longest time for which the host that granted permits before a restore of the store does not know of it, in seconds. */
const renewalSeconds = 1

/** Time at which the routes aim, in milliseconds. */
const patientMilliseconds = 60_000

type Members = ReturnType<FakeStore['copy']>['members']

const tags = { path: '/tags/1', headers: { 'content-type': 'text/event-stream' }, body: 'id: 1\ndata: 1\n\n' }
const votes = { path: '/votes/1', headers: {}, body: 'done' }

let platform: PlatformTest | undefined
let otherHosts: PlatformHost[] = []
let requests = 0

afterEach(async () => {
  await Promise.all(otherHosts.map(async host => { await host.close() }))
  await platform?.stop()
  platform = undefined
  otherHosts = []
})

/**
 * A configuration whose routes aim at a time that no test takes: a host gives a connection half of it before it tries another
 * worker.
 */
function createPatientConfiguration (): unknown {
  const document = configurationDocument(1)
  return { ...document, routes: (document.routes as object[]).map(route => ({ ...route, 'target-latency-ms': patientMilliseconds })) }
}

async function start (): Promise<PlatformTest> {
  platform = await startPlatform({ hasPeers: true, configuration: createPatientConfiguration() })
  const { store } = platform
  otherHosts = await Promise.all(['host-2', 'host-3'].map(async name => await startHost(store, { name, hasPeers: true })))
  await waitUntil(() => otherHosts.every(({ isReady }) => isReady))
  await waitUntil(() => store.calls.filter(call => call === 'GET /v1/log-owners').length >= 3)
  return platform
}

/** Sends a request to one host after the other; resolves to the status and the time after which to come back. */
async function send (path: string): Promise<{ status: number, retryAfter: number }> {
  const hosts = [platform!.host, ...otherHosts]
  requests += 1
  const caller = await RawCaller.connect(hosts[requests % hosts.length]!.addresses.callers)
  caller.send('POST', path, requestHeaders(`r${requests}`), 'text')
  try {
    const { status, headers } = await caller.readResponse()
    return { status, retryAfter: Number(headers['retry-after']) }
  } finally {
    caller.socket.destroy()
  }
}

function limit (worker: FakeWorker, { headers, body }: typeof votes): void {
  worker.onRequest = request => {
    request.socket.write(worker.responseTo(request, body, { headers: { ...headers, 'server-limit': String(perSecond) } }))
  }
}

/**
 * Sends requests until all hosts have heard of the limits, then 60 at the same time. Returns their statuses, and for each
 * limited worker the number of them that it received.
 */
async function sendAfterLimits (path: string, limited: FakeWorker[]): Promise<{ statuses: number[], received: number[] }> {
  const isKnown = (host: PlatformHost): boolean =>
    host.workers().filter(({ limitPerSecond }) => limitPerSecond === perSecond).length === limited.length
  while (![platform!.host, ...otherHosts].every(isKnown)) await send(path)
  const before = limited.map(worker => worker.requests.length)
  const startedAt = performance.now()
  const responses = await Promise.all(Array.from({ length: 60 }, async () => await send(path)))
  const received = limited.map((worker, index) => worker.requests.length - before[index]!)
  const accrued = perSecond * (performance.now() - startedAt) / 1000
  for (const count of received) expect(count).toBeLessThanOrEqual(1 + accrued)
  for (const { status, retryAfter } of responses) if (status !== 200) expect(retryAfter).toBeGreaterThan(0)
  return { statuses: responses.map(({ status }) => status), received }
}

describe.each([['votes', votes], ['streams', tags]])('%s to workers that state a limit', (_name, response) => {
  test('stay within it, summed over the hosts, and the rest is refused with the time after which to come back', async () => {
    const { app, models } = await start()
    const limited = response === tags ? models : app
    for (const worker of limited) limit(worker, response)
    const { statuses, received } = await sendAfterLimits(response.path, limited)
    const sum = received.reduce((total, count) => total + count, 0)
    expect(statuses.filter(status => status === 200)).toHaveLength(sum)
    expect(statuses.filter(status => status === 429)).toHaveLength(60 - sum)
  })

  test('go to another worker that states none', async () => {
    const { app, models } = await start()
    const [first] = response === tags ? models : app
    limit(first!, response)
    const { statuses } = await sendAfterLimits(response.path, [first!])
    expect(statuses).toEqual(Array(60).fill(200))
  })
})

// Guards against two hosts that both grant the whole limit for long, since the restored store names another holder.
test.each<[string, (members: Members) => Members]>([
  ['another host', members => new Map([...members].reverse())],
  ['a host that has left in the lost seconds', members =>
    new Map([['left.0123456789abcdef@127.0.0.1:1', [...members.values()][0]!], ...members])]
])('the limit holds over all hosts while the store comes back with %s as the one that grants', async (_name, change) => {
  const { store, app } = await start()
  for (const worker of app) limit(worker, votes)
  await sendAfterLimits(votes.path, app)
  const before = app.map(worker => worker.requests.length)
  const startedAt = performance.now()
  const copy = store.copy()
  store.restore({ ...copy, members: change(copy.members) })
  while (performance.now() - startedAt < 6000) await Promise.all(Array.from({ length: 6 }, async () => await send(votes.path)))
  const seconds = (performance.now() - startedAt) / 1000
  const received = app.map((worker, index) => worker.requests.length - before[index]!)
  for (const count of received) expect(count).toBeLessThanOrEqual(1 + perSecond * (seconds + renewalSeconds))
  // The limit is in use again.
  expect(Math.max(...received)).toBeGreaterThan(0)
})

// Guards against a limit that is taken for one of the next process under the same id.
test('a worker that has started again under its id is not limited', async () => {
  const { store, app } = await start()
  for (const worker of app) limit(worker, votes)
  const limits = (): Array<number | undefined> => platform!.host.workers().map(({ limitPerSecond }) => limitPerSecond)
  while (!limits().includes(perSecond)) await send(votes.path)
  for (const worker of app) {
    worker.onRequest = request => { request.socket.write(worker.responseTo(request, 'done')) }
    store.write('keyed.servers', worker.id, worker.createEntry('app', { born: 1_700_000_000_000, sequence: 1 }))
  }
  while (limits().includes(perSecond)) await new Promise(resolve => setImmediate(resolve))
  for (let count = 0; count < 20; count += 1) expect((await send(votes.path)).status).toBe(200)
})

// Guards against a limit that goes on although the worker does not state it any more.
test('a worker that states no limit any more is not limited', async () => {
  const { app } = await start()
  for (const worker of app) limit(worker, votes)
  const limits = (): Array<number | undefined> => platform!.host.workers().map(({ limitPerSecond }) => limitPerSecond)
  while (!limits().includes(perSecond)) await send(votes.path)
  for (const worker of app) worker.onRequest = request => { request.socket.write(worker.responseTo(request, 'done')) }
  while (limits().includes(perSecond)) await send(votes.path)
})
