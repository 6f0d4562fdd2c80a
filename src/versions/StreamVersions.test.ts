/**
 * Guards against a version that is taken for the only one although another may have begun streams, and against versions that
 * are never registered, or for ever.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { failure, type Failure, ManualClock, type Pool, type RequestId, type WorkerId } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { StreamVersions, type VersionedWorker } from './StreamVersions.js'
import { type RegisteredVersions, type StreamBegin, type StreamId, VersionExchange } from './VersionExchange.js'

const pool = 'llm' as Pool
const request = 'r-1' as RequestId
const unavailable = failure('platform_unavailable', 'refused')

/** What all hosts of a test share. */
class SharedExchange extends VersionExchange {
  versions = new Map<Pool, ReadonlySet<string>>()
  begins: StreamBegin[] = []
  reads = 0
  registrations = 0
  mode: 'normal' | 'refused' | 'silent' = 'normal'

  async readRegistered (): Promise<Result<RegisteredVersions, Failure>> {
    this.reads += 1
    if (this.mode === 'silent') return await new Promise(() => {})
    return this.mode === 'refused' ? Result.err(unavailable) : Result.ok(new Map(this.versions))
  }

  async register (registered: Pool, versions: ReadonlySet<string>): Promise<Result<void, Failure>> {
    this.registrations += 1
    this.versions.set(registered, versions)
    return Result.ok(undefined)
  }

  publish (begins: readonly StreamBegin[]): void {
    this.begins.push(...begins)
  }

  async readBegins (stream: StreamId): Promise<Result<readonly StreamBegin[], Failure>> {
    return Result.ok(this.begins.filter(begin => begin.pool === stream.pool && begin.request === stream.request))
  }
}

let clock: ManualClock
let exchange: SharedExchange
let workers: VersionedWorker[]
let hasDuty: boolean

function createHost (): StreamVersions {
  return new StreamVersions({
    exchange,
    workers: () => new Map([[pool, workers]]),
    hasDuty: () => hasDuty,
    clock,
    events: discardingEventLog(clock),
    random: () => 0.5
  })
}

function worker (id: string, softwareVersion: string | undefined): VersionedWorker {
  return { id: id as WorkerId, softwareVersion }
}

/** Lets a host check its versions for a time. */
async function run (host: StreamVersions, milliseconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
    await host.check()
    await clock.advance(100)
  }
}

function registered (): string[] {
  return [...exchange.versions.get(pool) ?? []].sort()
}

beforeEach(() => {
  clock = new ManualClock()
  exchange = new SharedExchange()
  workers = [worker('w1', 'v1')]
  hasDuty = true
})

test('a new stream begins at a registered version, and at any other only if there is none', async () => {
  const host = createHost()
  await run(host, 1000)
  workers = [worker('w1', 'v1'), worker('w2', 'v2'), worker('w3', undefined)]
  expect(host.eligible(pool, workers).map(({ id }) => id)).toEqual(['w1'])
  expect(host.eligible(pool, workers.slice(1)).map(({ id }) => id)).toEqual(['w2', 'w3'])
  await run(host, 1000)
  expect(registered()).toEqual(['v1', 'v2'])
  expect(host.eligible(pool, workers).map(({ id }) => id)).toEqual(['w1', 'w2'])
})

test.each([
  ['at once by the host with the duty', true, 400],
  ['soon by another host if that one does not', false, 1000]
])('a version is registered %s, and each host reads it once', async (_name, duty, milliseconds) => {
  hasDuty = duty
  const hosts = [createHost(), createHost(), createHost()]
  for (const host of hosts) await host.check()
  await clock.advance(0)
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 100) {
    for (const host of hosts) await host.check()
    await clock.advance(100)
  }
  expect([registered(), exchange.registrations]).toEqual([['v1'], 1])
  expect(exchange.reads).toBeLessThanOrEqual(9)
})

// Guards against calls to a store that is down, each of which is charged.
test('a store that does not answer is asked less and less often', async () => {
  const host = createHost()
  exchange.mode = 'refused'
  await run(host, 20_000)
  expect(exchange.reads).toBeLessThan(10)
  exchange.mode = 'normal'
  await run(host, 4000)
  expect(registered()).toEqual(['v1'])
})

// Guards against a host that was cut off while a second version was registered, and takes up streams of that.
test('a host that knows one version asks whether there are others before it takes up a stream', async () => {
  const stale = createHost()
  await run(stale, 1000)
  exchange.versions.set(pool, new Set(['v1', 'v2']))
  exchange.begins.push({ pool, request, version: 'v2', worker: 'w2' as WorkerId })
  expect((await stale.versionOf(pool, request)).unwrapOr('unknown')).toBe('v2')
  expect((await stale.versionOf(pool, 'other' as RequestId)).isErr).toBe(true)
})

// Guards against a caller who waits for a store that does not answer.
test.each(['refused', 'silent'] as const)('a stream of another host is refused within a second while the store is %s', async mode => {
  const host = createHost()
  await run(host, 1000)
  exchange.mode = mode
  const version = host.versionOf(pool, request)
  await clock.advance(1000)
  expect((await version).isErr).toBe(true)
})

test('streams that began before a second version appeared are published once, and later ones at their first event', async () => {
  const host = createHost()
  await run(host, 1000)
  host.recordBegin({ pool, request }, workers[0]!)
  expect(exchange.begins).toEqual([])
  workers = [worker('w1', 'v1'), worker('w2', 'v2')]
  await run(host, 1000)
  host.recordBegin({ pool, request: 'r-2' as RequestId }, workers[1]!)
  expect(exchange.begins.map(begin => [begin.request, begin.version])).toEqual([[request, 'v1'], ['r-2', 'v2']])
})

// Guards against a worker that has restarted under its id with another version, which its entry tells late.
test('the version of a stream is uncertain once its worker is listed with another one', async () => {
  const host = createHost()
  await run(host, 1000)
  host.recordBegin({ pool, request }, workers[0]!)
  expect((await host.versionOf(pool, request)).unwrapOr('unknown')).toBe('v1')
  workers = [worker('w1', 'v2')]
  expect((await host.versionOf(pool, request)).isErr).toBe(true)
})

test('a version without workers stays registered for minutes, and is then removed by the host with the duty', async () => {
  const host = createHost()
  exchange.versions.set(pool, new Set(['v0', 'v1']))
  await run(host, 290_000)
  expect(registered()).toEqual(['v0', 'v1'])
  await run(host, 20_000)
  expect(registered()).toEqual(['v1'])
})

// Guards against a store that comes back without a version whose workers have just left.
test('versions that a restored store lacks are registered again, and are not forgotten meanwhile', async () => {
  const host = createHost()
  exchange.versions.set(pool, new Set(['v0', 'v1']))
  await run(host, 1000)
  exchange.versions.set(pool, new Set(['v1']))
  host.restore()
  expect((await host.versionOf(pool, request)).isErr).toBe(true)
  await run(host, 1000)
  expect(registered()).toEqual(['v0', 'v1'])
})
