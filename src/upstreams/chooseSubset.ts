/**
 * Chooses the workers of a pool that a host routes to. Rendezvous hashing keeps the choice stable: a worker
 * that joins or leaves changes the subset by at most that one worker.
 */
import type { Hash, HostId, Zone } from '../common/index.js'
import type { WorkerDocument } from '../configuration/index.js'

/** Fraction of the subset that is reserved for workers of other zones, as far as the pool has any. */
const otherZoneFraction = 0.25

/** Options of `chooseSubset`. */
export interface SubsetOptions {
  hostId: HostId
  zone: Zone
  /** Most workers in the subset. */
  size: number
  hash: Hash
}

/** The subset: workers of the own zone first, then those of other zones, each group in rendezvous order. */
export function chooseSubset (workers: readonly WorkerDocument[], options: SubsetOptions): WorkerDocument[] {
  const ranked = workers
    .map(worker => ({ worker, score: options.hash.h64(`${options.hostId}/${worker.id}`) }))
    .sort((left, right) => (left.score < right.score ? 1 : left.score > right.score ? -1 : 0))
    .map(({ worker }) => worker)
  const own = ranked.filter(worker => worker.zone === options.zone)
  const others = ranked.filter(worker => worker.zone !== options.zone)
  const reserved = Math.min(others.length, Math.floor(options.size * otherZoneFraction))
  const ownChosen = own.slice(0, options.size - reserved)
  return [...ownChosen, ...others.slice(0, options.size - ownChosen.length)]
}
