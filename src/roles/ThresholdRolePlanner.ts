/**
 * The second baseline: moves one engine whenever the smoothed share of prefill work differs from the share
 * of engines that take it by more than a threshold. It does not weigh what a change costs.
 */
import type { EngineRole } from '../configuration/index.js'
import type { Model } from '../common/index.js'
import { enginesByModel, roleCountsOf } from './fleetByModel.js'
import { type ModelDemand, type PlannedEngine, type PlannerInput, type RoleChange, RolePlanner } from './RolePlanner.js'
import { countsAfter, coversBothKinds, prefillShareOf } from './servedFraction.js'

/** Options of a `ThresholdRolePlanner`. */
export interface ThresholdRolePlannerOptions {
  /** Difference of the shares, 0 to 1, that starts a change. */
  threshold: number
  /** Shortest time between two changes of one model, in milliseconds. */
  cooldownMilliseconds: number
}

/** Options used when none are given. */
export const defaultThresholdOptions: ThresholdRolePlannerOptions = { threshold: 0.15, cooldownMilliseconds: 5000 }

/** Plans by a threshold on the mix. */
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
    const difference = prefillShareOf(demand, input.capacity) - engineShare(engines)
    if (Math.abs(difference) < this.options.threshold) return undefined
    const to: EngineRole = difference > 0 ? 'prefill' : 'decode'
    const counts = roleCountsOf(engines)
    const engine = engines.find(candidate =>
      !candidate.unavailable && candidate.role !== to && coversBothKinds(countsAfter(counts, candidate.role, to)))
    if (engine === undefined) return undefined
    this.lastChangeAt.set(model, input.now)
    return { worker: engine.worker, from: engine.role, to, reason: `prefill share differs by ${difference.toFixed(2)}` }
  }
}

/** Share of the engines that take prefill work; a mixed engine counts half. */
function engineShare (engines: PlannedEngine[]): number {
  const counts = roleCountsOf(engines)
  return (counts.prefill + counts.mixed / 2) / engines.length
}
