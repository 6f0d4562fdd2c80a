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
