/**
 * Planning of engine roles. From the engines and the demand of one zone, a planner decides which engines change their
 * role. Only the holder of the zone's planner lease runs a planner.
 */
import type { EngineRole } from '../configuration/index.js'
import type { Model, WorkerId, Zone } from '../common/index.js'

/** The properties of an engine on which a planner decides. */
export interface PlannedEngine {
  worker: WorkerId
  /** The model that the engine serves. */
  model: Model
  role: EngineRole
  /** Undefined if the planner need not distinguish zones, for example because it plans a single one. */
  zone?: Zone
  /** Monotonic time in milliseconds at which the engine took its role. */
  roleSince: number
  /** True while an order to the engine is open, or while the engine takes no work for another reason. */
  unavailable: boolean
  /** Monotonic time in milliseconds since which the engine limits the rate of its requests; undefined if it does not. */
  limitedSince?: number
  /** True if the engine is already being replaced, so that a change of its role removes no additional capacity. */
  isBeingReplaced: boolean
}

/** Demand for one model, in tokens per second. */
export interface ModelDemand {
  prefillTokensPerSecond: number
  decodeTokensPerSecond: number
}

/** Throughput of an engine that does only one kind of work, for both kinds, and the cost of a role change. */
export interface EngineCapacity {
  prefillTokensPerSecond: number
  decodeTokensPerSecond: number
  /** Time for which a change takes the engine out of service, including the drain, in seconds. */
  changeSeconds: number
  /**
   * Share of its capacity, from 0 to 1, that a mixed engine has while it does both kinds of work within the latency
   * targets. Capacity is lost because prefill steps delay the tokens of running streams.
   */
  mixedEfficiency: number
}

/** Input of a planner. */
export interface PlannerInput {
  /** Monotonic time in milliseconds. */
  now: number
  engines: PlannedEngine[]
  demand: Map<Model, ModelDemand>
  capacity: EngineCapacity
}

/** A role change to start. */
export interface RoleChange {
  worker: WorkerId
  from: EngineRole
  to: EngineRole
  /** Explanation for the timeline. */
  reason: string
}

/** Decides periodically which engines change their role. */
export abstract class RolePlanner {
  /** Called about once a second with the latest demand; returns the changes to start now. */
  abstract plan (input: PlannerInput): RoleChange[]
}

/** Never changes a role. Serves as a baseline in measurements. */
export class StaticRolePlanner extends RolePlanner {
  plan (): RoleChange[] {
    return []
  }
}
