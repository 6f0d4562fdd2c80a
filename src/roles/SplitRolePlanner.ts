/**
 * Keeps a fixed share of the engines of each model in the prefill role. This suits a mix that alternates faster than a
 * role change pays back: the split is established before the load arrives, and roles change only when engines join or
 * leave.
 */
import type { EngineRole } from '../configuration/index.js'
import { type PlannedEngine, type PlannerInput, type RoleChange, RolePlanner } from './RolePlanner.js'

/** Share of a model's engines that may be unavailable at once because of role changes. */
const maxChangingShare = 0.4

/**
 * Minimum number of a model's engines at which two of them stay decode engines, so that one remains after the loss of
 * the other. In smaller pools the second engine is needed for prompts: computing a prompt occupies an engine for longer
 * than generating the answer, and fewer prefill engines cache fewer parts of prompts.
 */
const minEnginesForTwoDecodeEngines = 5

/**
 * Minimum time for which all engines must have had their roles before a change. A replacement starts before its
 * predecessor stops, so that there is briefly one engine too many.
 */
const settleMilliseconds = 3000

/**
 * Share of the prefill engines that is missing at which roles change without waiting. During a replacement of engines
 * one after the other, engines never settle, and the new ones all start as decode engines.
 */
const urgentShortage = 0.4

/**
 * Minimum number of decode engines per zone at which they are spread over the zones. With fewer, the shares of the
 * zones would differ by half, and callers in one zone would use the engines of other zones in spite of the spread.
 */
const minDecodeEnginesPerZone = 2

/** Time for which an engine has to state a limit before another one generates answers in its place, in milliseconds. */
const limitSettleMilliseconds = 1000

/**
 * Plans a fixed share of prefill engines for each model; mixed engines keep their role. Engines that limit the rate of
 * their requests compute prompts rather than generate answers: there are fewer decode engines, so that each of them gets
 * more requests.
 */
export class SplitRolePlanner extends RolePlanner {
  /** `prefillShare` is the share of prefill engines, from 0 to 1. */
  constructor (private readonly prefillShare: number) {
    super()
  }

  plan ({ now, engines }: PlannerInput): RoleChange[] {
    const byModel = new Map<string, PlannedEngine[]>()
    for (const engine of engines) {
      if (engine.role !== 'mixed') byModel.set(engine.model, [...byModel.get(engine.model) ?? [], engine])
    }
    return [...byModel.values()].flatMap(modelEngines => this.planModel(modelEngines, now))
  }

  private planModel (engines: PlannedEngine[], now: number): RoleChange[] {
    const minDecodeEngines = engines.length < minEnginesForTwoDecodeEngines ? 1 : 2
    const targetPrefillCount = Math.min(
      engines.length - minDecodeEngines,
      Math.max(1, Math.round(this.prefillShare * engines.length))
    )
    if (targetPrefillCount < 1) return []
    const exchange = planExchange(engines, targetPrefillCount, now)
    if (exchange.length > 0) return exchange
    const unavailableCount = engines.filter(({ unavailable }) => unavailable).length
    const prefillShortage = targetPrefillCount - engines.filter(({ role }) => role === 'prefill').length
    const hasSettled = engines.every(({ roleSince }) => now - roleSince >= settleMilliseconds)
    if (!hasSettled && prefillShortage <= urgentShortage * targetPrefillCount) return []
    const [from, to]: [EngineRole, EngineRole] = prefillShortage > 0 ? ['decode', 'prefill'] : ['prefill', 'decode']
    // An engine whose change is in progress still reports its previous role, so unavailable engines are subtracted.
    const changeCount = Math.min(
      Math.abs(prefillShortage) - unavailableCount,
      Math.max(1, Math.floor(maxChangingShare * engines.length)) - unavailableCount
    )
    const changeable = orderByLimit(engines.filter(({ role, unavailable }) => role === from && !unavailable), to)
    const zoneCount = new Set(engines.map(({ zone }) => zone)).size
    const spreadsOverZones = engines.length - targetPrefillCount >= minDecodeEnginesPerZone * zoneCount
    return (spreadsOverZones ? orderByLargestZone(changeable) : changeable)
      .slice(0, Math.max(0, changeCount))
      .map(({ worker }) => ({ worker, from, to, reason: `${targetPrefillCount} of ${engines.length} engines compute prompts` }))
  }
}

/**
 * Plans that engines without a limit generate answers in place of limited ones, until half of the decode engines have no
 * limit. The prefill engines without a limit change first, so that answers go on meanwhile; the split then returns as many
 * limited decode engines to the prompts.
 */
function planExchange (engines: PlannedEngine[], targetPrefillCount: number, now: number): RoleChange[] {
  const prefill = engines.filter(({ role }) => role === 'prefill')
  const decode = engines.filter(({ role }) => role === 'decode')
  const isAtRest = engines.every(({ unavailable, roleSince }) => !unavailable && now - roleSince >= settleMilliseconds)
  if (prefill.length !== targetPrefillCount || !isAtRest) return []
  const limitedCount = decode.filter(({ limitedSince = Infinity }) => now - limitedSince >= limitSettleMilliseconds).length
  const maxChanges = Math.max(1, Math.floor(maxChangingShare * engines.length))
  const changeCount = Math.min(limitedCount - Math.floor(decode.length / 2), maxChanges)
  return prefill
    .filter(({ limitedSince }) => limitedSince === undefined)
    .slice(0, Math.max(0, changeCount))
    .map(({ worker }) => ({
      worker, from: 'prefill', to: 'decode', reason: `${limitedCount} of ${decode.length} decode engines state a limit`
    }))
}

/** Orders engines that may change to a role: for prompts the limited ones first, for answers the others. */
function orderByLimit (engines: PlannedEngine[], to: EngineRole): PlannedEngine[] {
  const limited = engines.filter(({ limitedSince }) => limitedSince !== undefined)
  const others = engines.filter(({ limitedSince }) => limitedSince === undefined)
  return to === 'prefill' ? [...limited, ...others] : [...others, ...limited]
}

/**
 * Orders engines so that each one is from the zone with the most remaining engines. If engines change their role in
 * this order, about the same number of unchanged engines remains in all zones.
 */
function orderByLargestZone (engines: PlannedEngine[]): PlannedEngine[] {
  const byZone = new Map<PlannedEngine['zone'], PlannedEngine[]>()
  for (const engine of engines) byZone.set(engine.zone, [...byZone.get(engine.zone) ?? [], engine])
  const ordered: PlannedEngine[] = []
  while (ordered.length < engines.length) {
    const [largestGroup] = [...byZone.values()].sort((left, right) => right.length - left.length)
    ordered.push(...largestGroup!.splice(0, 1))
  }
  return ordered
}
