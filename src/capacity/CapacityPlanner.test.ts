import { expect, test } from '@jest/globals'
import type { Pool, Zone } from '../common/index.js'
import type { WorkerKind } from '../duties/index.js'
import { CapacityPlanner } from './CapacityPlanner.js'
import type { CountedWorker, PoolDemand, PoolScaling, WorkerOrder } from './WorkerOrder.js'

const pool = 'modelos' as Pool
const zones = ['a', 'b', 'c'] as Zone[]
const scaling: PoolScaling = {
  minWorkersPerZone: 1,
  maxWorkersPerZone: 20,
  startupMilliseconds: 4000,
  spotPrice: 0.22,
  zonePrices: new Map([[zones[0]!, 1], [zones[1]!, 0.8], [zones[2]!, 1.25]])
}
const throughput = { promptsPerWorker: 0.5, answersPerWorker: 16, promptShare: 0.75 }
const calm: PoolDemand = { openPrompts: 3, openAnswers: 20 }

/** A pool whose platform carries out orders: new workers serve after the start-up, removed ones leave at once. */
class Fleet {
  readonly planner = new CapacityPlanner(pool, throughput)
  readonly orders: WorkerOrder[] = []
  private readonly dueAt: Array<{ at: number, order: WorkerOrder }> = []
  private readonly counts = new Map<string, number>()
  now = 0

  constructor (standardPerZone: number, readonly options: PoolScaling = scaling) {
    for (const zone of zones) this.set(zone, 'standard', standardPerZone)
  }

  set (zone: Zone, kind: WorkerKind, count: number): void {
    this.counts.set(`${zone}/${kind}`, count)
  }

  count (kind: WorkerKind, zone?: Zone): number {
    return zones.filter(other => zone === undefined || other === zone)
      .reduce((sum, other) => sum + (this.counts.get(`${other}/${kind}`) ?? 0), 0)
  }

  /** Plans once a second. `refused`: tells for which orders the platform has no workers. */
  run (seconds: number, demand: PoolDemand | undefined, refused: (order: WorkerOrder) => boolean = () => false): WorkerOrder[] {
    const before = this.orders.length
    for (let second = 0; second < seconds; second += 1) {
      this.now += 1000
      for (const due of this.dueAt.splice(0)) {
        if (due.at <= this.now) this.set(due.order.zone, due.order.kind, due.order.desired)
        else this.dueAt.push(due)
      }
      for (const order of this.planner.plan({ now: this.now, workers: this.workers(), demand, scaling: this.options })) {
        this.orders.push(order)
        if (order.desired > order.before && refused(order)) this.planner.recordUnavailable(order.zone, order.kind, this.now)
        else this.dueAt.push({ at: this.now + (order.desired > order.before ? 4000 : 0), order })
      }
    }
    return this.orders.slice(before)
  }

  private workers (): CountedWorker[] {
    return zones.flatMap(zone => (['standard', 'spot'] as const).flatMap(kind =>
      Array.from({ length: this.count(kind, zone) }, () => ({ zone, kind, leaving: false }))))
  }
}

// Guards against paying for standard workers that cheaper ones could replace, against removing them before these serve, and
// against a pool that the loss of its spot workers leaves too small.
test('spot workers replace a third of the standard workers, which stay until the spot workers serve', () => {
  const fleet = new Fleet(10)
  fleet.run(3, calm)
  expect(fleet.count('standard')).toBe(30)
  fleet.run(30, calm)
  expect([fleet.count('spot'), fleet.count('standard')]).toEqual([2, 6])
})

/** A demand of which each zone sees the given share. */
function dividedDemand ({ openPrompts, openAnswers }: PoolDemand, shares: readonly number[]): PoolDemand {
  return {
    openPrompts,
    openAnswers,
    zones: new Map(zones.map((zone, index) =>
      [zone, { openPrompts: openPrompts * shares[index]!, openAnswers: openAnswers * shares[index]! }]))
  }
}

// Guards against a zone whose callers are refused, since the workers stand where they are cheap, and against zones that
// cannot serve their callers while they are cut off.
test.each([
  ['equally', 32, [1 / 3, 1 / 3, 1 / 3], { openPrompts: 12, openAnswers: 60 }],
  ['unequally', 32, [0.5, 0.15, 0.35], { openPrompts: 12, openAnswers: 60 }],
  ['so that one has few', 10, [0.48, 0.48, 0.04], { openPrompts: 6, openAnswers: 30 }],
  ['before fewer workers are needed', 8, [0.2, 0.3, 0.5], { openPrompts: 8, openAnswers: 30 }]
])('zones that share the demand %s share the workers alike, whatever they cost', (_name, present, shares, demand) => {
  const fleet = new Fleet(present, { ...scaling, maxWorkersPerZone: 94 })
  fleet.run(90, dividedDemand(demand, shares))
  const total = fleet.count('standard') + fleet.count('spot')
  for (const [index, zone] of zones.entries()) {
    const workers = fleet.count('standard', zone) + fleet.count('spot', zone)
    // Up to a tenth, or one worker, orders nothing, and numbers are rounded.
    expect(workers).toBeGreaterThanOrEqual(Math.floor(shares[index]! * total * 0.9 - 1))
  }
})

// Guards against zones that lose their workers before those that replace them in other zones serve.
test('workers move to the zones of the demand only as others serve there', () => {
  const fleet = new Fleet(0)
  fleet.set(zones[1]!, 'standard', 18)
  const demand = dividedDemand({ openPrompts: 6, openAnswers: 60 }, [0.4, 0.3, 0.3])
  let lowest = Infinity
  for (let second = 0; second < 40; second += 1) {
    fleet.run(1, demand)
    lowest = Math.min(lowest, fleet.count('standard') + fleet.count('spot'))
  }
  expect(lowest).toBeGreaterThanOrEqual(15)
  expect(fleet.count('standard', zones[1]) + fleet.count('spot', zones[1])).toBeLessThan(8)
})

// Guards against a pool that is too small since the zone of the demand has no workers to give.
test('other zones have the workers that a zone cannot have', () => {
  const fleet = new Fleet(6)
  const demand = dividedDemand({ openPrompts: 6, openAnswers: 60 }, [0.6, 0.2, 0.2])
  fleet.run(40, demand, order => order.zone === zones[0])
  expect(fleet.count('standard') + fleet.count('spot')).toBeGreaterThanOrEqual(15)
})

// Guards against orders for a demand that moves between the zones faster than workers start.
test('a demand that swings between the zones orders nothing once it was seen', () => {
  const fleet = new Fleet(10)
  const swing = (turns: number): WorkerOrder[] => [...Array(turns).keys()].flatMap(turn =>
    fleet.run(4, dividedDemand({ openPrompts: 6, openAnswers: 60 }, turn % 2 === 0 ? [0.45, 0.25, 0.3] : [0.25, 0.45, 0.3])))
  swing(10)
  expect(swing(10)).toEqual([])
})

// Guards against orders that follow a mix of prompts and answers that swings faster than workers start.
test('a demand that swings every three seconds orders nothing once both sides were seen', () => {
  const fleet = new Fleet(10)
  const swing = (turns: number): WorkerOrder[] => [...Array(turns).keys()].flatMap(turn =>
    fleet.run(3, turn % 2 === 0 ? calm : { openPrompts: 1.5, openAnswers: 40 }))
  swing(10)
  expect(swing(10)).toEqual([])
})

// Guards against a burst that is met only by waiting, and against a number that never falls again.
test('a burst raises the number, which falls when the peak is over', () => {
  const fleet = new Fleet(10)
  fleet.run(30, calm)
  const before = fleet.count('spot')
  fleet.run(12, { openPrompts: 9, openAnswers: 60 })
  expect(fleet.count('spot')).toBeGreaterThan(2 * before)
  fleet.run(40, calm)
  // Changes by one worker order nothing, and numbers are rounded up.
  expect(fleet.count('spot')).toBeLessThanOrEqual(before + 2)
})

// Guards against a zone whose spot workers the platform takes away while it has no others there or anywhere.
test.each([
  ['there', (order: WorkerOrder) => order.kind === 'spot' && order.zone === zones[1], 'spot'],
  ['anywhere', (order: WorkerOrder) => order.kind === 'spot', 'standard']
] as const)('spot workers that are taken away and not to be had %s are replaced by others', (_where, refused, kind) => {
  const fleet = new Fleet(10)
  fleet.run(30, calm)
  const total = fleet.count('spot') + fleet.count('standard')
  const before = fleet.count(kind)
  fleet.set(zones[1]!, 'spot', 0)
  fleet.run(7, calm, refused)
  expect(fleet.count('spot') + fleet.count('standard')).toBeGreaterThanOrEqual(total)
  expect(fleet.count(kind) - (kind === 'spot' ? fleet.count('spot', zones[1]) : before)).toBeGreaterThan(0)
})

// Guards against paying for every worker to be had since requests waited while caches were empty.
test('requests that wait for a moment do not raise the number beyond half as many again', () => {
  const fleet = new Fleet(4)
  fleet.run(3, { openPrompts: 0, openAnswers: 0 })
  fleet.run(2, { openPrompts: 40, openAnswers: 10 })
  fleet.run(1, calm)
  expect(Math.max(...[...fleet.orders].map(({ reason }) => Number.parseInt(reason)))).toBeLessThanOrEqual(18)
})

// Guards against numbers outside the operators' limits, also while both kinds serve during a replacement.
test('the workers of a zone never exceed the limit, and never fall below the lowest number', () => {
  const limits = { ...scaling, minWorkersPerZone: 3, maxWorkersPerZone: 6 }
  const fleet = new Fleet(5, limits)
  fleet.run(20, { openPrompts: 40, openAnswers: 400 })
  for (const zone of zones) expect(fleet.count('spot', zone) + fleet.count('standard', zone)).toBeLessThanOrEqual(6)
  for (const order of fleet.orders) expect(order.desired).toBeLessThanOrEqual(6)
  fleet.run(60, { openPrompts: 0.1, openAnswers: 0.1 })
  for (const zone of zones) expect(fleet.count('spot', zone) + fleet.count('standard', zone)).toBeGreaterThanOrEqual(3)
})

// Guards against removing workers because no host has reported its demand, as after a change of the holder.
test('without reports the number of workers stays', () => {
  const fleet = new Fleet(10)
  fleet.run(20, undefined)
  expect(fleet.count('spot') + fleet.count('standard')).toBe(30)
})

// Guards against an order whose loss leaves the pool too small.
test('an order that has no effect is given again', () => {
  const planner = new CapacityPlanner(pool, throughput)
  const workers: CountedWorker[] = zones.map(zone => ({ zone, kind: 'standard', leaving: false }))
  const ordersAt = (now: number): number => planner.plan({ now, workers, demand: undefined, scaling }).length
  expect(ordersAt(0)).toBeGreaterThan(0)
  expect(ordersAt(6000)).toBe(0)
  expect(ordersAt(7100)).toBeGreaterThan(0)
})

// Guards against a pool that loses all its spot workers after each order for fewer of them, as if the platform had taken
// the ones that leave, and against a loss that is overlooked since an earlier order has removed some.
test('spot workers that leave by an order are not taken for those that the platform takes away', () => {
  const planner = new CapacityPlanner(pool, throughput)
  const counts = new Map(zones.flatMap(zone => [[`${zone}/standard`, 8], [`${zone}/spot`, 5]]))
  const leavingUntil: Array<{ zone: Zone, until: number }> = []
  const orders: WorkerOrder[] = []
  const run = (from: number, through: number): void => {
    for (let now = from; now <= through; now += 1000) {
      const leaving = leavingUntil.filter(({ until }) => until > now).map(({ zone }) => ({ zone, kind: 'spot' as const, leaving: true }))
      const serving = zones.flatMap(zone => (['standard', 'spot'] as const).flatMap(kind =>
        Array.from({ length: counts.get(`${zone}/${kind}`)! }, () => ({ zone, kind, leaving: false }))))
      for (const order of planner.plan({ now, workers: [...serving, ...leaving], demand: calm, scaling })) {
        const { zone, kind, desired, before } = order
        orders.push(order)
        counts.set(`${zone}/${kind}`, desired)
        const removed = kind === 'spot' ? Math.max(0, before - desired) : 0
        leavingUntil.push(...Array.from({ length: removed }, () => ({ zone, until: now + 4000 })))
      }
    }
  }
  run(0, 60_000)
  expect(leavingUntil.length).toBeGreaterThan(0)
  expect(orders.filter(({ kind, desired, before: counted }) => kind === 'spot' && desired > counted)).toEqual([])
  const spot = zones.find(zone => counts.get(`${zone}/spot`)! > 0)!
  expect(spot).toBeDefined()
  leavingUntil.push(...Array.from({ length: counts.get(`${spot}/spot`)! }, () => ({ zone: spot, until: 65_000 })))
  counts.set(`${spot}/spot`, 0)
  const before = counts.get(`${spot}/standard`)!
  run(61_000, 64_000)
  expect(counts.get(`${spot}/standard`)).toBeGreaterThan(before)
})
