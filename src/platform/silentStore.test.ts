/**
 * Guards against requests to workers that have left while the connections of a host to the store were silent. The store and
 * the workers speak over real sockets.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { StoreAvailability } from './StoreAvailability.js'
import { StoreClient } from './StoreClient.js'
import { FakeStore } from './testing/FakeStore.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil } from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined

afterEach(async () => {
  await platform?.stop()
  platform = undefined
})

/** Number of reads whose worker is recorded. */
const readCount = 20

// Guards against a grace period for expired entries after a silence in which the store was available.
test('after a silence of the connections to the store, a worker that is no longer listed gets no requests if others can take them', async () => {
  platform = await startPlatform({ appWorkers: 3 })
  const { host, store, app } = platform
  const [gone] = app
  store.silenceConnections()
  store.write('keyed.servers', gone!.id, undefined)
  const wholeReads = (): number => store.calls.filter(call => call === 'GET /v1/log-newest').length
  const readsOfWorkers = (): number => store.reads.filter(({ topic }) => topic === 'keyed.servers').length
  const [wholeBefore, before] = [wholeReads(), readsOfWorkers()]
  // The next long poll shows that the host has taken the list without the worker.
  await waitUntil(() => wholeReads() > wholeBefore && readsOfWorkers() > before)
  const caller = await RawCaller.connect(host.addresses.callers)
  for (let count = 0; count < readCount; count += 1) {
    caller.send('GET', `/reads/${count}`, requestHeaders(`read-${count}`))
    expect(await caller.readResponse()).toMatchObject({ status: 200 })
  }
  caller.socket.destroy()
  expect(gone!.requests).toHaveLength(0)
})

describe('the store returned', () => {
  type Step = [string, (store: FakeStore) => void]
  const silence: Step = ['the open connection is silent', store => store.silenceConnections()]
  const silent: Step = ['all connections are silent', store => { store.mode = 'silent' }]
  const refused: Step = ['calls are refused', store => { store.mode = 'refused' }]
  const normal: Step = ['calls are answered', store => { store.mode = 'normal' }]

  // Guards against a lost connection that is taken for an outage, and an outage that is taken for a lost connection.
  test.each<[string, Step[], boolean]>([
    ['never, if only an open connection was silent', [normal, silence, normal], false],
    ['after it refused a call', [normal, refused, normal], true],
    ['after it did not answer on a new connection', [normal, silent, silent, normal], true],
    ['never, while it does not answer', [normal, silent, silent], false]
  ])('%s', async (_name, steps, expected) => {
    const clock = new ManualClock()
    await clock.advance(1)
    const availability = new StoreAvailability(clock)
    const store = await FakeStore.start()
    const client = new StoreClient(store.address, undefined, availability)
    for (const [, change] of steps) {
      change(store)
      await client.owners('hosts')
    }
    expect(availability.returnedAt).toBe(expected ? clock.monotonic() : -Infinity)
    await client.close()
    await store.stop()
  })
})
