/**
 * Guards against streams whose events come from workers of two software versions, in one response or over the tries of a
 * caller, and against streams that do not go on although workers of their version serve. Hosts, store and workers speak over
 * real sockets.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import type { PlatformHost } from './PlatformHost.js'
import { streamTopic, versionTopic } from './StreamVersionTopics.js'
import type { FakeWorker, ReceivedRequest } from './testing/FakeWorker.js'
import {
  configurationDocument, type PlatformTest, RawCaller, requestHeaders, startHost, startPlatform, waitUntil
} from './testing/platformTestSupport.js'

const pool = 'llm'

/** Events of a complete stream. */
const eventCount = 5

let platform: PlatformTest
let hosts: PlatformHost[] = []
/** Versions of the workers, by number. */
let versions: unknown[]
/** Requests that reached workers, with the version of the worker. */
let runs: Array<{ request: ReceivedRequest, version: unknown }>

function writeEntry (number: number, overrides: Record<string, unknown> = {}): void {
  const worker = platform.models[number]!
  platform.store.write('keyed.servers', worker.id, worker.createEntry(pool, {
    stage: 'colocated', version: versions[number], sequence: 2, ...overrides
  }))
}

/** Registered versions of the pool, as hosts that read the store would see them. */
function registered (): string[] {
  return (JSON.parse(platform.store.newestValue(versionTopic, pool) ?? '{"versions":[]}') as { versions: string[] }).versions
}

/** Starts a platform with workers of the given versions, and waits until these are registered. `null`: not listed yet. */
async function start (workerVersions: unknown[]): Promise<void> {
  versions = workerVersions
  runs = []
  platform = await startPlatform({ modelWorkers: workerVersions.length, configuration: null })
  for (const [number, version] of versions.entries()) {
    if (version === null) platform.store.write('keyed.servers', platform.models[number]!.id, undefined)
    else writeEntry(number)
  }
  platform.store.write('keyed.op', 'config', configurationDocument(1))
  for (const [number, worker] of platform.models.entries()) {
    worker.onRequest = request => {
      runs.push({ request, version: versions[number] })
      stream(worker, request, versions[number], eventCount)
    }
  }
  await waitUntil(() => platform.host.isReady)
  const texts = new Set(versions.filter(version => typeof version === 'string' && version !== ''))
  await waitUntil(() => registered().length === texts.size)
}

/** Sends the events after the one that the request names up to `last`, and the end of the response after the last one. */
function stream (worker: FakeWorker, request: ReceivedRequest, version: unknown, last: number): void {
  const { socket, headers } = request
  const first = Number(headers['last-event-id'] ?? 0) + 1
  const head = worker.responseTo(request, '', {
    headers: { 'content-length': undefined, 'transfer-encoding': 'chunked', 'content-type': 'text/event-stream' }
  })
  socket.write(head)
  for (let id = first; id <= last; id += 1) {
    const event = `id: ${id}\ndata: ${String(version)}\n\n`
    socket.write(`${event.length.toString(16)}\r\n${event}\r\n`)
  }
  if (last === eventCount) socket.write('0\r\n\r\n')
}

/** Makes each of some workers break off its first stream after so many events. */
function breakOffAfter (events: number, workers: readonly number[]): void {
  const breaking = new Set(workers)
  for (const [number, worker] of platform.models.entries()) {
    worker.onRequest = request => {
      runs.push({ request, version: versions[number] })
      const isBreaking = breaking.delete(number)
      stream(worker, request, versions[number], isBreaking ? events : eventCount)
      if (isBreaking) setTimeout(() => { request.socket.destroy() }, 20)
    }
  }
}

/** Makes the workers keep streams open after so many events, unless the stream has gone on already. */
function holdAfter (events: number): void {
  for (const [number, worker] of platform.models.entries()) {
    worker.onRequest = request => {
      runs.push({ request, version: versions[number] })
      stream(worker, request, versions[number], request.headers['last-event-id'] === undefined ? events : eventCount)
    }
  }
}

async function open (host: PlatformHost, id: string, headers: Record<string, string> = {}): Promise<RawCaller> {
  const caller = await RawCaller.connect(host.addresses.callers)
  caller.send('GET', `/answers/${id}`, requestHeaders(id, headers))
  return caller
}

/** The versions of the events that a caller has received, one for each event. */
function versionsOf (caller: RawCaller): string[] {
  return [...caller.received.matchAll(/data: (\S+)/g)].map(([, version]) => version!)
}

function isEnded (caller: RawCaller): boolean {
  return caller.closed || caller.received.includes('\r\n0\r\n\r\n') || /^HTTP\/1\.1 [45]/.test(caller.received)
}

function statusOf (caller: RawCaller): number {
  return Number(caller.received.split(' ')[1])
}

/** Begins streams at a host and returns the versions of their first events, by request. */
async function beginStreams (host: PlatformHost, count: number): Promise<Map<string, string>> {
  holdAfter(2)
  const ids = Array.from({ length: count }, (_, number) => `first-${number}`)
  const callers = await Promise.all(ids.map(async id => await open(host, id)))
  await waitUntil(() => callers.every(caller => versionsOf(caller).length === 2))
  return new Map(ids.map((id, number) => [id, versionsOf(callers[number]!)[0]!]))
}

/** Takes streams up at a host; returns the status and the versions of the rest of each. */
async function takeUp (
  host: PlatformHost,
  ids: Iterable<string>,
  headersOf = (id: string): Record<string, string> => ({ 'last-event-id': '2', resumes: id })
): Promise<Map<string, { status: number, versions: string[] }>> {
  const taken = await Promise.all([...ids].map(async (id): Promise<[string, RawCaller]> =>
    [id, await open(host, `again-${id}`, headersOf(id))]))
  await waitUntil(() => taken.every(([, caller]) => isEnded(caller)))
  return new Map(taken.map(([id, caller]) => [id, { status: statusOf(caller), versions: versionsOf(caller) }]))
}

async function startFurtherHost (name: string): Promise<PlatformHost> {
  const host = await startHost(platform.store, { name })
  hosts.push(host)
  await waitUntil(() => host.isReady)
  return host
}

/** Waits until the begin of so many streams was published. */
async function waitForBegins (count: number): Promise<void> {
  const published = (): number => Array.from({ length: 8 }, (_, partition) =>
    platform.store.recordCount(partition === 0 ? streamTopic : `${streamTopic}#${partition}`)).reduce((sum, size) => sum + size, 0)
  await waitUntil(() => published() >= count)
}

afterEach(async () => {
  for (const host of hosts) await host.close()
  hosts = []
  await platform.stop()
})

describe('with workers of two software versions', () => {
  test('a stream that breaks off goes on at the version that began it, in the same response', async () => {
    await start(['v1', 'v1', 'v2', 'v2'])
    breakOffAfter(2, [0, 2])
    const callers: RawCaller[] = []
    for (let number = 0; number < 16; number += 1) {
      const caller = await open(platform.host, `r-${number}`)
      await waitUntil(() => isEnded(caller))
      callers.push(caller)
    }
    for (const caller of callers) expect(versionsOf(caller)).toEqual(Array(eventCount).fill(versionsOf(caller)[0]))
    const resumed = runs.filter(({ request: { headers } }) => headers['last-event-id'] !== undefined)
    expect(new Set(resumed.map(({ version }) => version))).toEqual(new Set(['v1', 'v2']))
  })

  test.each([
    ['which began it', async () => platform.host],
    ['which did not begin it', async () => await startFurtherHost('host-2')],
    ['which starts after all others were killed', async () => {
      await platform.host.close()
      return await startFurtherHost('host-2')
    }]
  ])('a stream that its caller takes up goes on at the version that began it, at a host %s', async (_name, hostOf) => {
    await start(['v1', 'v1', 'v2', 'v2'])
    const begun = await beginStreams(platform.host, 24)
    await waitForBegins(24)
    expect(new Set(begun.values())).toEqual(new Set(['v1', 'v2']))
    const taken = await takeUp(await hostOf(), begun.keys())
    for (const [id, version] of begun) {
      expect([id, taken.get(id)]).toEqual([id, { status: 200, versions: [version, version, version] }])
    }
  })

  // A caller names the request of the first event, however often the stream was taken up since.
  test('a stream that was taken up before goes on at the version that began it', async () => {
    await start(['v1', 'v1', 'v2', 'v2'])
    const begun = await beginStreams(platform.host, 12)
    await waitForBegins(12)
    const host = await startFurtherHost('host-2')
    await takeUp(host, begun.keys())
    const other = await startFurtherHost('host-3')
    const taken = await takeUp(other, begun.keys(), id => ({ 'last-event-id': '4', resumes: id }))
    for (const [id, version] of begun) expect([id, taken.get(id)?.versions]).toEqual([id, [version]])
  })

  test('a stream is refused at once if no worker of the version that began it is left', async () => {
    await start(['v1', 'v1', 'v2', 'v2'])
    const begun = await beginStreams(platform.host, 24)
    await waitForBegins(24)
    for (const number of [0, 1]) platform.store.write('keyed.servers', platform.models[number]!.id, undefined)
    await waitUntil(() => platform.host.workers().filter(worker => worker.pool === pool).length === 2)
    await platform.host.close()
    const host = await startFurtherHost('host-2')
    const ran = runs.length
    const taken = await takeUp(host, begun.keys())
    for (const [id, version] of begun) {
      const expected = version === 'v1' ? { status: 503, versions: [] } : { status: 200, versions: ['v2', 'v2', 'v2'] }
      expect([id, taken.get(id)]).toEqual([id, expected])
    }
    expect(runs.slice(ran).filter(({ version }) => version === 'v1')).toEqual([])
  })

  // Guards against a guess, and against callers that choose a version for others.
  test.each<[string, Record<string, string>]>([
    ['names no request', { 'last-event-id': '2' }],
    ['names a request that was never seen', { 'last-event-id': '2', resumes: 'never-seen' }],
    ['names a request of impossible length', { 'last-event-id': '2', resumes: 'x'.repeat(2000) }],
    ['names two requests', { 'last-event-id': '2', resumes: 'first-0, first-1' }],
    ['names a request that was never seen, but no event', { resumes: 'never-seen' }]
  ])('a stream whose caller %s is refused without a run', async (_name, headers) => {
    await start(['v1', 'v1', 'v2', 'v2'])
    await beginStreams(platform.host, 2)
    const host = await startFurtherHost('host-2')
    const ran = runs.length
    expect((await takeUp(host, ['odd'], () => headers)).get('odd')?.status).toBe(503)
    expect(runs).toHaveLength(ran)
  })

  test('a stream is refused without a run if several versions have begun streams of its name', async () => {
    await start(['v1', 'v2'])
    holdAfter(2)
    const other = await startFurtherHost('host-2')
    const seen = new Set<string>()
    while (seen.size < 2) {
      const caller = await open(seen.size === 0 ? platform.host : other, 'same')
      await waitUntil(() => versionsOf(caller).length === 2)
      seen.add(versionsOf(caller)[0]!)
    }
    await waitForBegins(2)
    const third = await startFurtherHost('host-3')
    const ran = runs.length
    expect((await takeUp(third, ['same'])).get('same')?.status).toBe(503)
    expect(runs).toHaveLength(ran)
  })

  test('a stream of another host is refused without a run while the store cannot be asked', async () => {
    await start(['v1', 'v1', 'v2', 'v2'])
    const begun = await beginStreams(platform.host, 4)
    const host = await startFurtherHost('host-2')
    platform.store.mode = 'refused'
    const ran = runs.length
    for (const { status } of (await takeUp(host, begun.keys())).values()) expect(status).toBe(503)
    expect(runs).toHaveLength(ran)
    const taken = await takeUp(platform.host, begun.keys())
    for (const [id, version] of begun) expect([id, taken.get(id)?.versions]).toEqual([id, [version, version, version]])
  })
})

// Guards against streams of the first version that do not go on since they began before the second one appeared.
test('streams that are open when a second version appears go on at the first', async () => {
  await start(['v1', 'v1', null, null])
  const begun = await beginStreams(platform.host, 12)
  versions = ['v1', 'v1', 'v2', 'v2']
  for (const number of [2, 3]) writeEntry(number)
  await waitUntil(() => registered().length === 2)
  await waitForBegins(12)
  await platform.host.close()
  const taken = await takeUp(await startFurtherHost('host-2'), begun.keys())
  for (const id of begun.keys()) expect([id, taken.get(id)?.versions]).toEqual([id, ['v1', 'v1', 'v1']])
})

// Guards against take-ups after all workers of the old version have left and all hosts have restarted.
test('streams of a version whose workers have all left are not taken up at the next one', async () => {
  await start(['v1', 'v1', null, null])
  const begun = await beginStreams(platform.host, 12)
  await platform.host.close()
  for (const number of [0, 1]) platform.store.write('keyed.servers', platform.models[number]!.id, undefined)
  versions = ['v1', 'v1', 'v2', 'v2']
  for (const number of [2, 3]) writeEntry(number)
  const ran = runs.length
  const taken = await takeUp(await startFurtherHost('host-2'), begun.keys())
  for (const id of begun.keys()) expect([id, taken.get(id)]).toEqual([id, { status: 503, versions: [] }])
  expect(runs).toHaveLength(ran)
})

// Guards against calls to the store, and refusals, while there is nothing to confuse.
test('with one version, every stream can be taken up, and no begin is published', async () => {
  await start(['v1', 'v1'])
  const begun = await beginStreams(platform.host, 6)
  const host = await startFurtherHost('host-2')
  for (const headers of [{ 'last-event-id': '2' }, { 'last-event-id': '2', resumes: 'never-seen' }] as Array<Record<string, string>>) {
    const taken = await takeUp(host, begun.keys(), () => headers)
    for (const id of begun.keys()) expect(taken.get(id)?.versions).toEqual(['v1', 'v1', 'v1'])
  }
  expect(platform.store.recordCount(streamTopic)).toBe(0)
})

// Guards against unknown versions that are taken for the same one.
test('workers whose entries name no version take no stream up', async () => {
  await start([undefined, undefined, 7, ''])
  breakOffAfter(2, [0, 1, 2, 3])
  const caller = await open(platform.host, 'r-0')
  await waitUntil(() => isEnded(caller))
  expect(versionsOf(caller)).toHaveLength(2)
  expect([...(await takeUp(platform.host, ['r-0'])).values()]).toEqual([{ status: 503, versions: [] }])
})
