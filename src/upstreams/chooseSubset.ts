/**
 * Chooses the workers of a pool that a host routes to. Rendezvous hashing keeps the choice stable: when a
 * worker joins or leaves, at most one worker of the subset changes.
 */
import type { Hash, HostId, Zone } from '../common/index.js'
import type { WorkerDocument } from '../configuration/index.js'

/** Fraction of the subset that is reserved for workers of other zones, as far as the pool has any. */
const otherZoneFraction = 0.25

/** Options of `chooseSubset`. */
export interface SubsetOptions {
  hostId: HostId
  zone: Zone
  /** Maximum number of workers in the subset. */
  size: number
  hash: Hash
}

/** Returns the workers of the own zone first, then those of other zones, each group in rendezvous order. */
export function chooseSubset (workers: readonly WorkerDocument[], options: SubsetOptions): WorkerDocument[] {
  const ranked = workers
    .map(worker => ({ worker, score: options.hash.h64(`${options.hostId}/${worker.id}`) }))
    .sort((left, right) => (left.score < right.score ? 1 : left.score > right.score ? -1 : 0))
    .map(({ worker }) => worker)
  const ownZoneWorkers = ranked.filter(worker => worker.zone === options.zone)
  const otherZoneWorkers = ranked.filter(worker => worker.zone !== options.zone)
  const reservedCount = Math.min(otherZoneWorkers.length, Math.floor(options.size * otherZoneFraction))
  const chosenOwnZoneWorkers = ownZoneWorkers.slice(0, options.size - reservedCount)
  return [...chosenOwnZoneWorkers, ...otherZoneWorkers.slice(0, options.size - chosenOwnZoneWorkers.length)]
}
