/**
 * Guards against taking workers for gone whose entries lapsed while the store was away, and against keeping those that
 * did not come back in time.
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

function entry (id: string, more: Record<string, unknown> = {}): KeyedRecord {
  const value = { service: 'app', address: '10.0.0.1:80', zone: 'a', slots: 6, state: 'ready', born: 1, sequence: 1, ...more }
  return { key: id, value: Buffer.from(JSON.stringify(value)) }
}

function workers (): WorkerId[] {
  return [...directory.pools().values()].flatMap(pool => pool.workers.map(({ id }) => id))
}

beforeEach(() => {
  clock = new ManualClock()
  connectedSince = -Infinity
  directory = new PlatformDirectory({
    clock,
    events: new EventLog({ timeline: new Timeline('host-1', new HybridClock(clock)), level: 'error', write: () => {} }),
    workersConnectedSince: () => connectedSince,
    onWorkerRestarted: () => {}
  })
  directory.configurationReceiver.replace([{ key: 'config', value: Buffer.from(JSON.stringify(configurationDocument(1))) }])
  directory.workerReceiver.replace([entry('worker-1'), entry('worker-2')])
})

async function returnOfTheStore (present: KeyedRecord[]): Promise<void> {
  await clock.advance(10_000)
  connectedSince = clock.monotonic()
  directory.workerReceiver.replace(present)
}

describe('an entry that lapsed while the store was away', () => {
  test('counts for two seconds after the return, then its worker is gone', async () => {
    await returnOfTheStore([entry('worker-1')])
    expect(workers()).toEqual(['worker-1', 'worker-2'])
    await clock.advance(1999)
    expect(workers()).toEqual(['worker-1', 'worker-2'])
    await clock.advance(1)
    expect(workers()).toEqual(['worker-1'])
  })

  test('keeps its worker if it comes back', async () => {
    await returnOfTheStore([entry('worker-1')])
    await clock.advance(1500)
    directory.workerReceiver.apply([entry('worker-2', { sequence: 2 })])
    await clock.advance(5000)
    expect(workers()).toEqual(['worker-1', 'worker-2'])
  })

  test('of a worker that was leaving is not kept', async () => {
    directory.workerReceiver.apply([entry('worker-2', { state: 'draining', sequence: 2 })])
    await returnOfTheStore([entry('worker-1')])
    expect(workers()).toEqual(['worker-1'])
  })
})

test('an entry that is removed while the store answers is gone at once', () => {
  directory.workerReceiver.apply([{ key: 'worker-2', value: undefined }])
  expect(workers()).toEqual(['worker-1'])
})
