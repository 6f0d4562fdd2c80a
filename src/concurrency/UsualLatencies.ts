/**
 * Usual latency of each kind of request, over all workers of a host. It makes latencies of different kinds comparable.
 */
import { BoundedTable, RecentMedian } from '../common/index.js'

/** Number of latencies of a kind that are kept. */
const samplesPerKind = 31

/** Number of kinds that are remembered; a configuration has up to 1,400 routes, of which few are in use at once. */
const maxKinds = 2048

/** Follows the latencies of all kinds. */
export class UsualLatencies {
  private readonly byKind = new BoundedTable<RecentMedian>(maxKinds)

  /** Records a latency; returns the usual one of its kind, in milliseconds. */
  record (kind: string, milliseconds: number, now: number): number {
    const known = this.byKind.get(kind)
    const latencies = known ?? new RecentMedian(samplesPerKind)
    if (known === undefined) this.byKind.set(kind, latencies)
    latencies.add(Math.max(1, milliseconds), now)
    return latencies.estimate(Math.max(1, milliseconds), now)
  }
}
