/**
 * Grouping and counting of the engines that a planner receives.
 */
import type { Model } from '../common/index.js'
import type { PlannedEngine } from './RolePlanner.js'
import type { RoleCounts } from './servedFraction.js'

/** Groups the engines by model. */
export function enginesByModel (engines: PlannedEngine[]): Map<Model, PlannedEngine[]> {
  const byModel = new Map<Model, PlannedEngine[]>()
  for (const engine of engines) {
    const modelEngines = byModel.get(engine.model)
    if (modelEngines === undefined) byModel.set(engine.model, [engine])
    else modelEngines.push(engine)
  }
  return byModel
}

/** Counts the engines in each role. */
export function roleCountsOf (engines: PlannedEngine[]): RoleCounts {
  const counts: RoleCounts = { prefill: 0, decode: 0, mixed: 0 }
  for (const engine of engines) counts[engine.role] += 1
  return counts
}
