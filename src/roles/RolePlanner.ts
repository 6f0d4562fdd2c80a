/**
 * Planning of engine roles. A planner looks at the engines of one zone and at the demand, and says which
 * engines should change their role. It runs at the holder of the zone's planner lease only.
 */
import type { EngineRole } from '../configuration/index.js'
import type { Model, WorkerId, Zone } from '../common/index.js'

/** An engine as the planner sees it. */
export interface PlannedEngine {
  worker: WorkerId
  /** The model that the engine serves. */
  model: Model
  role: EngineRole
  /** Undefined where zones do not matter, such as in a zone's own planning. */
  zone?: Zone
  /** Monotonic time in milliseconds since which the engine has its role. */
  roleSince: number
  /** True while an order to the engine is open, or the engine takes no work for another reason. */
  unavailable: boolean
  /** True if the engine is being replaced anyway, so that a change of its role takes nothing extra away. */
  isBeingReplaced: boolean
}

/** Demand for one model, in tokens per second. */
export interface ModelDemand {
  prefillTokensPerSecond: number
  decodeTokensPerSecond: number
}

/** What one engine does when it does nothing else, and what a change costs. */
export interface EngineCapacity {
  prefillTokensPerSecond: number
  decodeTokensPerSecond: number
  /** Time for which a change takes the engine away, draining included. */
  changeSeconds: number
  /**
   * Share of its capacity that a mixed engine keeps while it does both kinds of work within the latency
   * targets: prefill steps delay the tokens of running streams.
   */
  mixedEfficiency: number
}

/** What a planner decides from. */
export interface PlannerInput {
  /** Monotonic time in milliseconds. */
  now: number
  engines: PlannedEngine[]
  demand: Map<Model, ModelDemand>
  capacity: EngineCapacity
}

/** A change that the planner wants. */
export interface RoleChange {
  worker: WorkerId
  from: EngineRole
  to: EngineRole
  /** Why, for the time line. */
  reason: string
}

/** A way of planning roles. */
export abstract class RolePlanner {
  /** Called about once a second with the latest demand; returns the changes to start now. */
  abstract plan (input: PlannerInput): RoleChange[]
}

/** Keeps the configured roles. The first baseline. */
export class StaticRolePlanner extends RolePlanner {
  plan (): RoleChange[] {
    return []
  }
}
