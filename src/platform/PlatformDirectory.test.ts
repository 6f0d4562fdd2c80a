/**
 * Guards against removing live workers whose entries expired during an outage of the store, and against keeping workers
 * whose entries are not renewed in time after the outage.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import { ManualClock, type WorkerId } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { PlatformDirectory } from './PlatformDirectory.js'
import type { KeyedRecord } from './StoreClient.js'
import { configurationDocument } from './testing/platformTestSupport.js'

let clock: ManualClock
let connectedSince: number
let returnedAt: number
let directory: PlatformDirectory
let lossCount: number
let lines: string[]

function createRecord (id: string, overrides: Record<string, unknown> = {}): KeyedRecord {
  const value = { service: 'app', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', born: 1, sequence: 1, ...overrides }
  return { key: id, value: Buffer.from(JSON.stringify(value)) }
}

function workerIds (): WorkerId[] {
  return [...directory.pools().values()].flatMap(pool => pool.workers.map(({ id }) => id))
}

function createDirectory (): PlatformDirectory {
  return new PlatformDirectory({
    clock,
    events: new EventLog({ timeline: new Timeline('host-1', new HybridClock(clock)), level: 'info', write: line => { lines.push(line) } }),
    workersConnectedSince: () => connectedSince,
    storeReturnedAt: () => returnedAt,
    onWorkerRestarted: () => {},
    onWorkerLost: () => { lossCount += 1 }
  })
}

beforeEach(() => {
  clock = new ManualClock()
  connectedSince = -Infinity
  returnedAt = -Infinity
  lossCount = 0
  lines = []
  directory = createDirectory()
  directory.configurationReceiver.replace([{ key: 'config', value: Buffer.from(JSON.stringify(configurationDocument(1))) }], 1)
  directory.workerReceiver.replace([createRecord('worker-1'), createRecord('worker-2')], 1)
})

async function reconnectStore (present: KeyedRecord[]): Promise<void> {
  await clock.advance(10_000)
  connectedSince = clock.monotonic()
  directory.workerReceiver.replace(present, 1)
}

describe('an entry that expired during an outage of the store', () => {
  test('keeps its worker for two seconds after the reconnection, then the worker is removed', async () => {
    await reconnectStore([createRecord('worker-1')])
    expect(workerIds()).toEqual(['worker-1', 'worker-2'])
    await clock.advance(1999)
    expect(workerIds()).toEqual(['worker-1', 'worker-2'])
    await clock.advance(1)
    expect(workerIds()).toEqual(['worker-1'])
  })

  test('keeps its worker if the entry is renewed within two seconds of the reconnection', async () => {
    await reconnectStore([createRecord('worker-1')])
    await clock.advance(1500)
    directory.workerReceiver.apply([createRecord('worker-2', { sequence: 2 })])
    await clock.advance(5000)
    expect(workerIds()).toEqual(['worker-1', 'worker-2'])
  })

  test('of a draining worker removes the worker at once', async () => {
    directory.workerReceiver.apply([createRecord('worker-2', { state: 'draining', sequence: 2 })])
    await reconnectStore([createRecord('worker-1')])
    expect(workerIds()).toEqual(['worker-1'])
  })
})

function uncertainIds (): WorkerId[] {
  const workers = [...directory.pools().values()].flatMap(pool => pool.workers)
  return workers.filter(({ uncertain }) => uncertain).map(({ id }) => id)
}

// Guards against requests to workers that are gone, and against a few workers that have to carry the load of all.
test.each<[string, number, number | undefined, string[], string[]]>([
  ['a connection of this host was lost', 0, undefined, ['worker-1', 'worker-3'], ['worker-2']],
  ['a connection of this host was lost, and most entries are missing', 0, undefined, ['worker-1'], ['worker-2', 'worker-3']],
  ['the store was unavailable, and few entries are missing', 0, 0, ['worker-1', 'worker-3'], ['worker-2']],
  ['the store was unavailable, and most entries are missing', 0, 0, ['worker-1'], []],
  ['the store has been available for two seconds', 0, 2000, ['worker-1'], ['worker-2', 'worker-3']]
])('after %s, a worker is uncertain if its entry is missing', async (_name, connectedBefore, returnedBefore, present, expected) => {
  directory.workerReceiver.apply([createRecord('worker-3')])
  await clock.advance(10_000)
  connectedSince = clock.monotonic() - connectedBefore
  if (returnedBefore !== undefined) returnedAt = clock.monotonic() - returnedBefore
  directory.workerReceiver.replace(present.map(id => createRecord(id)), 1)
  expect(workerIds()).toEqual(['worker-1', 'worker-2', 'worker-3'])
  expect(uncertainIds()).toEqual(expected)
  directory.workerReceiver.apply([createRecord('worker-2', { sequence: 2 }), createRecord('worker-3', { sequence: 2 })])
  expect(uncertainIds()).toEqual([])
  await clock.advance(5000)
  expect(workerIds()).toEqual(['worker-1', 'worker-2', 'worker-3'])
})

// Guards against a grace period that begins anew with each lost connection of a host.
test('a worker that expired while the store was unavailable is removed two seconds after its return', async () => {
  await clock.advance(10_000)
  returnedAt = clock.monotonic() - 1500
  directory.workerReceiver.apply([{ key: 'worker-2', value: undefined }])
  await clock.advance(499)
  expect(workerIds()).toEqual(['worker-1', 'worker-2'])
  await clock.advance(1)
  expect(workerIds()).toEqual(['worker-1'])
})

/** Restores the store after 10 s; the entries belong to its new era. */
async function restoreStore (era: number, present: KeyedRecord[]): Promise<void> {
  await clock.advance(10_000)
  connectedSince = clock.monotonic()
  directory.workerReceiver.replace(present, era)
}

describe('an entry that a restored store brought back', () => {
  const both = [createRecord('worker-1'), createRecord('worker-2', { sequence: 5 })]

  // A worker that left in the lost seconds is sent requests that it loses, and its address may be that of another service.
  test.each<[string, KeyedRecord[]]>([
    ['drained and left', [createRecord('worker-2', { sequence: 6, state: 'draining' }), { key: 'worker-2', value: undefined }]],
    ['left after its last report', [createRecord('worker-2', { sequence: 5 }), { key: 'worker-2', value: undefined }]]
  ])('does not bring back a worker that %s', async (_name, records) => {
    directory.workerReceiver.apply(records)
    await restoreStore(2, both)
    expect(workerIds()).toEqual(['worker-1'])
    await clock.advance(5000)
    directory.workerReceiver.apply([{ key: 'worker-2', value: undefined }])
    await clock.advance(60_000)
    expect(workerIds()).toEqual(['worker-1'])
  })

  // The same worker after another restore.
  test('does not bring back a worker that left at the second restore in a row', async () => {
    directory.workerReceiver.apply([createRecord('worker-2', { sequence: 6, state: 'draining' }), { key: 'worker-2', value: undefined }])
    await restoreStore(2, both)
    await restoreStore(3, both)
    expect(workerIds()).toEqual(['worker-1'])
  })

  // A worker that lives on is of use at once.
  test.each<[string, KeyedRecord]>([
    ['reports again', createRecord('worker-2', { sequence: 6 })],
    ['restarts under its id', createRecord('worker-2', { born: 2, sequence: 1 })]
  ])('brings back a worker as soon as it %s', async (_name, record) => {
    directory.workerReceiver.apply([createRecord('worker-2', { sequence: 5 }), { key: 'worker-2', value: undefined }])
    await restoreStore(2, both)
    expect(workerIds()).toEqual(['worker-1'])
    directory.workerReceiver.apply([record])
    expect(workerIds()).toEqual(['worker-1', 'worker-2'])
  })

  // The entry of a live worker may expire during the outage and stay as it was afterwards.
  test('brings back a worker that did not drain if its entry is still there after it would have expired', async () => {
    directory.workerReceiver.apply([{ key: 'worker-2', value: undefined }])
    await restoreStore(2, [createRecord('worker-1'), createRecord('worker-2')])
    await clock.advance(14_999)
    expect(workerIds()).toEqual(['worker-1'])
    await clock.advance(1)
    expect(workerIds()).toEqual(['worker-1', 'worker-2'])
  })

  // A worker that is known again would lose its place at the next restore.
  test('keeps a worker that came back after its removal at the next restore', async () => {
    directory.workerReceiver.apply([{ key: 'worker-2', value: undefined }, createRecord('worker-2')])
    await restoreStore(2, [createRecord('worker-1'), createRecord('worker-2')])
    expect(workerIds()).toEqual(['worker-1', 'worker-2'])
    directory.workerReceiver.apply([createRecord('worker-2', { state: 'draining', sequence: 2 })])
    expect([...directory.pools().values()].flatMap(pool => pool.workers).at(-1)).toMatchObject({ id: 'worker-2', draining: true })
  })

  // Within one era an entry that is written after a deletion is newer, whatever its number.
  test('brings back a worker at once if it was removed in the same era', async () => {
    await restoreStore(2, [createRecord('worker-1')])
    await clock.advance(2000)
    expect(workerIds()).toEqual(['worker-1'])
    directory.workerReceiver.apply([createRecord('worker-2')])
    expect(workerIds()).toEqual(['worker-1', 'worker-2'])
  })

  // A worker that reported its drain or another role in the lost seconds has its older state back.
  test('does not make a draining worker ready, and does not change a role back', async () => {
    directory.workerReceiver.apply([
      createRecord('worker-1', { sequence: 6, stage: 'prefill' }), createRecord('worker-2', { sequence: 6, state: 'draining' })
    ])
    await restoreStore(2, [createRecord('worker-1', { sequence: 5, stage: 'decode' }), createRecord('worker-2', { sequence: 5 })])
    const workers = [...directory.pools().values()].flatMap(pool => pool.workers)
    expect(workers.map(({ id, draining }) => [id, draining])).toEqual([['worker-1', false], ['worker-2', true]])
    expect(directory.get('/fleet/roles/worker-1')?.value).toEqual({ role: 'prefill' })
  })

  // A worker that is listed, though with an older entry, is alive and would stay out until its entry changes.
  test('keeps a worker that a second restore lists again while its entry was missing', async () => {
    directory.workerReceiver.apply([createRecord('worker-2', { sequence: 6, stage: 'prefill' })])
    await restoreStore(2, [createRecord('worker-1')])
    await clock.advance(1000)
    connectedSince = clock.monotonic()
    directory.workerReceiver.replace(both, 3)
    await clock.advance(60_000)
    expect(workerIds()).toEqual(['worker-1', 'worker-2'])
  })

  // Each restore gives the store the whole time again within which it notices that a worker is gone.
  test('of a worker that left is not taken shortly after a second restore', async () => {
    directory.workerReceiver.apply([createRecord('worker-2', { sequence: 5 }), { key: 'worker-2', value: undefined }])
    await restoreStore(2, both)
    await clock.advance(4000)
    await restoreStore(3, both)
    await clock.advance(3500)
    expect(workerIds()).toEqual(['worker-1'])
    directory.workerReceiver.apply([{ key: 'worker-2', value: undefined }])
    await clock.advance(60_000)
    expect(workerIds()).toEqual(['worker-1'])
  })

  // Other programs write to the topic, and workers come and go under new ids.
  test('is remembered for a bounded number of workers', async () => {
    const ids = Array.from({ length: 5000 }, (_, number) => `worker-${number + 10}`)
    directory.workerReceiver.apply(ids.flatMap(id => [createRecord(id), { key: id, value: undefined }]))
    await restoreStore(2, [...both, ...ids.map(id => createRecord(id))])
    // The first ones are forgotten, and count as new workers.
    expect(workerIds()).toHaveLength(2 + 5000 - 4096)
  })
})

describe('the configuration of a restored store', () => {
  const route = (name: string): Record<string, unknown> => ({
    name, host: 'forum.example', 'path-prefix': `/${name}/`, kind: 'safe', 'timeout-ms': 5000, service: 'app'
  })

  function createConfiguration (version: number, ...routes: string[]): KeyedRecord {
    return { key: 'config', value: Buffer.from(JSON.stringify(configurationDocument(version, { routes: routes.map(route) }))) }
  }

  function inForce (): [number | undefined, string[]] {
    const configuration = directory.routes?.configuration
    return [configuration?.version, configuration?.routes.slice(4).map(({ name }) => name) ?? []]
  }

  const unusable: KeyedRecord = { key: 'config', value: Buffer.from('{"version":9,"routes":') }
  const deleted: KeyedRecord = { key: 'config', value: undefined }

  // Each case starts with version 3, which adds a route, in era 1. A confirmed change must not be reverted, and the
  // operator's latest change must not be ignored for good.
  test.each<[string, Array<{ era?: number, record?: KeyedRecord }>, [number, string[]]]>([
    ['an older version is ignored', [{ era: 2, record: createConfiguration(2) }], [3, ['added']]],
    ['a missing configuration keeps the one in force', [{ era: 2 }], [3, ['added']]],
    ['a deleted configuration keeps the one in force', [{ era: 2, record: createConfiguration(2) }, { record: deleted }], [3, ['added']]],
    ['versions that are written again are ignored up to the one in force', [
      { era: 2, record: createConfiguration(1) },
      { record: createConfiguration(2) },
      { record: createConfiguration(3, 'added') },
      { record: createConfiguration(4, 'added', 'next') }
    ], [4, ['added', 'next']]],
    ['the version in force with other content is taken', [
      { era: 2, record: createConfiguration(2) }, { record: createConfiguration(3, 'other') }
    ], [3, ['other']]],
    ['the version in force with other content is taken from the first read', [
      { era: 2, record: createConfiguration(3, 'other') }
    ], [3, ['other']]],
    ['the version in force with other content is ignored once the era confirmed it', [
      { era: 2, record: createConfiguration(3, 'added') }, { record: createConfiguration(3, 'other') }
    ], [3, ['added']]],
    ['the version in force with other content is ignored within one era', [{ record: createConfiguration(3, 'other') }], [3, ['added']]],
    ['an unusable configuration keeps the one in force', [{ era: 2, record: unusable }], [3, ['added']]],
    ['an unusable configuration does not hide a later one', [
      { era: 2, record: unusable }, { record: createConfiguration(3, 'other') }
    ], [3, ['other']]],
    ['of two restores, the version in force with other content is taken again', [
      { era: 2, record: createConfiguration(3, 'other') }, { era: 3, record: createConfiguration(3, 'latest') }
    ], [3, ['latest']]],
    ['of two restores, the content that was replaced after the first one is ignored after the second one', [
      { era: 2, record: createConfiguration(2) },
      { record: createConfiguration(3, 'other') },
      { era: 3, record: createConfiguration(3, 'added') }
    ], [3, ['other']]]
  ])('%s', (_name, steps, expected) => {
    directory.configurationReceiver.apply([createConfiguration(3, 'added')])
    for (const { era, record } of steps) {
      const records = record === undefined ? [] : [record]
      if (era === undefined) directory.configurationReceiver.apply(records)
      else directory.configurationReceiver.replace(records, era)
    }
    expect(inForce()).toEqual(expected)
  })

  // An operator whose change is ignored has to learn why; each read of the topic would repeat the line.
  test('logs once that an older version is ignored', () => {
    directory.configurationReceiver.apply([createConfiguration(3, 'added')])
    for (let read = 0; read < 3; read += 1) directory.configurationReceiver.replace([createConfiguration(2)], 2)
    directory.configurationReceiver.replace([createConfiguration(2)], 3)
    expect(lines.filter(line => line.includes('event=configuration_older_than_in_force'))).toEqual([
      expect.stringContaining('version=2 in_force=3 era=2'), expect.stringContaining('version=2 in_force=3 era=3')
    ])
  })

  // A host that has just started knows only what the restored store tells it.
  test('is taken by a host that starts after the restore, and the newer one when it is written again', () => {
    directory = createDirectory()
    directory.configurationReceiver.replace([createConfiguration(2)], 2)
    expect(inForce()).toEqual([2, []])
    directory.configurationReceiver.apply([createConfiguration(3, 'added')])
    expect(inForce()).toEqual([3, ['added']])
  })
})

// Guards against requests to a worker that left, since a write of it arrives late.
test('a late entry of a worker that drained and left does not bring it back', () => {
  directory.workerReceiver.apply([
    createRecord('worker-2', { sequence: 9, state: 'draining' }), { key: 'worker-2', value: undefined }, createRecord('worker-2', { sequence: 8 })
  ])
  expect(workerIds()).toEqual(['worker-1'])
})

test('an entry that is deleted while the store is connected removes its worker at once', () => {
  directory.workerReceiver.apply([{ key: 'worker-2', value: undefined }])
  expect(workerIds()).toEqual(['worker-1'])
})

// Guards against a host without a loss of its own that learns late why workers are lost, since its connection is silent.
test.each<[string, KeyedRecord[], number]>([
  ['whose entry disappears is lost', [{ key: 'worker-1', value: undefined }], 1],
  ['that restarts is lost', [createRecord('worker-1', { born: 2 })], 1],
  ['that drains before its entry disappears is not lost', [
    createRecord('worker-1', { state: 'draining', sequence: 2 }), { key: 'worker-1', value: undefined }
  ], 0],
  ['that reports again is not lost', [createRecord('worker-1', { sequence: 2 })], 0]
])('a worker %s', (_name, records, count) => {
  directory.workerReceiver.apply(records)
  expect(lossCount).toBe(count)
})

/** Log lines above the level `info`. */
function problems (): string[] {
  return lines.filter(line => !line.includes(' level=info '))
}

// Guards against thousands of log lines, at each read of the whole list, about records of another program.
test('entries that name no worker are logged with one line a read, and change no worker', () => {
  const odd = Array.from({ length: 5000 }, (_, index) => ({ key: `odd-${index}`, value: Buffer.from('{') }))
  directory.workerReceiver.replace([...odd, createRecord('worker-1', { sequence: 2 }), { key: 'worker-2', value: Buffer.from('[') }], 1)
  expect(workerIds()).toEqual(['worker-1', 'worker-2'])
  expect(problems()).toHaveLength(1)
  expect(problems()[0]).toContain('event=worker_entries_unusable count=5001 ')
  expect(problems()[0]!.length).toBeLessThan(3000)
})

test('a configuration with thousands of faults is refused with one short log line', () => {
  const routes = Array.from({ length: 3000 }, () => ({}))
  directory.configurationReceiver.apply([{ key: 'config', value: Buffer.from(JSON.stringify({ ...configurationDocument(2), routes })) }])
  expect(directory.routes?.configuration.version).toBe(1)
  expect(problems()).toHaveLength(1)
  expect(problems()[0]!.length).toBeLessThan(1500)
})
