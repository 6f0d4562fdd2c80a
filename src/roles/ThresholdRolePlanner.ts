/**
 * Changes the role of one engine if the share of prefill work differs from the share of engines that do it by at least
 * a threshold. The planner ignores the cost of a change and serves as a baseline in measurements.
 */
import type { EngineRole } from '../configuration/index.js'
import type { Model } from '../common/index.js'
import { enginesByModel, roleCountsOf } from './enginesByModel.js'
import { type ModelDemand, type PlannedEngine, type PlannerInput, type RoleChange, RolePlanner } from './RolePlanner.js'
import { countsAfterChange, coversPrefillAndDecode, prefillShareOf } from './servedFraction.js'

/** Options of a `ThresholdRolePlanner`. */
export interface ThresholdRolePlannerOptions {
  /** Minimum difference between the shares, from 0 to 1, at which a change starts. */
  threshold: number
  /** Minimum time between two changes for one model, in milliseconds. */
  cooldownMilliseconds: number
}

/** Default options of a `ThresholdRolePlanner`. */
export const defaultThresholdOptions: ThresholdRolePlannerOptions = { threshold: 0.15, cooldownMilliseconds: 5000 }

/** Plans at most one role change for each model in every cooldown period. */
export class ThresholdRolePlanner extends RolePlanner {
  private readonly lastChangeAt = new Map<Model, number>()

  constructor (private readonly options: ThresholdRolePlannerOptions = defaultThresholdOptions) {
    super()
  }

  plan (input: PlannerInput): RoleChange[] {
    const changes: RoleChange[] = []
    for (const [model, engines] of enginesByModel(input.engines)) {
      const demand = input.demand.get(model)
      if (demand === undefined) continue
      const change = this.planModel(model, engines, demand, input)
      if (change !== undefined) changes.push(change)
    }
    return changes
  }

  private planModel (model: Model, engines: PlannedEngine[], demand: ModelDemand, input: PlannerInput): RoleChange | undefined {
    if (input.now - (this.lastChangeAt.get(model) ?? -Infinity) < this.options.cooldownMilliseconds) return undefined
    const difference = prefillShareOf(demand, input.capacity) - prefillEngineShare(engines)
    if (Math.abs(difference) < this.options.threshold) return undefined
    const to: EngineRole = difference > 0 ? 'prefill' : 'decode'
    const counts = roleCountsOf(engines)
    const engine = engines.find(candidate =>
      !candidate.unavailable && candidate.role !== to && coversPrefillAndDecode(countsAfterChange(counts, candidate.role, to)))
    if (engine === undefined) return undefined
    this.lastChangeAt.set(model, input.now)
    return { worker: engine.worker, from: engine.role, to, reason: `prefill share differs by ${difference.toFixed(2)}` }
  }
}

/** Share of the engines that do prefill work; a mixed engine counts as half. */
function prefillEngineShare (engines: PlannedEngine[]): number {
  const counts = roleCountsOf(engines)
  return (counts.prefill + counts.mixed / 2) / engines.length
}
