/**
 * Guards against a team that uses the capacity of others, unbounded queues, requests that are queued although they
 * cannot meet their deadline, and capacity that is not released when callers disconnect.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import { type Failure, ManualClock, type Team } from '../common/index.js'
import { FixedConfiguration } from '../configuration/index.js'
import type { Admission, AdmissionPriority } from './Admission.js'
import { AdmissionManager } from './AdmissionManager.js'

let clock: ManualClock
let configuration: FixedConfiguration

beforeEach(() => {
  clock = new ManualClock()
  configuration = new FixedConfiguration()
})

function createManager (maxConcurrent: number, maxQueued = 1000): AdmissionManager {
  return new AdmissionManager({ configuration, clock, maxConcurrent, maxQueued })
}

interface Attempt { admission?: Admission, failure?: Failure, cancel: () => void }

/** Requests admission. The result is set on the returned object once it is known. */
async function attemptAdmission (
  manager: AdmissionManager,
  team: string,
  options: { priority?: AdmissionPriority, deadline?: number } = {}
): Promise<Attempt> {
  const controller = new AbortController()
  const attempt: Attempt = { cancel: () => controller.abort() }
  manager.admit({
    team: team as Team,
    priority: options.priority ?? 'interactive',
    deadline: options.deadline ?? 1e9,
    signal: controller.signal
  }).then(result => {
    if (result.isOk) attempt.admission = result.value
    else attempt.failure = result.error
  }, () => {})
  await clock.advance(0)
  return attempt
}

async function attemptAdmissions (manager: AdmissionManager, team: string, count: number): Promise<Attempt[]> {
  const attempts: Attempt[] = []
  for (let index = 0; index < count; index += 1) attempts.push(await attemptAdmission(manager, team))
  return attempts
}

function admittedCount (attempts: Attempt[]): number {
  return attempts.filter(({ admission }) => admission !== undefined).length
}

/** Releases one running request per round, then returns the number of running requests of each team. */
async function releaseRunning (teams: Record<string, Attempt[]>, rounds: number): Promise<Record<string, number>> {
  const runningCounts = Object.fromEntries(Object.entries(teams).map(([team, attempts]) => [team, admittedCount(attempts)]))
  const released = new Set<Attempt>()
  for (let round = 0; round < rounds; round += 1) {
    await clock.advance(10)
    // The first running request in the order of the teams and, within a team, of the attempts.
    const running = Object.values(teams).flat().find(attempt => attempt.admission !== undefined && !released.has(attempt))
    if (running === undefined) break
    released.add(running)
    running.admission!.release()
    await clock.advance(0)
    for (const [team, attempts] of Object.entries(teams)) {
      runningCounts[team] = attempts.filter(attempt => attempt.admission !== undefined && !released.has(attempt)).length
    }
  }
  return runningCounts
}

describe('shares', () => {
  test('a team may use capacity that other teams leave idle', async () => {
    configuration.set('/fleet/shares', { reef: 10, kelp: 90 })
    expect(admittedCount(await attemptAdmissions(createManager(10), 'reef', 10))).toBe(10)
  })

  test.each([[{ reef: 50, kelp: 50 }, { reef: 10, kelp: 10 }], [{ reef: 20, kelp: 80 }, { reef: 4, kelp: 16 }]])(
    'with shares %j, teams that always have queued requests run %j of 20 concurrent requests', async (shares, expected) => {
      configuration.set('/fleet/shares', shares)
      const manager = createManager(20)
      const reef = await attemptAdmissions(manager, 'reef', 150)
      const kelp = await attemptAdmissions(manager, 'kelp', 150)
      expect(admittedCount(reef)).toBe(20)
      expect(await releaseRunning({ reef, kelp }, 60)).toEqual(expected)
    })

  test('a queued request of a team without running requests starts before those of a busy team', async () => {
    const manager = createManager(2)
    const reef = await attemptAdmissions(manager, 'reef', 20)
    const kelp = await attemptAdmission(manager, 'kelp')
    reef[0]!.admission!.release()
    await clock.advance(0)
    expect(kelp.admission).toBeDefined()
  })

  test('a change of shares applies to the next request that starts', async () => {
    configuration.set('/fleet/shares', { reef: 10, kelp: 90 })
    const manager = createManager(3)
    await attemptAdmissions(manager, 'reef', 1)
    const [first] = await attemptAdmissions(manager, 'kelp', 2)
    const kelp = await attemptAdmission(manager, 'kelp')
    const reef = await attemptAdmission(manager, 'reef')
    configuration.set('/fleet/shares', { reef: 90, kelp: 10 })
    first!.admission!.release()
    await clock.advance(0)
    expect([reef.admission, kelp.admission].map(Boolean)).toEqual([true, false])
  })
})

describe('limits', () => {
  test('requests of a team at its own concurrency limit are queued, and requests of other teams still start', async () => {
    configuration.set('/teams/reef/settings/limits', { maxConcurrent: 2, requestsPerSecond: 1000 })
    const manager = createManager(10)
    expect(admittedCount(await attemptAdmissions(manager, 'reef', 5))).toBe(2)
    expect((await attemptAdmission(manager, 'kelp')).admission).toBeDefined()
  })

  test('a request above the rate limit of its team fails as overloaded, with the time until the next token as retryAfterSeconds', async () => {
    configuration.set('/teams/reef/settings/limits', { maxConcurrent: 100, requestsPerSecond: 0.2 })
    const manager = createManager(10)
    const [first, second] = await attemptAdmissions(manager, 'reef', 2)
    expect(first!.admission).toBeDefined()
    expect(second!.failure).toMatchObject({ kind: 'overloaded', detail: { retryAfterSeconds: 5 } })
    first!.admission!.release()
    await clock.advance(5000)
    expect((await attemptAdmission(manager, 'reef')).admission).toBeDefined()
  })

  test('if only one team sends requests, a request fails as overloaded when the queue of the host is full', async () => {
    const manager = createManager(1, 3)
    const attempts = await attemptAdmissions(manager, 'reef', 6)
    expect(attempts.map(({ failure }) => failure?.kind)).toEqual([undefined, undefined, undefined, undefined, 'overloaded', 'overloaded'])
    expect(manager.queuedCount).toBe(3)
  })

  test('the total number of queued requests of all teams does not exceed the limit of the host', async () => {
    configuration.set('/fleet/shares', { reef: 1, kelp: 1 })
    const manager = createManager(1, 10)
    await attemptAdmissions(manager, 'reef', 9)
    await attemptAdmissions(manager, 'kelp', 9)
    expect(manager.queuedCount).toBe(10)
  })

  test('a team that fills its part of the queue leaves room for requests of other teams', async () => {
    configuration.set('/fleet/shares', { reef: 50, kelp: 50 })
    const manager = createManager(1, 40)
    await attemptAdmissions(manager, 'reef', 40)
    expect((await attemptAdmission(manager, 'kelp')).failure).toBeUndefined()
    expect(manager.queuedCount).toBe(21)
  })
})

describe('order and deadlines', () => {
  test('an interactive request starts before an earlier batch request of the same team', async () => {
    const manager = createManager(1)
    const running = await attemptAdmission(manager, 'reef')
    const batch = await attemptAdmission(manager, 'reef', { priority: 'batch' })
    const interactive = await attemptAdmission(manager, 'reef')
    running.admission!.release()
    await clock.advance(0)
    expect([batch.admission, interactive.admission].map(Boolean)).toEqual([false, true])
  })

  test('a request whose estimated wait exceeds the time until its deadline fails as overloaded immediately, with that wait as retryAfterSeconds', async () => {
    const manager = createManager(1)
    const first = await attemptAdmission(manager, 'reef')
    await clock.advance(4000)
    first.admission!.release()
    await attemptAdmissions(manager, 'reef', 2)
    // The mean run time is 4 s and one request is already queued, so the estimated wait is 8 s.
    const now = clock.monotonic()
    expect((await attemptAdmission(manager, 'reef', { deadline: now + 7000 })).failure)
      .toMatchObject({ kind: 'overloaded', detail: { retryAfterSeconds: 8 } })
    expect((await attemptAdmission(manager, 'reef', { deadline: now + 9000 })).failure).toBeUndefined()
  })

  test('a request whose deadline passes while it is queued fails as overloaded and is removed from the queue', async () => {
    const manager = createManager(1)
    await attemptAdmission(manager, 'reef')
    const waiting = await attemptAdmission(manager, 'reef', { deadline: clock.monotonic() + 100 })
    await clock.advance(100)
    expect(waiting.failure?.kind).toBe('overloaded')
    expect(manager.queuedCount).toBe(0)
  })

  test('a queued request whose caller disconnects fails as cancelled, and the next one starts', async () => {
    const manager = createManager(1)
    const running = await attemptAdmission(manager, 'reef')
    const cancelled = await attemptAdmission(manager, 'reef')
    const next = await attemptAdmission(manager, 'reef')
    cancelled.cancel()
    await clock.advance(0)
    expect(cancelled.failure?.kind).toBe('cancelled')
    running.admission!.release()
    running.admission!.release()
    await clock.advance(0)
    expect(next.admission).toBeDefined()
    expect([manager.runningCount, manager.queuedCount]).toEqual([1, 0])
  })
})
