/**
 * Plans how many workers of each kind each zone of a pool has, at the lowest price that serves the demand.
 *
 * The zones share the workers as their callers share the demand, so that a zone can be cut off or lost. The price decides
 * only where that leaves a choice.
 *
 * Spot workers carry most of the load, spread over the zones, since the platform takes those of a zone away together. A
 * few standard workers remain for the time in which no spot worker is to be had. Standard workers go only when spot
 * workers that replace them serve, and return while these are missing.
 */
import type { Pool, Zone } from '../common/index.js'
import type { WorkerKind } from '../duties/index.js'
import type { CountedWorker, PoolDemand, PoolScaling, WorkerOrder } from './WorkerOrder.js'
import { type WorkerThroughput, workersFor, WorkerTarget } from './WorkerTarget.js'
import { divideAmongZones, ZoneShares } from './ZoneShares.js'

/** Standard workers of a pool over all zones: two for prompts and two for answers, so that one of each may be lost. */
const minStandardWorkers = 4

/**
 * Largest share of the workers that are spot workers. The platform may take those of one zone away, and those of the next
 * before the replacements compute prompts, which takes the start of a worker and a change of its role.
 */
const maxSpotShare = 1 / 3

/** Time for which a kind is not ordered in a zone after the platform had none, in milliseconds. */
const unavailableMilliseconds = 8000

/** Time beyond the start of a worker after which an order that has not taken effect is repeated, in milliseconds. */
const repeatSlackMilliseconds = 3000

/** Largest share of a zone's standard workers that one order removes. */
const maxRemovedShare = 0.5

/** Inputs of a plan. Times are monotonic, in milliseconds. */
export interface CapacityInput {
  now: number
  workers: readonly CountedWorker[]
  /** Undefined while no host has reported any. */
  demand: PoolDemand | undefined
  scaling: PoolScaling
}

/** State of one kind of workers in one zone. */
interface ZoneKind {
  /** The latest order. `isFulfilled`: the ordered workers have been counted, so that fewer show a loss. */
  ordered?: { desired: number, at: number, isFulfilled: boolean }
  /** True while workers may still be leaving that an order has removed. */
  isShrinking: boolean
  unavailableUntil: number
}

/** Plans the workers of one pool. */
export class CapacityPlanner {
  private target: WorkerTarget | undefined
  private shares: ZoneShares | undefined
  private readonly states = new Map<string, ZoneKind>()

  constructor (private readonly pool: Pool, private readonly throughput: WorkerThroughput) {}

  /** Records that the platform has no workers of a kind in a zone. */
  recordUnavailable (zone: Zone, kind: WorkerKind, now: number): void {
    const state = this.stateOf(zone, kind)
    state.unavailableUntil = now + unavailableMilliseconds
    state.ordered = undefined
  }

  /** Records that an order was not carried out, or that its outcome is unknown, so that it is given again. */
  recordFailure (zone: Zone, kind: WorkerKind): void {
    this.stateOf(zone, kind).ordered = undefined
  }

  /** Returns the orders that are due. Orders that were returned before are repeated only if they have no effect. */
  plan ({ now, workers, demand, scaling }: CapacityInput): WorkerOrder[] {
    const serving = workers.filter(({ leaving }) => !leaving)
    this.target ??= new WorkerTarget(this.throughput, serving.length)
    const needed = this.target.update(demand, scaling.startupMilliseconds, now)
    const zones = zonesByPrice(scaling, serving)
    // The platform takes away all spot workers of a zone when it has none to give there.
    for (const zone of zones) {
      const hasLeaving = workers.some(worker => worker.leaving && worker.kind === 'spot' && worker.zone === zone)
      if (hasLeaving && this.isWanted(zone)) this.recordUnavailable(zone, 'spot', now)
      const state = this.stateOf(zone, 'spot')
      if (!hasLeaving && state.ordered?.isFulfilled === true) state.isShrinking = false
    }
    const countOf = (zone: Zone, kind: WorkerKind): number =>
      serving.filter(worker => worker.zone === zone && worker.kind === kind).length
    const needs = this.needsOf(zones, needed, { now, workers: serving, demand, scaling })
    const spot = this.planSpot(zones, needs, scaling, now)
    const servingSpot = zones.reduce((sum, zone) => sum + Math.min(countOf(zone, 'spot'), spot.get(zone)!), 0)
    const standard = this.planStandard(zones, needs, scaling, { spot, countOf, now })
    const reason = `${needed} workers needed, ${serving.length} serve, of them ${servingSpot} spot workers`
    return zones.flatMap(zone => {
      const counts = { standard: countOf(zone, 'standard'), spot: countOf(zone, 'spot') }
      // While standard workers are replaced, both kinds count against the limit.
      const room = scaling.maxWorkersPerZone - Math.max(counts.standard, standard.get(zone)!)
      const desired = { spot: Math.min(spot.get(zone)!, Math.max(0, room)), standard: standard.get(zone)! }
      return (['spot', 'standard'] as const).flatMap(kind =>
        this.isDue(zone, kind, desired[kind], counts[kind], scaling, now)
          ? [this.order({ pool: this.pool, zone, kind, desired: desired[kind], before: counts[kind], reason }, now)]
          : [])
    })
  }

  /** True if the leaving spot workers of a zone are not those that an order has removed. */
  private isWanted (zone: Zone): boolean {
    const { ordered, isShrinking } = this.stateOf(zone, 'spot')
    return ordered?.isFulfilled === true && !isShrinking
  }

  /** Workers of both kinds that each zone needs. */
  private needsOf (
    zones: readonly Zone[],
    needed: number,
    { now, workers, demand, scaling }: CapacityInput
  ): Map<Zone, number> {
    const present = new Map(zones.map(zone => [zone, workers.filter(worker => worker.zone === zone).length]))
    this.shares ??= new ZoneShares(present)
    const demandOfZones = demand?.zones === undefined
      ? undefined
      : new Map([...demand.zones].map(([zone, work]) => [zone, workersFor(work, this.throughput)]))
    const shares = this.shares.update(demandOfZones, needed, now)
    return divideAmongZones(needed, zones, zone => shares.get(zone) ?? 0, () => scaling.maxWorkersPerZone)
  }

  /**
   * Spot workers of each zone: equal shares, as far as the zone needs workers. Those of zones that have none are not given to
   * the others, so that the loss of a further zone leaves enough; standard workers take their place.
   */
  private planSpot (
    zones: readonly Zone[],
    needs: ReadonlyMap<Zone, number>,
    scaling: PoolScaling,
    now: number
  ): Map<Zone, number> {
    if (scaling.spotPrice === undefined || scaling.spotPrice >= 1) return new Map(zones.map(zone => [zone, 0]))
    const base = this.standardBase(zones, scaling)
    const needed = sumOf(needs)
    const open = Math.min(needed - sumOf(base), Math.floor(needed * maxSpotShare))
    const planned = divideAmongZones(open, zones, () => 1, zone => Math.max(0, needs.get(zone)! - base.get(zone)!))
    for (const zone of zones) if (!this.isAvailable(zone, 'spot', now)) planned.set(zone, 0)
    return planned
  }

  /** The standard workers that always remain, in the cheapest zones. */
  private standardBase (zones: readonly Zone[], { minWorkersPerZone, maxWorkersPerZone }: PoolScaling): Map<Zone, number> {
    const base = new Map(zones.map(zone => [zone, Math.min(maxWorkersPerZone, Math.max(1, minWorkersPerZone))]))
    let missing = minStandardWorkers - [...base.values()].reduce((sum, count) => sum + count, 0)
    for (const zone of zones) {
      const added = Math.min(Math.max(0, missing), maxWorkersPerZone - base.get(zone)!)
      base.set(zone, base.get(zone)! + added)
      missing -= added
    }
    return base
  }

  /**
   * Standard workers of each zone: the base, and those that the serving spot workers of the zone do not replace. What a zone
   * cannot have, the others have in its place.
   */
  private planStandard (
    zones: readonly Zone[],
    needs: ReadonlyMap<Zone, number>,
    scaling: PoolScaling,
    { spot, countOf, now }: { spot: ReadonlyMap<Zone, number>, countOf: (zone: Zone, kind: WorkerKind) => number, now: number }
  ): Map<Zone, number> {
    const base = this.standardBase(zones, scaling)
    const wanted = new Map(zones.map(zone => {
      const servingSpot = Math.min(countOf(zone, 'spot'), spot.get(zone)!)
      return [zone, Math.max(base.get(zone)!, needs.get(zone)! - servingSpot)]
    }))
    const keptOf = (zone: Zone): number => Math.max(base.get(zone)!, Math.min(wanted.get(zone)!, countOf(zone, 'standard')))
    const planned = new Map(zones.map(zone => [zone, keptOf(zone)]))
    let missing = zones.reduce((sum, zone) => sum + Math.max(0, wanted.get(zone)! - countOf(zone, 'standard')), 0)
    // Workers that are there already are kept until those that replace them in other zones serve.
    for (const zone of zones) {
      const kept = Math.min(missing, Math.max(0, countOf(zone, 'standard') - planned.get(zone)!))
      planned.set(zone, planned.get(zone)! + kept)
      missing -= kept
    }
    const roomOf = (zone: Zone): number => this.isAvailable(zone, 'standard', now)
      ? Math.max(0, scaling.maxWorkersPerZone - spot.get(zone)! - planned.get(zone)!)
      : 0
    let unplaced = 0
    for (const zone of zones) {
      const expectedSpot = Math.max(0, spot.get(zone)! - countOf(zone, 'spot'))
      const open = Math.max(0, wanted.get(zone)! - planned.get(zone)! - expectedSpot)
      const added = Math.min(open, roomOf(zone))
      planned.set(zone, planned.get(zone)! + added)
      unplaced += open - added
    }
    unplaced = Math.min(unplaced, missing)
    for (const zone of zones) {
      const added = Math.min(unplaced, roomOf(zone))
      planned.set(zone, planned.get(zone)! + added)
      unplaced -= added
    }
    for (const zone of zones) {
      const count = countOf(zone, 'standard')
      const lowest = count - Math.max(1, Math.floor(count * maxRemovedShare))
      planned.set(zone, Math.max(planned.get(zone)!, Math.min(count, lowest)))
    }
    return planned
  }

  private isDue (zone: Zone, kind: WorkerKind, desired: number, count: number, scaling: PoolScaling, now: number): boolean {
    const { ordered } = this.stateOf(zone, kind)
    if (desired > count && !this.isAvailable(zone, kind, now)) return false
    if (ordered === undefined) return desired !== count
    if (ordered.desired !== desired) return true
    ordered.isFulfilled ||= desired === count
    if (ordered.isFulfilled && desired > count) return true
    return desired !== count && now - ordered.at > scaling.startupMilliseconds + repeatSlackMilliseconds
  }

  private order (order: WorkerOrder, now: number): WorkerOrder {
    const { zone, kind, desired, before } = order
    const state = this.stateOf(zone, kind)
    state.isShrinking ||= desired < before
    state.ordered = { desired, at: now, isFulfilled: desired === before }
    return order
  }

  private isAvailable (zone: Zone, kind: WorkerKind, now: number): boolean {
    return now >= this.stateOf(zone, kind).unavailableUntil
  }

  private stateOf (zone: Zone, kind: WorkerKind): ZoneKind {
    const key = `${kind}/${zone}`
    const state = this.states.get(key) ?? { unavailableUntil: -Infinity, isShrinking: false }
    this.states.set(key, state)
    return state
  }
}

function sumOf (counts: ReadonlyMap<Zone, number>): number {
  return [...counts.values()].reduce((sum, count) => sum + count, 0)
}

/** Price of a worker in a zone for which the operators state none. */
const defaultPrice = 1

/** The zones with a price or with workers, the cheapest first. */
function zonesByPrice ({ zonePrices }: PoolScaling, workers: readonly CountedWorker[]): Zone[] {
  const zones = [...new Set([...zonePrices.keys(), ...workers.map(({ zone }) => zone)])]
  const priceOf = (zone: Zone): number => zonePrices.get(zone) ?? defaultPrice
  return zones.sort((left, right) => priceOf(left) - priceOf(right))
}
