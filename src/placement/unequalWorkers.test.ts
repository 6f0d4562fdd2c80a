/**
 * Guards against workers that are given equal shares although their speeds differ, prompts that are refused by the speed of
 * another deployment, prompts that wait at a worker which is behind or gone, and work that is done twice when all workers
 * are slow alike. Each case names the load to which it responds.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import { ManualClock, type WorkerId } from '../common/index.js'
import { PermitQueue } from '../limits/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { HeldParts } from './HeldParts.js'
import { PromptSchedule } from './PromptSchedule.js'
import type { PlacementDecision } from './PromptTask.js'
import { simulatedBaseMilliseconds, SimulatedFleet, simulatedTokensPerMillisecond } from './testing/SimulatedFleet.js'

let clock: ManualClock
let fleet: SimulatedFleet
let schedule: PromptSchedule
/** Workers that are no longer listed. */
let gone: Set<WorkerId>
let moved: string[]

function start (workers: number, tokensPerMillisecond = simulatedTokensPerMillisecond): void {
  clock = new ManualClock()
  fleet = new SimulatedFleet(clock, workers)
  gone = new Set()
  moved = []
  const listed = (): typeof fleet.ids => fleet.ids.filter(({ id }) => !gone.has(id))
  schedule = new PromptSchedule({
    clock,
    events: discardingEventLog(clock),
    held: new HeldParts(),
    permits: new PermitQueue({ clock, events: discardingEventLog(clock) }),
    workers: listed,
    holders: listed,
    answerWorkers: () => [],
    costs: { tokensPerMillisecond, baseMilliseconds: simulatedBaseMilliseconds, fetchedTokensPerMillisecond: 1000 }
  })
}

beforeEach(() => { start(3) })

/** Serves a prompt as a host does: what the schedule moves is placed again. Returns the workers that were sent it. */
async function serve (id: string, tokens: number, lostMilliseconds = 3000): Promise<WorkerId[]> {
  const workers: WorkerId[] = []
  const now = clock.monotonic()
  const run = async (computation: number): Promise<void> => {
    const taskId = `${id}.${computation}`
    let reportOverdue = (): void => {}
    const overdue = new Promise<void>(resolve => { reportOverdue = resolve })
    const decision: PlacementDecision = await schedule.place({
      id: taskId,
      parts: [id],
      partTokens: [tokens],
      dueAt: now + 600,
      lostAt: now + lostMilliseconds,
      onOverdue: () => { reportOverdue() }
    })
    if (decision.kind !== 'placed') return
    workers.push(decision.worker)
    const prompt = { id, parts: [id], partTokens: [tokens], targetMilliseconds: 600 }
    const computed = fleet.compute(prompt, decision.worker, undefined)
    const isOverdue = await Promise.race([computed.then(() => false), overdue.then(() => true)])
    if (isOverdue) {
      moved.push(id)
      await run(computation + 1)
    }
    schedule.end(taskId, isOverdue ? 'failed' : 'computed')
  }
  await run(1)
  return workers
}

/** Sends a prompt at each interval; returns how many each worker was sent. */
async function play (count: number, tokens: number, intervalMilliseconds: number): Promise<Map<WorkerId, number>> {
  const counts = new Map<WorkerId, number>()
  for (let number = 0; number < count; number += 1) {
    serve(`${clock.monotonic()}`, tokens).then(workers => {
      for (const worker of workers) counts.set(worker, (counts.get(worker) ?? 0) + 1)
    }, () => {})
    await clock.advance(intervalMilliseconds)
  }
  await clock.advance(3000)
  return counts
}

const w0 = 'w0' as WorkerId
const w1 = 'w1' as WorkerId

describe('prompts', () => {
  test.each([
    ['half the speed gets at most two thirds of the share of the others, under a load of 0.7', 2, 0.67],
    ['a quarter of the speed gets at most a third, under a load of 0.7', 4, 0.34]
  ])('worker of %s', async (_name, slowness, maxShare) => {
    fleet.workers.get(w0)!.slowness = slowness
    await play(20, 4000, 40)
    const counts = await play(100, 4000, 40)
    expect(counts.get(w0) ?? 0).toBeLessThanOrEqual(maxShare * counts.get(w1)!)
  })

  test('worker that recovers gets its share again, under a load of 0.7', async () => {
    fleet.workers.get(w0)!.slowness = 4
    await play(60, 4000, 40)
    fleet.workers.get(w0)!.slowness = 1
    await clock.advance(10_000)
    await play(20, 4000, 40)
    const counts = await play(60, 4000, 40)
    expect(counts.get(w0)).toBeGreaterThan(0.8 * counts.get(w1)!)
  })

  test.each([['ten times as fast', 500], ['a fifth as fast', 10]])(
    'are not refused by the figures of a deployment that is %s, once a few have been computed', async (_name, assumed) => {
      start(2, assumed)
      await play(6, 4000, 300)
      // Each takes 500 ms: two are served at once, two behind them, and the others are hopeless.
      const served: string[] = []
      for (let number = 0; number < 6; number += 1) {
        serve(`large-${number}`, 25_000, 1300).then(workers => { served.push(...workers) }, () => {})
        await clock.advance(1)
      }
      await clock.advance(5000)
      expect(served).toHaveLength(4)
    })
})

describe('a prompt that waits', () => {
  test.each([
    ['hangs', false],
    ['hangs and is no longer listed', true]
  ])('at a worker that %s is moved in time, under light load', async (_name, isGone) => {
    await play(10, 2000, 100)
    fleet.workers.get(w0)!.hangs = true
    const waiting = serve('a', 2000)
    await clock.advance(100)
    if (isGone) gone.add(w0)
    await clock.advance(500)
    expect(await Promise.race([waiting, 'waits'])).toEqual(['w0', 'w1'])
  })

  test('is not moved once its caller has no use of it, nor while no other worker is there', async () => {
    start(1)
    await play(10, 2000, 100)
    fleet.workers.get(w0)!.hangs = true
    serve('a', 2000).catch(() => {})
    await clock.advance(4000)
    expect(moved).toEqual([])
  })

  test('at a worker as slow as all others is not computed twice, under a load of 0.9 that slows all by 2.5', async () => {
    await play(30, 4000, 30)
    for (const worker of fleet.workers.values()) worker.slowness = 2.5
    const counts = await play(30, 4000, 75)
    expect(moved.length).toBeLessThanOrEqual(1)
    expect([...counts.values()].reduce((sum, count) => sum + count, 0)).toBeLessThanOrEqual(31)
  })

  test('at a worker that hangs delays few others, and all are computed, under a load of 0.5', async () => {
    await play(10, 4000, 50)
    fleet.workers.get(w0)!.hangs = true
    const counts = await play(100, 4000, 50)
    expect([...counts.values()].reduce((sum, count) => sum + count, 0) - moved.length).toBe(100)
    expect(counts.get(w0)).toBeLessThanOrEqual(12)
  })
})
