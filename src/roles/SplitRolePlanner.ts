/**
 * Keeps a fixed share of the engines of each model on prompts. It suits a mix that swings faster than a change of a
 * role pays back: the split is set once, before the load comes, and changes only when engines come or go.
 */
import type { EngineRole } from '../configuration/index.js'
import { type PlannedEngine, type PlannerInput, type RoleChange, RolePlanner } from './RolePlanner.js'

/** Share of a model's engines that may be out of service for changes at once. */
const maxChangingShare = 0.4

/**
 * Engines of a pool of which two go on generating, so that the loss of one leaves one. Smaller pools lack engines for
 * prompts: a prompt keeps an engine busy for longer than its answer, and fewer engines keep fewer parts of prompts.
 */
const enginesForTwoGenerating = 5

/**
 * Time for which all engines must have had their roles, in milliseconds. A replaced engine starts before its
 * predecessor leaves, so for a moment there is one too many.
 */
const settledMilliseconds = 3000

/**
 * Generating engines for each zone from which on they are spread over the zones. With fewer the zones would get shares
 * that differ by half, and a zone's callers would use the others all the same.
 */
const generatingPerZone = 2

/** Keeps a share of the engines on prompts. */
export class SplitRolePlanner extends RolePlanner {
  /** `prefillShare`: from 0 to 1. */
  constructor (private readonly prefillShare: number) {
    super()
  }

  plan ({ now, engines }: PlannerInput): RoleChange[] {
    if (engines.some(({ roleSince }) => now - roleSince < settledMilliseconds)) return []
    const byModel = new Map<string, PlannedEngine[]>()
    for (const engine of engines) {
      if (engine.role !== 'mixed') byModel.set(engine.model, [...byModel.get(engine.model) ?? [], engine])
    }
    return [...byModel.values()].flatMap(members => this.changesOf(members))
  }

  private changesOf (engines: PlannedEngine[]): RoleChange[] {
    const minGenerating = engines.length < enginesForTwoGenerating ? 1 : 2
    const wanted = Math.min(engines.length - minGenerating, Math.max(1, Math.round(this.prefillShare * engines.length)))
    if (wanted < 1) return []
    const changing = engines.filter(({ unavailable }) => unavailable).length
    const missing = wanted - engines.filter(({ role }) => role === 'prefill').length
    const [from, to]: [EngineRole, EngineRole] = missing > 0 ? ['decode', 'prefill'] : ['prefill', 'decode']
    // An engine that is being changed still shows its former role.
    const count = Math.min(Math.abs(missing) - changing, Math.max(1, Math.floor(maxChangingShare * engines.length)) - changing)
    const able = engines.filter(({ role, unavailable }) => role === from && !unavailable)
    const zones = new Set(engines.map(({ zone }) => zone)).size
    const isSpread = engines.length - wanted >= generatingPerZone * zones
    return (isSpread ? spreadOverZones(able) : able)
      .slice(0, Math.max(0, count))
      .map(({ worker }) => ({ worker, from, to, reason: `${wanted} of ${engines.length} engines compute prompts` }))
  }
}

/** Engines of the zone that has most of them come first, so that all zones keep about as many. */
function spreadOverZones (engines: PlannedEngine[]): PlannedEngine[] {
  const byZone = new Map<PlannedEngine['zone'], PlannedEngine[]>()
  for (const engine of engines) byZone.set(engine.zone, [...byZone.get(engine.zone) ?? [], engine])
  const ordered: PlannedEngine[] = []
  while (ordered.length < engines.length) {
    const [largest] = [...byZone.values()].sort((left, right) => right.length - left.length)
    ordered.push(...largest!.splice(0, 1))
  }
  return ordered
}
