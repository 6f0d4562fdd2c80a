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
let directory: PlatformDirectory
let lossCount: number

function createRecord (id: string, overrides: Record<string, unknown> = {}): KeyedRecord {
  const value = { service: 'app', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', born: 1, sequence: 1, ...overrides }
  return { key: id, value: Buffer.from(JSON.stringify(value)) }
}

function workerIds (): WorkerId[] {
  return [...directory.pools().values()].flatMap(pool => pool.workers.map(({ id }) => id))
}

beforeEach(() => {
  clock = new ManualClock()
  connectedSince = -Infinity
  lossCount = 0
  directory = new PlatformDirectory({
    clock,
    events: new EventLog({ timeline: new Timeline('host-1', new HybridClock(clock)), level: 'error', write: () => {} }),
    workersConnectedSince: () => connectedSince,
    onWorkerRestarted: () => {},
    onWorkerLost: () => { lossCount += 1 }
  })
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

  // Other programs write to the topic, and workers come and go under new ids.
  test('is remembered for a bounded number of workers', async () => {
    const ids = Array.from({ length: 5000 }, (_, number) => `worker-${number + 10}`)
    directory.workerReceiver.apply(ids.flatMap(id => [createRecord(id), { key: id, value: undefined }]))
    await restoreStore(2, [...both, ...ids.map(id => createRecord(id))])
    // The first ones are forgotten, and count as new workers.
    expect(workerIds()).toHaveLength(2 + 5000 - 4096)
  })
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
