/**
 * Guards against sending work to workers that are gone, leaving or draining, load estimates that miss requests
 * sent since the last report, and subsets that change more than necessary.
 */
import { afterEach, beforeAll, beforeEach, describe, expect, test } from '@jest/globals'
import { type Hash, type HostId, loadHash, ManualClock, type Model, type Pool, type WorkerId, type Zone } from '../common/index.js'
import { FixedConfiguration, type WorkerDocument } from '../configuration/index.js'
import { FakeEngine } from '../entry/testing/FakeEngine.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { chooseSubset } from './chooseSubset.js'
import { LoadEstimate } from './LoadEstimate.js'
import { loadReportSchema } from './LoadReport.js'
import { UpstreamHealth } from './UpstreamHealth.js'
import { UpstreamManager } from './UpstreamManager.js'

let hash: Hash
beforeAll(async () => { hash = await loadHash() })

function worker (id: string, zone = 'a', address = '127.0.0.1:1', reportsLoad = true): WorkerDocument {
  return { id: id as WorkerId, zone: zone as Zone, address, checksFencing: false, draining: false, reportsLoad }
}

describe('chooseSubset', () => {
  const workers = Array.from({ length: 200 }, (_, index) => worker(`w-${index}`, index % 2 === 0 ? 'a' : 'b'))
  const options = () => ({ hostId: 'h-1' as HostId, zone: 'a' as Zone, size: 16, hash })

  test('returns the requested number of workers: those in the zone of the host first, then a quarter from other zones', () => {
    const zones = chooseSubset(workers, options()).map(({ zone }) => zone)
    expect(zones).toEqual([...Array(12).fill('a') as string[], ...Array(4).fill('b') as string[]])
  })

  test('returns all workers of a small pool, and fills the subset from another zone if the zone of the host has no workers', () => {
    expect(chooseSubset(workers.slice(0, 10), options())).toHaveLength(10)
    expect(chooseSubset(workers.filter(({ zone }) => zone === 'b'), options())).toHaveLength(16)
  })

  test('keeps all other workers of the subset when one worker leaves', () => {
    const before = chooseSubset(workers, options())
    const after = chooseSubset(workers.filter(({ id }) => id !== before[3]!.id), options())
    expect(before.filter(kept => after.includes(kept))).toHaveLength(15)
  })

  test('assigns each worker of a zone to a similar number of hosts', () => {
    const hostsPerWorker = new Map<string, number>()
    for (let host = 0; host < 300; host += 1) {
      for (const { id } of chooseSubset(workers, { ...options(), hostId: `h-${host}` as HostId })) hostsPerWorker.set(id, (hostsPerWorker.get(id) ?? 0) + 1)
    }
    // Each of 300 hosts chooses 12 of the 100 workers of its zone: 36 hosts per worker on average.
    const hostCounts = workers.filter(({ zone }) => zone === 'a').map(({ id }) => hostsPerWorker.get(id) ?? 0)
    expect(Math.min(...hostCounts)).toBeGreaterThan(15)
    expect(Math.max(...hostCounts)).toBeLessThan(65)
  })
})

describe('LoadEstimate', () => {
  const report = (queuedPrefillTokens: number, runningDecodes: number) =>
    loadReportSchema.parse({ at: 0, queuedPrefillTokens, runningDecodes })

  test('adds requests sent since the report and subtracts requests that ended since', () => {
    const load = new LoadEstimate()
    const old = load.begin(1, 100)
    load.recordFirstToken(old, 5)
    const queued = load.begin(6, 200)
    load.apply(report(200, 1), 10)
    expect(load).toMatchObject({ queuedPrefillTokens: 200, runningDecodes: 1, outstanding: 2 })
    const fresh = load.begin(11, 300)
    expect(load).toMatchObject({ queuedPrefillTokens: 500, runningDecodes: 1, outstanding: 3 })
    load.recordFirstToken(queued, 12)
    expect(load).toMatchObject({ queuedPrefillTokens: 300, runningDecodes: 2 })
    load.end(old, 13)
    load.end(fresh, 14)
    expect(load).toMatchObject({ queuedPrefillTokens: 0, runningDecodes: 1, outstanding: 1 })
  })

  test('a report that arrives late does not undo what happened after it was taken', () => {
    const load = new LoadEstimate()
    load.apply(report(0, 0), 0)
    const first = load.begin(1, 100)
    load.recordFirstToken(first, 2)
    const second = load.begin(3, 200)
    load.end(first, 4)
    // The report was taken at time 2.5: the first request was generating, the second was not sent yet.
    load.apply(report(0, 1), 2.5)
    expect(load).toMatchObject({ queuedPrefillTokens: 200, runningDecodes: 0 })
    load.recordFirstToken(second, 6)
    load.apply(report(0, 1), 7)
    expect(load).toMatchObject({ queuedPrefillTokens: 0, runningDecodes: 1 })
  })
})

describe('UpstreamManager', () => {
  const model = 'carassius' as Model
  let engines: FakeEngine[]
  let configuration: FixedConfiguration
  let clock: ManualClock
  let manager: UpstreamManager

  function pool (...workers: WorkerDocument[]) {
    return { kind: 'engines', workers, models: [model] }
  }

  function candidateIds (): string[] {
    return manager.candidatesForModel(model).map(({ id }) => id)
  }

  /** Advances the clock, and thereby the polls, until the candidates are as expected. */
  async function advanceUntilCandidates (expected: string[]): Promise<void> {
    while (JSON.stringify(candidateIds()) !== JSON.stringify(expected)) await clock.advance(100)
  }

  beforeEach(async () => {
    engines = await Promise.all([FakeEngine.start(), FakeEngine.start()])
    clock = new ManualClock(Date.now())
    configuration = new FixedConfiguration({
      '/fleet/pools/p': pool(worker('e-0', 'a', engines[0]!.address), worker('e-1', 'b', engines[1]!.address))
    })
    const events = new EventLog({ timeline: new Timeline('h-1', new HybridClock(clock)), level: 'error', write: () => {} })
    manager = new UpstreamManager({
      hostId: 'h-1' as HostId, zone: 'a' as Zone, configuration, clock, events, hash, loadPollMilliseconds: 100, subsetSize: 8
    })
    manager.start()
  })

  afterEach(async () => {
    await manager.stop()
    await Promise.all(engines.map(engine => engine.stop()))
  })

  test('candidates in the zone of the host come first', () => {
    expect(candidateIds()).toEqual(['e-0', 'e-1'])
  })

  test.each<[string, () => void | Promise<void>]>([
    ['reports that it is leaving', () => { engines[0]!.load!.leaving = true }],
    ['refuses connections', () => engines[0]!.stop()],
    ['does not answer polls', () => { engines[0]!.load = undefined }],
    ['is removed from the configuration', () => {
      configuration.set('/fleet/pools/p', pool(worker('e-1', 'b', engines[1]!.address)))
    }],
    ['no longer has the model', () => { engines[0]!.load!.models = ['perca'] }],
    ['becomes a decode engine', () => { engines[0]!.load!.role = 'decode' }]
  ])('a worker that %s is sent no new work', async (_name, change) => {
    await change()
    await advanceUntilCandidates(['e-1'])
  })

  // Guards against work for workers that may be gone, and against a pool without candidates since all may be.
  test.each<[string, boolean[], boolean, string[]]>([
    ['is sent no work while another can take it', [true, false], false, ['e-1']],
    ['is sent work if all others may be gone too', [true, true], false, ['e-0', 'e-1']],
    ['is sent work while the others are unavailable', [true, false], true, ['e-0']]
  ])('a worker that may be gone %s', async (_name, uncertain, stopsOther, expected) => {
    const workers = engines.map(({ address }, index) => ({ ...worker(`e-${index}`, 'a', address), uncertain: uncertain[index] }))
    configuration.set('/fleet/pools/p', pool(...workers))
    if (stopsOther) await engines[1]!.stop()
    await advanceUntilCandidates(expected)
  })

  test('a worker that answers polls again is sent work again', async () => {
    engines[0]!.load = undefined
    await advanceUntilCandidates(['e-1'])
    engines[0]!.load = { models: [model] }
    await advanceUntilCandidates(['e-0', 'e-1'])
  })

  test('three failed requests in a row pause a worker for at least one second', async () => {
    const upstream = manager.worker('e-0' as WorkerId)!
    for (const result of ['failed', 'failed', 'answered', 'failed', 'failed'] as const) manager.begin(upstream, 0).end(result)
    expect(candidateIds()).toEqual(['e-0', 'e-1'])
    manager.begin(upstream, 0).end('failed')
    expect(candidateIds()).toEqual(['e-1'])
    const pausedAt = clock.monotonic()
    await advanceUntilCandidates(['e-0', 'e-1'])
    expect(clock.monotonic() - pausedAt).toBeGreaterThanOrEqual(1000)
  })

  test('a draining worker is sent no new work, and whenIdle resolves when its requests have ended', async () => {
    const upstream = manager.worker('e-0' as WorkerId)!
    const tracker = manager.begin(upstream, 10)
    manager.setDraining(upstream.id, true)
    expect(candidateIds()).toEqual(['e-1'])
    expect(manager.outstandingRequests(upstream.id)).toBe(1)
    let isIdle = false
    const waiting = manager.whenIdle(upstream.id).then(() => { isIdle = true })
    await clock.advance(100)
    expect(isIdle).toBe(false)
    tracker.end('answered')
    await waiting
    manager.setDraining(upstream.id, false)
    expect(candidateIds()).toEqual(['e-0', 'e-1'])
  })

  test('a worker that is not polled is sent work again some time after it refused a connection', async () => {
    configuration.set('/fleet/pools/p', pool(worker('e-2', 'a', engines[0]!.address, false)))
    const upstream = manager.worker('e-2' as WorkerId)!
    manager.begin(upstream, 0).end('refused')
    expect(candidateIds()).toEqual([])
    await advanceUntilCandidates(['e-2'])
  })

  test('candidatesForPool returns the available workers of a pool and none for an unknown pool', async () => {
    expect(manager.candidatesForPool('p' as Pool).map(({ id }) => id)).toEqual(['e-0', 'e-1'])
    expect(manager.candidatesForPool('q' as Pool)).toEqual([])
  })
})

describe('UpstreamHealth', () => {
  test('an upstream that declines two requests in a row is sent no work for the next 250 ms', async () => {
    const clock = new ManualClock()
    const health = new UpstreamHealth(clock, false)
    health.requestDeclined()
    health.requestSucceeded()
    health.requestDeclined()
    expect(health.isHealthy).toBe(true)
    health.requestDeclined()
    expect(health.isHealthy).toBe(false)
    await clock.advance(250)
    expect(health.isHealthy).toBe(true)
  })

  test.each([
    ['that answers no request is sent no work', 2400, false, false],
    ['that answers other requests meanwhile is still sent work', 2400, true, true],
    ['whose requests are abandoned after 300 ms is still sent work', 300, false, true]
  ])('an upstream %s', async (_name, milliseconds, answersOthers, isHealthy) => {
    const clock = new ManualClock()
    const health = new UpstreamHealth(clock, false)
    for (let request = 0; request < 3; request += 1) {
      const sentAt = clock.monotonic()
      await clock.advance(milliseconds)
      if (answersOthers) health.requestSucceeded()
      health.requestUnanswered(sentAt)
    }
    expect(health.isHealthy).toBe(isHealthy)
  })
})
