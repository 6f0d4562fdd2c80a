/**
 * Guards against a service stand-in that fails to record runs or records runs that did not happen, since at-most-once
 * tests rely on its record, and against a weight store stand-in that does not apply its limits.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { ManualClock, SystemClock } from '../common/index.js'
import { EngineStandIn } from './engine/index.js'
import type { FaultInput } from './Fault.js'
import { ServiceStandIn, type ServiceStandInSettings } from './ServiceStandIn.js'
import { WeightStoreStandIn } from './WeightStoreStandIn.js'

const cleanups: Array<() => Promise<void>> = []
afterEach(async () => {
  for (const cleanup of cleanups.splice(0).reverse()) await cleanup()
})

describe('ServiceStandIn', () => {
  async function startService (settings: ServiceStandInSettings = {}, clock?: ManualClock) {
    const service = await ServiceStandIn.start({ processingMilliseconds: 0, ...settings }, clock === undefined ? {} : { clock })
    cleanups.push(() => service.stop())
    const call = async (path: string, init: RequestInit = {}) => {
      return await fetch(`${service.origin}${path}`, init).then(response => response.status, () => 'closed')
    }
    const runs = async () => {
      const body = await (await fetch(`${service.origin}/runs`)).json() as { runs: Array<Record<string, unknown>> }
      return body.runs
    }
    return { service, call, runs }
  }

  test('records every run, also of calls with the same idempotency key', async () => {
    const { call, runs } = await startService()
    const vote = { method: 'POST', headers: { 'idempotency-key': 'k1', 'x-request-id': 'r1' }, body: 'yes' }
    expect([await call('/votes?topic=7', vote), await call('/votes?topic=7', vote), await call('/stock')]).toEqual([200, 200, 200])
    expect(await runs()).toMatchObject([
      { run: 1, method: 'POST', path: '/votes?topic=7', idempotencyKey: 'k1', requestId: 'r1' },
      { run: 2, method: 'POST', path: '/votes?topic=7', idempotencyKey: 'k1', requestId: 'r1' },
      { run: 3, method: 'GET', path: '/stock', idempotencyKey: null, requestId: null }
    ])
  })

  test.each<[FaultInput, number | 'closed', number]>([
    [{ kind: 'refuse' }, 503, 0],
    [{ kind: 'refuse', when: 'after', status: 500 }, 500, 1],
    [{ kind: 'lose_answer' }, 'closed', 1],
    [{ kind: 'outage', mode: 'disconnect', path: '/votes' }, 'closed', 0],
    [{ kind: 'refuse', path: '/trades' }, 200, 1],
    [{ kind: 'refuse', method: 'GET' }, 200, 1]
  ])('under the fault %o, the caller of POST /votes sees %s and the number of runs is %i', async (fault, seen, expectedRuns) => {
    const { service, call, runs } = await startService()
    service.addFault(fault)
    expect(await call('/votes', { method: 'POST' })).toBe(seen)
    service.clearFaults()
    expect(await runs()).toHaveLength(expectedRuns)
  })

  test.each([['before', 0], ['after', 1]] as const)('a crash fault %s the effect stops the service with %i recorded runs', async (when, expectedRuns) => {
    let runsAtCrash: number | undefined
    const onCrash = () => { runsAtCrash = service.runCount }
    const service = await ServiceStandIn.start({ processingMilliseconds: 0 }, { onCrash })
    cleanups.push(() => service.stop())
    service.addFault({ kind: 'crash', when })
    await expect(fetch(`${service.origin}/votes`, { method: 'POST' })).rejects.toThrow('fetch failed')
    expect(runsAtCrash).toBe(expectedRuns)
    await expect(fetch(service.origin)).rejects.toThrow('fetch failed')
  })

  test('queues calls over the concurrency limit, rejects those over the queue limit and reports its load', async () => {
    const clock = new ManualClock()
    const { service, call, runs } = await startService({ processingMilliseconds: 100, maxConcurrent: 1, maxQueued: 1 }, clock)
    const load = async () => await (await fetch(`${service.origin}/load`)).json() as Record<string, unknown>
    const calls = [call('/a'), call('/b'), call('/c')]
    // The calls arrive in any order; one of the three is rejected.
    expect(await Promise.race(calls)).toBe(429)
    expect(await load()).toMatchObject({ running: 1, queued: 1, maxConcurrent: 1, leaving: false })
    await clock.advance(100)
    await clock.advance(100)
    expect((await Promise.all(calls)).sort()).toEqual([200, 200, 429])
    expect(await runs()).toHaveLength(2)
    await fetch(`${service.origin}/leaving`, { method: 'POST' })
    expect(await load()).toMatchObject({ running: 0, queued: 0, leaving: true })
  })
})

/** Records the durations of sleeps. Sleeps without a signal end immediately; those with one wait for an event. */
class RecordingClock extends SystemClock {
  readonly sleeps: number[] = []

  override async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> {
    this.sleeps.push(milliseconds)
    if (signal !== undefined) await super.sleep(milliseconds, signal)
  }
}

describe('WeightStoreStandIn', () => {
  const weights = [{ model: 'carassius', version: '2', bytes: 300_000 }]

  test('sends bytes at the bandwidth limit, rejects a second concurrent download and does not find unlisted weights', async () => {
    const clock = new ManualClock()
    const settings = { bytesPerSecond: 65_536, maxConcurrent: 1, retryAfterSeconds: 3, weights }
    const store = await WeightStoreStandIn.start(settings, { clock })
    cleanups.push(() => store.stop())
    const response = await fetch(`${store.origin}/weights/carassius/2`)
    const reading = response.arrayBuffer().then(({ byteLength }) => `${byteLength} bytes`)
    const second = await fetch(`${store.origin}/weights/carassius/2`)
    expect([second.status, second.headers.get('retry-after')]).toEqual([429, '3'])
    let seconds = 0
    while (await Promise.race([reading, clock.advance(1000)]) === undefined) seconds += 1
    // The first 64 KiB are sent immediately, the rest at 64 KiB per second.
    expect(seconds).toBeGreaterThanOrEqual(Math.floor((300_000 - 65_536) / 65_536))
    expect(await reading).toBe('300000 bytes')
    expect((await fetch(`${store.origin}/weights/carassius/3`)).status).toBe(404)
  })

  test('an engine retries a download after status 429 and fails the order after status 404', async () => {
    const clock = new RecordingClock()
    const store = await WeightStoreStandIn.start({ weights })
    const engine = await EngineStandIn.start({ weightStore: store.origin }, { clock })
    cleanups.push(() => store.stop(), () => engine.stop())
    store.addFault({ kind: 'refuse', status: 429, count: 1 })
    const orderStatuses = []
    for (const [orderId, version] of [['o1', '2'], ['o2', '3']]) {
      const order = { kind: 'load_model', model: 'carassius', version }
      const body = JSON.stringify({ orderId, fencingNumber: 1, order })
      orderStatuses.push(await (await fetch(`${engine.origin}/orders?wait-ms=30000`, { method: 'POST', body })).json())
    }
    expect(orderStatuses).toEqual([
      { orderId: 'o1', state: 'done' },
      { orderId: 'o2', state: 'failed', detail: 'the weight store answered with status 404' }
    ])
    expect(clock.sleeps).toContain(1000)
  })
})
