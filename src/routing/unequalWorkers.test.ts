/**
 * Guards against calls that go to slow, degrading or failing workers as often as to others, against workers that stay
 * avoided after they have recovered, and against changes for workers that nothing distinguishes. Several hosts, which know
 * only what they measure and the loads in responses, call a small model of a service. Each case names its load.
 */
import { expect, test } from '@jest/globals'
import { ManualClock, SeededRandom, type WorkerId, type Zone } from '../common/index.js'
import { UsualLatencies, WorkerCapacity } from '../concurrency/index.js'
import { CapacityPolicy } from './CapacityPolicy.js'
import { PowerOfTwoPolicy } from './PowerOfTwoPolicy.js'
import type { RoutingCandidate, RoutingPolicy } from './RoutingPolicy.js'

const slots = 4
const workMilliseconds = 50
const dueMilliseconds = 150
const hostCount = 4
const request = { promptTokens: 0, promptBlocks: [] }

/** Behaviour of a worker; all members are optional. */
interface Behaviour {
  slowness?: number
  /** Factor on the time of requests while more than this many run. */
  degrades?: { above: number, factor: number }
  /** Slow phases: the worker is slow by the factor for `for` of every `every` milliseconds. */
  noise?: { factor: number, for: number, every: number }
  failures?: number
  /** Writes the load that the worker states; by default the true one. */
  states?: 'nothing' | 'idle'
}

/** A worker with slots and a queue. */
class ModelWorker {
  open = 0
  private waiting: Array<() => void> = []

  constructor (
    readonly id: WorkerId,
    public behaviour: Behaviour,
    private readonly clock: ManualClock,
    private readonly random: SeededRandom
  ) {}

  get load (): { running: number, waiting: number, slots: number } | undefined {
    const { states } = this.behaviour
    if (states === 'nothing') return undefined
    const running = states === 'idle' ? 0 : Math.min(slots, this.open)
    return { running, waiting: states === 'idle' ? 0 : this.waiting.length, slots }
  }

  /** Serves a request; resolves to whether it succeeded. */
  async serve (): Promise<boolean> {
    this.open += 1
    while (this.open - this.waiting.length > slots) await new Promise<void>(resolve => { this.waiting.push(resolve) })
    const { slowness = 1, degrades, noise, failures = 0 } = this.behaviour
    const isFailing = this.random.fraction() < failures
    const degraded = degrades !== undefined && this.open > degrades.above ? degrades.factor : 1
    const noisy = noise !== undefined && this.clock.monotonic() % noise.every < noise.for ? noise.factor : 1
    await this.clock.sleep(isFailing ? 1 : workMilliseconds * (0.8 + 0.4 * this.random.fraction()) * slowness * degraded * noisy)
    this.open -= 1
    this.waiting.shift()?.()
    return !isFailing
  }
}

type Candidate = RoutingCandidate & { load: { outstanding: number } }

function createCapacityPolicy (seed: number): RoutingPolicy {
  return new CapacityPolicy(seed, new PowerOfTwoPolicy(seed))
}

class Simulation {
  readonly clock = new ManualClock()
  readonly served = new Map<WorkerId, number>()
  late = 0
  sent = 0
  private readonly random = new SeededRandom(5)
  readonly workers: ModelWorker[]
  private readonly hosts: Array<{ policy: RoutingPolicy, candidates: Candidate[] }>

  constructor (behaviours: Behaviour[], createPolicy = createCapacityPolicy) {
    this.workers = behaviours.map((behaviour, number) => new ModelWorker(`w${number}` as WorkerId, behaviour, this.clock, this.random))
    this.hosts = Array.from({ length: hostCount }, (_, host) => {
      const usual = new UsualLatencies()
      const candidates = this.workers.map(({ id }) => ({
        id,
        zone: 'a' as Zone,
        isInOwnZone: true,
        load: { outstanding: 0, queuedPrefillTokens: 0, runningDecodes: 0 },
        capacity: new WorkerCapacity(this.clock, usual, () => Infinity)
      }))
      return { policy: createPolicy(host + 1), candidates }
    })
  }

  /** Sends requests at random times; `load`: share of the slots of workers of usual speed. */
  async play (milliseconds: number, load: number): Promise<void> {
    this.served.clear()
    this.late = this.sent = 0
    const interval = workMilliseconds / (slots * this.workers.length * load)
    const end = this.clock.monotonic() + milliseconds
    while (this.clock.monotonic() < end) {
      this.send().catch(() => {})
      await this.clock.advance(this.random.exponential(interval))
    }
    await this.clock.advance(2000)
  }

  private async send (): Promise<void> {
    const { policy, candidates } = this.hosts[this.random.integer(0, hostCount - 1)]!
    const chosen = policy.choose(request, candidates)!
    const worker = this.workers.find(({ id }) => id === chosen.id)!
    this.served.set(worker.id, (this.served.get(worker.id) ?? 0) + 1)
    this.sent += 1
    const startedAt = this.clock.monotonic()
    chosen.load.outstanding += 1
    const isServed = await worker.serve()
    const elapsed = this.clock.monotonic() - startedAt
    if (!isServed || elapsed > dueMilliseconds) this.late += 1
    const capacity = chosen.capacity as WorkerCapacity
    if (worker.load !== undefined) capacity.recordLoad(worker.load, chosen.load.outstanding)
    capacity.recordEnd({ kind: 'k', milliseconds: elapsed, isFailure: !isServed, dueMilliseconds, ownOpen: chosen.load.outstanding })
    chosen.load.outstanding -= 1
  }

  share (number: number): number {
    return (this.served.get(`w${number}` as WorkerId) ?? 0) / this.sent
  }
}

const equal: Behaviour[] = Array.from({ length: 6 }, () => ({}))
const others = equal.slice(1)

test.each<[string, Behaviour[], number, number]>([
  ['of speeds 0.6, 1 and 1.6, under a load of 0.85', [1.67, 1.67, 1, 1, 0.625, 0.625].map(slowness => ({ slowness })), 0.85, 0.5],
  ['of which two degrade above two open requests, under a load of 0.6', [{ degrades: { above: 2, factor: 4 } }, { degrades: { above: 2, factor: 4 } }, ...equal.slice(2)], 0.6, 0.5],
  ['that are slow by 2.5 for 600 ms of 2 s, under a load of 0.6', [{ noise: { factor: 2.5, for: 600, every: 2000 } }, { noise: { factor: 2.5, for: 600, every: 1700 } }, ...equal.slice(2)], 0.6, 0.8],
  ['of which one fails a third, under a load of 0.5', [{ failures: 0.33 }, ...others], 0.5, 0.5],
  ['of which one is slow and states that it is idle, under a load of 0.5', [{ slowness: 4, states: 'idle' }, ...others], 0.5, 0.5]
])('workers %s answer late or not at all much less often than with two random choices', async (_name, behaviours, load, factor) => {
  const before = new Simulation(behaviours, seed => new PowerOfTwoPolicy(seed))
  await before.play(8000, load)
  const after = new Simulation(behaviours)
  await after.play(8000, load)
  expect(after.late / after.sent).toBeLessThan(factor * before.late / before.sent)
})

test('a worker that recovers gets its share again, under a load of 0.5', async () => {
  const simulation = new Simulation([{ slowness: 5 }, ...others])
  await simulation.play(5000, 0.5)
  expect(simulation.share(0)).toBeLessThan(0.5 / 6)
  simulation.workers[0]!.behaviour = {}
  await simulation.play(11_000, 0.5)
  await simulation.play(5000, 0.5)
  expect(simulation.share(0)).toBeGreaterThan(0.7 / 6)
})

test('workers that are equal get equal shares, under a load of 0.5', async () => {
  const simulation = new Simulation(equal)
  await simulation.play(5000, 0.5)
  for (const number of equal.keys()) expect(Math.abs(simulation.share(number) * 6 - 1)).toBeLessThan(0.25)
})

test('workers that state no load and show no difference are chosen as before', () => {
  const simulation = new Simulation(equal)
  const candidates = simulation.workers.map(({ id }, number) => ({
    id,
    zone: 'a' as Zone,
    isInOwnZone: number < 4,
    load: { outstanding: number % 2, queuedPrefillTokens: 0, runningDecodes: 0 },
    capacity: new WorkerCapacity(simulation.clock, new UsualLatencies(), () => Infinity)
  }))
  const [before, after] = [new PowerOfTwoPolicy(3), new CapacityPolicy(9, new PowerOfTwoPolicy(3))]
  const choices = (policy: RoutingPolicy): unknown => Array.from({ length: 50 }, () => policy.choose(request, candidates)?.id)
  expect(choices(after)).toEqual(choices(before))
})

test('a call that failed goes to the worker with the best record, also in another zone', () => {
  const clock = new ManualClock()
  const usual = new UsualLatencies()
  const candidates = ['w0', 'w1', 'w2'].map((id, number) => {
    const capacity = new WorkerCapacity(clock, usual, () => Infinity)
    for (let requests = 0; requests < 6; requests += 1) {
      capacity.recordEnd({ kind: 'k', milliseconds: 50, isFailure: number < 2 && requests % 3 === 0, dueMilliseconds, ownOpen: 1 })
    }
    const load = { outstanding: 0, queuedPrefillTokens: 0, runningDecodes: 0 }
    return { id: id as WorkerId, zone: 'a' as Zone, isInOwnZone: number < 2, load, capacity }
  })
  expect(new CapacityPolicy(1, new PowerOfTwoPolicy(1)).chooseAfterFailure(request, candidates)?.id).toBe('w2')
})
