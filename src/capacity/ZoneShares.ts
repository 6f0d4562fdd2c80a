/**
 * How the workers of a pool are divided among the zones: as the demand of the zones' callers. A zone that is cut off from
 * the others has its own workers alone, and the loss of a zone takes away only as many workers as its callers need.
 */
import type { Zone } from '../common/index.js'
import { peakMilliseconds, toleratedShare } from './WorkerTarget.js'

/** Follows the demand of the zones of one pool. */
export class ZoneShares {
  private readonly averages = new Map<Zone, number>()
  private observedSince: number | undefined
  private recordedAt: number | undefined
  private shares: ReadonlyMap<Zone, number>

  /** `present`: number of workers in each zone, which are divided well until the demand has been observed. */
  constructor (present: ReadonlyMap<Zone, number>) {
    this.shares = normalized(present)
  }

  /**
   * Returns the share of each zone, from 0 to 1. They change only if the number of workers of a zone, of `total`, would
   * change by more than what is tolerated. `demand`: workers that the callers of each zone occupy; undefined if unknown.
   */
  update (demand: ReadonlyMap<Zone, number> | undefined, total: number, now: number): ReadonlyMap<Zone, number> {
    if (demand !== undefined) this.record(demand, now)
    if (this.observedSince === undefined || now - this.observedSince < peakMilliseconds) return this.shares
    const observed = normalized(this.averages)
    const zones = new Set([...observed.keys(), ...this.shares.keys()])
    const hasMoved = [...zones].some(zone => {
      const before = (this.shares.get(zone) ?? 0) * total
      return Math.abs((observed.get(zone) ?? 0) * total - before) > Math.max(1, before * toleratedShare)
    })
    if (hasMoved) this.shares = observed
    return this.shares
  }

  private record (demand: ReadonlyMap<Zone, number>, now: number): void {
    if ([...demand.values()].every(value => value === 0)) return
    this.observedSince ??= now
    const elapsed = now - (this.recordedAt ?? now)
    this.recordedAt = now
    const weight = Math.min(1, elapsed / Math.min(peakMilliseconds, Math.max(1, now - this.observedSince)))
    for (const zone of new Set([...demand.keys(), ...this.averages.keys()])) {
      const value = demand.get(zone) ?? 0
      const average = this.averages.get(zone)
      this.averages.set(zone, average === undefined ? value : average + weight * (value - average))
    }
  }
}

function normalized (values: ReadonlyMap<Zone, number>): ReadonlyMap<Zone, number> {
  const sum = [...values.values()].reduce((total, value) => total + value, 0)
  return new Map([...values].map(([zone, value]) => [zone, sum === 0 ? 1 / values.size : value / sum]))
}

/**
 * Divides a number among zones by their weights, within the limit of each zone; equal remainders go to the first zones.
 * What does not fit into zones with a weight goes to the others.
 */
export function divideAmongZones (
  total: number,
  zones: readonly Zone[],
  weightOf: (zone: Zone) => number,
  limitOf: (zone: Zone) => number
): Map<Zone, number> {
  const divided = new Map(zones.map(zone => [zone, 0]))
  for (let open = total; open > 0; open -= 1) {
    const withRoom = zones.filter(zone => divided.get(zone)! < limitOf(zone))
    if (withRoom.length === 0) break
    const need = (zone: Zone): number => weightOf(zone) / (divided.get(zone)! + 0.5)
    const next = withRoom.reduce((best, zone) => need(zone) > need(best) ? zone : best)
    divided.set(next, divided.get(next)! + 1)
  }
  return divided
}
