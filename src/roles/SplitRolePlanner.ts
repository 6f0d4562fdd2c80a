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
    return engines
      .filter(({ role, unavailable }) => role === from && !unavailable)
      .slice(0, Math.max(0, count))
      .map(({ worker }) => ({ worker, from, to, reason: `${wanted} of ${engines.length} engines compute prompts` }))
  }
}
