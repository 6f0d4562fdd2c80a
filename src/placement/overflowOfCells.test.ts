/**
 * Guards against callers of one zone who are refused because few workers of a large pool stand in their zone, while those
 * of other zones wait.
 */
import { expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Clock, failure, type Failure, ManualClock, type Pool, SeededRandom, type WorkerId, type Zone } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import type { Upstream } from '../upstreams/index.js'
import { HeldParts } from './HeldParts.js'
import { LocalPromptPlacer, type PromptToPlace } from './PromptPlacer.js'
import { cellName, type PlacementCell, PromptScheduler } from './PromptScheduler.js'
import type { PlacementDecision, PromptOutcome, PromptTask } from './PromptTask.js'
import { ScheduledPromptPlacer, SchedulerClient } from './ScheduledPromptPlacer.js'
import { simulatedBaseMilliseconds, SimulatedFleet, simulatedTokensPerMillisecond } from './testing/SimulatedFleet.js'

const pool = 'llm' as Pool
const zones = ['a', 'b', 'c'] as Zone[]

/** A scheduler in each zone; those of zones that are cut off answer no other zone. */
class ZoneSchedulers extends SchedulerClient {
  readonly cutOff = new Set<Zone>()
  private readonly schedulers = new Map<string, PromptScheduler>()

  constructor (private readonly clock: Clock, private readonly fleet: SimulatedFleet, readonly zone: Zone) {
    super()
  }

  shareWith (zone: Zone): ZoneSchedulers {
    const other = new ZoneSchedulers(this.clock, this.fleet, zone)
    return Object.assign(other, { schedulers: this.schedulers, cutOff: this.cutOff })
  }

  async place (cell: PlacementCell, task: PromptTask): Promise<Result<PlacementDecision, Failure>> {
    const isCut = cell.zone !== this.zone && (this.cutOff.has(this.zone) || this.cutOff.has(cell.zone!))
    if (isCut) return Result.err(failure('not_ready', 'no line for 300 ms'))
    return Result.ok(await this.schedulerOf(cell).place(cell, task))
  }

  end (cell: PlacementCell, id: string, outcome: PromptOutcome): void {
    this.schedulerOf(cell).end(cell, id, outcome)
  }

  answered (): void {}

  private schedulerOf (cell: PlacementCell): PromptScheduler {
    const { clock, fleet } = this
    const known = this.schedulers.get(cellName(cell))
    if (known !== undefined) return known
    const scheduler = new PromptScheduler({
      clock,
      events: discardingEventLog(clock),
      held: new HeldParts(),
      workers: () => fleet.ids,
      holders: () => fleet.ids,
      answerWorkers: () => [],
      costs: {
        tokensPerMillisecond: simulatedTokensPerMillisecond,
        baseMilliseconds: simulatedBaseMilliseconds,
        fetchedTokensPerMillisecond: 1000
      }
    })
    this.schedulers.set(cellName(cell), scheduler)
    return scheduler
  }
}

/** Prompts of each zone in the test, and the time between two of them, in milliseconds. */
const promptsPerZone = 300
const intervalMilliseconds = 10

const targetMilliseconds = 500

/** Share of the prompts of each zone that are computed in time, if prompts of 3000 tokens come at the same rate in all zones. */
async function shareInTime (workerZones: readonly Zone[], cutOff: readonly Zone[] = []): Promise<Map<Zone, number>> {
  const clock = new ManualClock()
  const random = new SeededRandom(46)
  const fleet = new SimulatedFleet(clock, workerZones.length, number => workerZones[number]!)
  const schedulers = new ZoneSchedulers(clock, fleet, zones[0]!)
  for (const zone of cutOff) schedulers.cutOff.add(zone)
  const upstreams = fleet.ids.map(({ id, zone }) => ({ id, zone }) as Upstream)
  const inTime = new Map(zones.map(zone => [zone, 0]))
  const placers = new Map(zones.map(zone => [zone, new ScheduledPromptPlacer({
    client: schedulers.shareWith(zone),
    fallback: new LocalPromptPlacer({ chooseForPrompt: () => undefined } as never),
    zone,
    clock,
    events: discardingEventLog(clock),
    random: () => random.fraction()
  })]))
  const serve = async (zone: Zone, number: number): Promise<void> => {
    const startedAt = clock.monotonic()
    const id = `${zone}-${number}`
    const prompt = { id, parts: [id], partTokens: [3000], targetMilliseconds }
    const question: PromptToPlace = {
      id,
      pool,
      prompt: { promptTokens: 3000, promptBlocks: prompt.parts, blockTokens: prompt.partTokens },
      dueAt: startedAt + targetMilliseconds,
      lostAt: startedAt + 4000,
      candidates: () => upstreams,
      decodeCandidates: () => []
    }
    const placed = (await placers.get(zone)!.place(question, new AbortController().signal)).unwrapOr(undefined)
    if (placed?.worker === undefined) return
    const answeredAt = await fleet.compute(prompt, placed.worker.id as WorkerId, undefined)
    placed.end('computed')
    if (answeredAt - startedAt <= targetMilliseconds) inTime.set(zone, inTime.get(zone)! + 1)
  }
  for (let number = 0; number < promptsPerZone; number += 1) {
    for (const zone of zones) serve(zone, number).catch(() => {})
    await clock.advance(intervalMilliseconds)
  }
  await clock.advance(6000)
  return new Map([...inTime].map(([zone, count]) => [zone, count / promptsPerZone]))
}

/** Workers in each zone, in the order of `zones`. */
function spread (counts: readonly number[]): Zone[] {
  return counts.flatMap((count, index) => Array.from({ length: count }, () => zones[index]!))
}

// A prompt occupies a worker for 60 ms, so the prompts of one zone need six workers.
test.each([
  ['one worker in a zone', [20, 19, 1]],
  ['no worker in a zone', [20, 20, 0]],
  ['most workers in one zone', [2, 34, 4]]
])('a large pool with %s computes the prompts of all zones in time', async (_name, counts) => {
  const shares = await shareInTime(spread(counts))
  for (const zone of zones) expect([zone, shares.get(zone)! >= 0.95]).toEqual([zone, true])
})

// Guards against hosts that wait for the schedulers of zones that they cannot reach.
test('a zone that is cut off computes what its own workers can, and the others are not affected', async () => {
  const shares = await shareInTime(spread([16, 16, 3]), ['c'] as Zone[])
  expect([shares.get(zones[0]!)! >= 0.95, shares.get(zones[1]!)! >= 0.95]).toEqual([true, true])
  expect(shares.get(zones[2]!)).toBeGreaterThan(0.25)
})
