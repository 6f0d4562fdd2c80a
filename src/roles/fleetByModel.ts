/**
 * Views of the planner's input by model.
 */
import type { Model } from '../common/index.js'
import type { PlannedEngine } from './RolePlanner.js'
import type { RoleCounts } from './servedFraction.js'

/** The engines of each model. */
export function enginesByModel (engines: PlannedEngine[]): Map<Model, PlannedEngine[]> {
  const byModel = new Map<Model, PlannedEngine[]>()
  for (const engine of engines) {
    const group = byModel.get(engine.model)
    if (group === undefined) byModel.set(engine.model, [engine])
    else group.push(engine)
  }
  return byModel
}

/** Counts the engines in each role. */
export function roleCountsOf (engines: PlannedEngine[]): RoleCounts {
  const counts: RoleCounts = { prefill: 0, decode: 0, mixed: 0 }
  for (const engine of engines) counts[engine.role] += 1
  return counts
}
