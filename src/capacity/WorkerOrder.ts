/**
 * What the planner of worker numbers knows about a pool, and the orders that it gives.
 */
import type { Zone } from '../common/index.js'
import type { OpenWork, WorkerCountOrder, WorkerKind } from '../duties/index.js'

/** How the operators allow a pool to grow and shrink. The limits hold for each zone, for both kinds together. */
export interface PoolScaling {
  minWorkersPerZone: number
  maxWorkersPerZone: number
  /** Time from an order until a new worker serves, in milliseconds. */
  startupMilliseconds: number
  /** Price of a spot worker as a share of that of a standard one; undefined if the pool has no spot workers. */
  spotPrice: number | undefined
  /** Price of a worker in each zone. */
  zonePrices: ReadonlyMap<Zone, number>
}

/** A worker of the pool that is serving or leaving. */
export interface CountedWorker {
  zone: Zone
  kind: WorkerKind
  /** True if the worker has announced its end. */
  leaving: boolean
}

/** Work of a pool at one moment, summed over all hosts. */
export interface PoolDemand extends OpenWork {
  /** The part of each zone, from whose callers it comes; undefined if it is not known. */
  zones?: ReadonlyMap<Zone, OpenWork>
}

/** The number of workers of one kind that a zone is to have, and why. */
export interface WorkerOrder extends WorkerCountOrder {
  /** Number that was counted when the order was planned. */
  before: number
  reason: string
}
