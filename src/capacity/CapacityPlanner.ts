/**
 * Plans how many workers of each kind each zone of a pool has, at the lowest price that serves the demand.
 *
 * Spot workers carry most of the load, spread over the zones, since the platform takes those of a zone away together. A
 * few standard workers remain for the time in which no spot worker is to be had. Standard workers go only when spot
 * workers that replace them serve, and return while these are missing.
 */
import type { Pool, Zone } from '../common/index.js'
import type { WorkerKind } from '../duties/index.js'
import type { CountedWorker, PoolDemand, PoolScaling, WorkerOrder } from './WorkerOrder.js'
import { type WorkerThroughput, WorkerTarget } from './WorkerTarget.js'

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
  unavailableUntil: number
}

/** Plans the workers of one pool. */
export class CapacityPlanner {
  private target: WorkerTarget | undefined
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
    for (const { zone, kind, leaving } of workers) {
      if (leaving && kind === 'spot' && this.isWanted(zone)) this.recordUnavailable(zone, kind, now)
    }
    const countOf = (zone: Zone, kind: WorkerKind): number =>
      serving.filter(worker => worker.zone === zone && worker.kind === kind).length
    const spot = this.planSpot(zones, needed, scaling, now)
    const servingSpot = zones.reduce((sum, zone) => sum + Math.min(countOf(zone, 'spot'), spot.get(zone)!), 0)
    const standard = this.planStandard(zones, needed - servingSpot, scaling, { spot, countOf, now })
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
    const { ordered } = this.stateOf(zone, 'spot')
    return ordered?.isFulfilled === true
  }

  /**
   * Spot workers of each zone: equal shares. Those of zones that have none are not given to the others, so that the loss of a
   * further zone leaves enough; standard workers take their place.
   */
  private planSpot (zones: readonly Zone[], needed: number, scaling: PoolScaling, now: number): Map<Zone, number> {
    const planned = new Map(zones.map(zone => [zone, 0]))
    if (scaling.spotPrice === undefined || scaling.spotPrice >= 1) return planned
    const base = this.standardBase(zones, scaling)
    const standardBase = [...base.values()].reduce((sum, count) => sum + count, 0)
    let open = Math.min(needed - standardBase, Math.floor(needed * maxSpotShare))
    while (open > 0) {
      const withRoom = zones.filter(zone => planned.get(zone)! + base.get(zone)! < scaling.maxWorkersPerZone)
      if (withRoom.length === 0) break
      for (const zone of withRoom.slice(0, open)) planned.set(zone, planned.get(zone)! + 1)
      open -= Math.min(open, withRoom.length)
    }
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

  /** Standard workers of each zone: the base, and those that the serving spot workers do not replace. */
  private planStandard (
    zones: readonly Zone[],
    open: number,
    scaling: PoolScaling,
    { spot, countOf, now }: { spot: ReadonlyMap<Zone, number>, countOf: (zone: Zone, kind: WorkerKind) => number, now: number }
  ): Map<Zone, number> {
    const base = this.standardBase(zones, scaling)
    const planned = new Map(base)
    let missing = open - [...base.values()].reduce((sum, count) => sum + count, 0)
    // Workers that are there already are kept before others are ordered.
    for (const zone of zones) {
      const kept = Math.min(Math.max(0, missing), Math.max(0, countOf(zone, 'standard') - planned.get(zone)!))
      planned.set(zone, planned.get(zone)! + kept)
      missing -= kept
    }
    const expectedSpot = zones.reduce((sum, zone) => sum + Math.max(0, spot.get(zone)! - countOf(zone, 'spot')), 0)
    missing -= expectedSpot
    for (const zone of zones) {
      if (!this.isAvailable(zone, 'standard', now)) continue
      const added = Math.min(Math.max(0, missing), Math.max(0, scaling.maxWorkersPerZone - spot.get(zone)! - planned.get(zone)!))
      planned.set(zone, planned.get(zone)! + added)
      missing -= added
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
    this.stateOf(zone, kind).ordered = { desired, at: now, isFulfilled: desired === before }
    return order
  }

  private isAvailable (zone: Zone, kind: WorkerKind, now: number): boolean {
    return now >= this.stateOf(zone, kind).unavailableUntil
  }

  private stateOf (zone: Zone, kind: WorkerKind): ZoneKind {
    const key = `${kind}/${zone}`
    const state = this.states.get(key) ?? { unavailableUntil: -Infinity }
    this.states.set(key, state)
    return state
  }
}

/** Price of a worker in a zone for which the operators state none. */
const defaultPrice = 1

/** The zones with a price or with workers, the cheapest first. */
function zonesByPrice ({ zonePrices }: PoolScaling, workers: readonly CountedWorker[]): Zone[] {
  const zones = [...new Set([...zonePrices.keys(), ...workers.map(({ zone }) => zone)])]
  const priceOf = (zone: Zone): number => zonePrices.get(zone) ?? defaultPrice
  return zones.sort((left, right) => priceOf(left) - priceOf(right))
}
