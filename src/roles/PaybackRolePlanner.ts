/**
 * Changes a role only if the change pays back: the work gained while the current mix is expected to last must exceed
 * the work lost while the engine is out of service, plus a weight that the operators configure. Kontenerowo uses a small
 * weight, which favours goodput; Acuarios uses a large one, which favours fewer changes.
 */
import { engineRoleSchema } from '../configuration/index.js'
import type { Model } from '../common/index.js'
import { enginesByModel, roleCountsOf } from './enginesByModel.js'
import { MixTrend } from './MixTrend.js'
import { type EngineCapacity, type PlannedEngine, type PlannerInput, type RoleChange, RolePlanner } from './RolePlanner.js'
import {
  countsAfterChange, coversPrefillAndDecode, type EngineDemand, engineDemandOf, prefillShareOf, type RoleCounts, servedFraction
} from './servedFraction.js'

/** Options of a `PaybackRolePlanner`. */
export interface PaybackRolePlannerOptions {
  /** Cost of a change in addition to the work lost while the engine is out of service, in engine-seconds. */
  changeWeightSeconds: number
  /** Factor by which the gain must exceed the cost, so that small estimation errors cause no change. */
  hysteresis: number
  /** Minimum time for which an engine keeps a role, in milliseconds; engines being replaced are exempt. */
  minimumRoleMilliseconds: number
  /** Maximum number of changes per hour, over all models. */
  maxChangesPerHour: number
}

/** Default options of a `PaybackRolePlanner`. */
export const defaultPaybackOptions: PaybackRolePlannerOptions = {
  changeWeightSeconds: 30,
  hysteresis: 1.2,
  minimumRoleMilliseconds: 20_000,
  maxChangesPerHour: 60
}

interface ChangeCandidate {
  engine: PlannedEngine
  change: RoleChange
  /** Gain minus the cost multiplied by `hysteresis`, in engine-seconds. */
  netGain: number
}

const hourMilliseconds = 3_600_000

/** Plans role changes that pay back within the estimated horizon. */
export class PaybackRolePlanner extends RolePlanner {
  private readonly trends = new Map<Model, MixTrend>()
  private recentChangeTimes: number[] = []

  constructor (private readonly options: PaybackRolePlannerOptions = defaultPaybackOptions) {
    super()
  }

  plan (input: PlannerInput): RoleChange[] {
    const changes: RoleChange[] = []
    this.recentChangeTimes = this.recentChangeTimes.filter(at => input.now - at < hourMilliseconds)
    for (const [model, engines] of enginesByModel(input.engines)) {
      const demand = input.demand.get(model)
      if (demand === undefined) continue
      const trend = this.trendOf(model)
      trend.addSample(input.now, demand, prefillShareOf(demand, input.capacity))
      if (this.recentChangeTimes.length >= this.options.maxChangesPerHour) continue
      const best = this.bestChange(engines, trend, input)
      if (best === undefined) continue
      this.recentChangeTimes.push(input.now)
      changes.push(best.change)
    }
    return changes
  }

  private trendOf (model: Model): MixTrend {
    const existing = this.trends.get(model)
    if (existing !== undefined) return existing
    const trend = new MixTrend()
    this.trends.set(model, trend)
    return trend
  }

  private bestChange (engines: PlannedEngine[], trend: MixTrend, input: PlannerInput): ChangeCandidate | undefined {
    // Allows one change at a time for each model, so that each decision is based on the effect of the previous one.
    if (engines.some(engine => engine.unavailable && !engine.isBeingReplaced)) return undefined
    const demand = engineDemandOf(trend.demand(), input.capacity)
    const horizonSeconds = trend.horizon(input.now) / 1000
    return this.changeCandidates(engines, demand, horizonSeconds, input)
      .filter(candidate => candidate.netGain > 0)
      .sort((left, right) => right.netGain - left.netGain)[0]
  }

  /**
   * For one engine of each role, the changes to other roles after which both prefill and decode work have an engine.
   */
  private changeCandidates (
    engines: PlannedEngine[],
    demand: EngineDemand,
    horizonSeconds: number,
    input: PlannerInput
  ): ChangeCandidate[] {
    const counts = roleCountsOf(engines)
    const enginesToChange = engineRoleSchema.options.flatMap(from => {
      const engine = this.selectEngine(engines.filter(candidate => candidate.role === from), input.now)
      return engine === undefined ? [] : [engine]
    })
    return enginesToChange.flatMap(engine => engineRoleSchema.options
      .filter(to => to !== engine.role && coversPrefillAndDecode(countsAfterChange(counts, engine.role, to)))
      .map(to => this.candidateFor(engine, to, counts, demand, horizonSeconds, input.capacity)))
  }

  /** Of the engines in one role, selects one that is already being replaced, or else the one longest in its role. */
  private selectEngine (engines: PlannedEngine[], now: number): PlannedEngine | undefined {
    const engineBeingReplaced = engines.find(engine => engine.isBeingReplaced)
    if (engineBeingReplaced !== undefined) return engineBeingReplaced
    return engines
      .filter(engine => !engine.unavailable && now - engine.roleSince >= this.options.minimumRoleMilliseconds)
      .sort((left, right) => left.roleSince - right.roleSince)[0]
  }

  private candidateFor (
    engine: PlannedEngine,
    to: PlannedEngine['role'],
    counts: RoleCounts,
    demand: EngineDemand,
    horizonSeconds: number,
    capacity: EngineCapacity
  ): ChangeCandidate {
    const totalDemand = demand.prefill + demand.decode
    const servedDemand = (roles: RoleCounts): number => servedFraction(demand, roles, capacity.mixedEfficiency) * totalDemand
    const servedBefore = servedDemand(counts)
    const servedDuringChange = servedDemand({ ...counts, [engine.role]: counts[engine.role] - 1 })
    const changeSeconds = engine.isBeingReplaced ? 0 : capacity.changeSeconds
    const gain = (servedDemand(countsAfterChange(counts, engine.role, to)) - servedBefore) *
      Math.max(0, horizonSeconds - changeSeconds)
    const weight = engine.isBeingReplaced ? 0 : this.options.changeWeightSeconds
    const cost = (servedBefore - servedDuringChange) * changeSeconds + weight
    const reason = `gain ${gain.toFixed(1)} s, cost ${cost.toFixed(1)} s, horizon ${horizonSeconds.toFixed(0)} s`
    return {
      engine,
      change: { worker: engine.worker, from: engine.role, to, reason },
      netGain: gain - cost * this.options.hysteresis
    }
  }
}
