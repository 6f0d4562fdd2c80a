/**
 * Guards against a team that takes the capacity of others, queues without bound, requests that wait although
 * they cannot meet their deadline, and places that leak when callers leave.
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

function managerOf (maxConcurrent: number, maxQueued = 1000): AdmissionManager {
  return new AdmissionManager({ configuration, clock, maxConcurrent, maxQueued })
}

interface Asked { admission?: Admission, failure?: Failure, leave: () => void }

/** Asks for a place; the result is noted in the returned record. */
async function ask (
  manager: AdmissionManager,
  team: string,
  options: { priority?: AdmissionPriority, deadline?: number } = {}
): Promise<Asked> {
  const controller = new AbortController()
  const asked: Asked = { leave: () => controller.abort() }
  manager.admit({
    team: team as Team,
    priority: options.priority ?? 'interactive',
    deadline: options.deadline ?? 1e9,
    signal: controller.signal
  }).then(result => {
    if (result.isOk) asked.admission = result.value
    else asked.failure = result.error
  }, () => {})
  await clock.advance(0)
  return asked
}

async function askMany (manager: AdmissionManager, team: string, count: number): Promise<Asked[]> {
  const all: Asked[] = []
  for (let index = 0; index < count; index += 1) all.push(await ask(manager, team))
  return all
}

function runningOf (asked: Asked[]): number {
  return asked.filter(({ admission }) => admission !== undefined).length
}

/** Ends running requests of both teams and counts what starts instead, until nothing of the first waits. */
async function turnOver (teams: Record<string, Asked[]>, rounds: number): Promise<Record<string, number>> {
  const held = Object.fromEntries(Object.entries(teams).map(([team, asked]) => [team, runningOf(asked)]))
  const released = new Set<Asked>()
  for (let round = 0; round < rounds; round += 1) {
    await clock.advance(10)
    // The request that has run longest ends first, whichever team it is of.
    const oldest = Object.values(teams).flat().find(asked => asked.admission !== undefined && !released.has(asked))
    if (oldest === undefined) break
    released.add(oldest)
    oldest.admission!.release()
    await clock.advance(0)
    for (const [team, asked] of Object.entries(teams)) {
      held[team] = asked.filter(one => one.admission !== undefined && !released.has(one)).length
    }
  }
  return held
}

describe('shares', () => {
  test('a team borrows what others leave idle', async () => {
    configuration.set('/fleet/shares', { reef: 10, kelp: 90 })
    expect(runningOf(await askMany(managerOf(10), 'reef', 10))).toBe(10)
  })

  test.each([[{ reef: 50, kelp: 50 }, { reef: 10, kelp: 10 }], [{ reef: 20, kelp: 80 }, { reef: 4, kelp: 16 }]])(
    'with shares %j busy teams hold %j of 20 places', async (shares, expected) => {
      configuration.set('/fleet/shares', shares)
      const manager = managerOf(20)
      const reef = await askMany(manager, 'reef', 150)
      const kelp = await askMany(manager, 'kelp', 150)
      expect(runningOf(reef)).toBe(20)
      expect(await turnOver({ reef, kelp }, 60)).toEqual(expected)
    })

  test('a team with nothing running is served first', async () => {
    const manager = managerOf(2)
    const reef = await askMany(manager, 'reef', 20)
    const kelp = await ask(manager, 'kelp')
    reef[0]!.admission!.release()
    await clock.advance(0)
    expect(kelp.admission).toBeDefined()
  })

  test('a change of shares is in force for the next place', async () => {
    configuration.set('/fleet/shares', { reef: 10, kelp: 90 })
    const manager = managerOf(3)
    await askMany(manager, 'reef', 1)
    const [first] = await askMany(manager, 'kelp', 2)
    const kelp = await ask(manager, 'kelp')
    const reef = await ask(manager, 'reef')
    configuration.set('/fleet/shares', { reef: 90, kelp: 10 })
    first!.admission!.release()
    await clock.advance(0)
    expect([reef.admission, kelp.admission].map(Boolean)).toEqual([true, false])
  })
})

describe('limits', () => {
  test('a team stays within its own limit and does not hold up others', async () => {
    configuration.set('/teams/reef/settings/limits', { maxConcurrent: 2, requestsPerSecond: 1000 })
    const manager = managerOf(10)
    expect(runningOf(await askMany(manager, 'reef', 5))).toBe(2)
    expect((await ask(manager, 'kelp')).admission).toBeDefined()
  })

  test('a team over its rate is refused with the time to the next token', async () => {
    configuration.set('/teams/reef/settings/limits', { maxConcurrent: 100, requestsPerSecond: 0.2 })
    const manager = managerOf(10)
    const [first, second] = await askMany(manager, 'reef', 2)
    expect(first!.admission).toBeDefined()
    expect(second!.failure).toMatchObject({ kind: 'overloaded', detail: { retryAfterSeconds: 5 } })
    first!.admission!.release()
    await clock.advance(5000)
    expect((await ask(manager, 'reef')).admission).toBeDefined()
  })

  test('the queue of the host is bounded', async () => {
    const manager = managerOf(1, 3)
    const asked = await askMany(manager, 'reef', 6)
    expect(asked.map(({ failure }) => failure?.kind)).toEqual([undefined, undefined, undefined, undefined, 'overloaded', 'overloaded'])
    expect(manager.queuedCount).toBe(3)
  })

  test('the queues of all teams together are bounded', async () => {
    configuration.set('/fleet/shares', { reef: 1, kelp: 1 })
    const manager = managerOf(1, 10)
    await askMany(manager, 'reef', 9)
    await askMany(manager, 'kelp', 9)
    expect(manager.queuedCount).toBe(10)
  })

  test('one team cannot fill the queue for the others', async () => {
    configuration.set('/fleet/shares', { reef: 50, kelp: 50 })
    const manager = managerOf(1, 40)
    await askMany(manager, 'reef', 40)
    expect((await ask(manager, 'kelp')).failure).toBeUndefined()
    expect(manager.queuedCount).toBe(21)
  })
})

describe('order and deadlines', () => {
  test('interactive requests of a team go first', async () => {
    const manager = managerOf(1)
    const running = await ask(manager, 'reef')
    const batch = await ask(manager, 'reef', { priority: 'batch' })
    const interactive = await ask(manager, 'reef')
    running.admission!.release()
    await clock.advance(0)
    expect([batch.admission, interactive.admission].map(Boolean)).toEqual([false, true])
  })

  test('a request whose wait would pass its deadline is refused at once, with the wait', async () => {
    const manager = managerOf(1)
    const first = await ask(manager, 'reef')
    await clock.advance(4000)
    first.admission!.release()
    await askMany(manager, 'reef', 2)
    // Runs take 4 s, and one request waits already.
    const now = clock.monotonic()
    expect((await ask(manager, 'reef', { deadline: now + 7000 })).failure)
      .toMatchObject({ kind: 'overloaded', detail: { retryAfterSeconds: 8 } })
    expect((await ask(manager, 'reef', { deadline: now + 9000 })).failure).toBeUndefined()
  })

  test('a request whose deadline passes in the queue is refused as not run', async () => {
    const manager = managerOf(1)
    await ask(manager, 'reef')
    const waiting = await ask(manager, 'reef', { deadline: clock.monotonic() + 100 })
    await clock.advance(100)
    expect(waiting.failure?.kind).toBe('overloaded')
    expect(manager.queuedCount).toBe(0)
  })

  test('a caller that leaves gives up its place in the queue', async () => {
    const manager = managerOf(1)
    const running = await ask(manager, 'reef')
    const left = await ask(manager, 'reef')
    const next = await ask(manager, 'reef')
    left.leave()
    await clock.advance(0)
    expect(left.failure?.kind).toBe('cancelled')
    running.admission!.release()
    running.admission!.release()
    await clock.advance(0)
    expect(next.admission).toBeDefined()
    expect([manager.runningCount, manager.queuedCount]).toEqual([1, 0])
  })
})
