/**
 * Changes a role only when the change pays back: the work gained over the time for which the current mix is
 * expected to last has to exceed the work lost while the engine is away, plus a weight that the operators
 * set. Kontenerowo sets a small weight (goodput counts more), Acuarios a large one (changes count more).
 */
import { engineRoleSchema } from '../configuration/index.js'
import type { Model } from '../common/index.js'
import { enginesByModel, roleCountsOf } from './fleetByModel.js'
import { MixTrend } from './MixTrend.js'
import { type EngineCapacity, type PlannedEngine, type PlannerInput, type RoleChange, RolePlanner } from './RolePlanner.js'
import {
  countsAfter, coversBothKinds, type EngineDemand, engineDemandOf, prefillShareOf, type RoleCounts, servedFraction
} from './servedFraction.js'

/** Options of a `PaybackRolePlanner`. */
export interface PaybackRolePlannerOptions {
  /** What one change costs beside the engine's absence, in seconds of one engine's work. */
  changeWeightSeconds: number
  /** The gain has to exceed the cost by this factor, so that estimates that are a little off start nothing. */
  hysteresis: number
  /** Shortest time that an engine keeps a role, in milliseconds. */
  minimumStayMilliseconds: number
  /** Most changes in an hour for all engines that the planner looks after. */
  maxChangesPerHour: number
}

/** Options used when none are given. */
export const defaultPaybackOptions: PaybackRolePlannerOptions = {
  changeWeightSeconds: 30,
  hysteresis: 1.2,
  minimumStayMilliseconds: 20_000,
  maxChangesPerHour: 60
}

interface Candidate {
  engine: PlannedEngine
  change: RoleChange
  /** Gain minus cost, in engine-seconds. */
  profit: number
}

const hourMilliseconds = 3_600_000

/** Plans by payback over an estimated horizon. */
export class PaybackRolePlanner extends RolePlanner {
  private readonly trends = new Map<Model, MixTrend>()
  private recentChanges: number[] = []

  constructor (private readonly options: PaybackRolePlannerOptions = defaultPaybackOptions) {
    super()
  }

  plan (input: PlannerInput): RoleChange[] {
    const changes: RoleChange[] = []
    this.recentChanges = this.recentChanges.filter(at => input.now - at < hourMilliseconds)
    for (const [model, engines] of enginesByModel(input.engines)) {
      const demand = input.demand.get(model)
      if (demand === undefined) continue
      const trend = this.trendOf(model)
      trend.add(input.now, demand, prefillShareOf(demand, input.capacity))
      if (this.recentChanges.length >= this.options.maxChangesPerHour) continue
      const best = this.bestChange(engines, trend, input)
      if (best === undefined) continue
      this.recentChanges.push(input.now)
      changes.push(best.change)
    }
    return changes
  }

  private trendOf (model: Model): MixTrend {
    const known = this.trends.get(model)
    if (known !== undefined) return known
    const trend = new MixTrend()
    this.trends.set(model, trend)
    return trend
  }

  private bestChange (engines: PlannedEngine[], trend: MixTrend, input: PlannerInput): Candidate | undefined {
    // One change at a time for each model: the next decision sees what the last one did.
    if (engines.some(engine => engine.unavailable && !engine.isBeingReplaced)) return undefined
    const demand = engineDemandOf(trend.demand(), input.capacity)
    const horizonSeconds = trend.horizon(input.now) / 1000
    return this.candidates(engines, demand, horizonSeconds, input)
      .filter(candidate => candidate.profit > 0)
      .sort((left, right) => right.profit - left.profit)[0]
  }

  private candidates (
    engines: PlannedEngine[],
    demand: EngineDemand,
    horizonSeconds: number,
    input: PlannerInput
  ): Candidate[] {
    const counts = roleCountsOf(engines)
    const perRole = engineRoleSchema.options.flatMap(from => {
      const engine = this.engineToMove(engines.filter(candidate => candidate.role === from), input.now)
      return engine === undefined ? [] : [engine]
    })
    return perRole.flatMap(engine => engineRoleSchema.options
      .filter(to => to !== engine.role && coversBothKinds(countsAfter(counts, engine.role, to)))
      .map(to => this.candidateFor(engine, to, counts, demand, horizonSeconds, input.capacity)))
  }

  /** Of the engines in one role: one that is being replaced anyway, else the one longest in its role. */
  private engineToMove (engines: PlannedEngine[], now: number): PlannedEngine | undefined {
    const replaced = engines.find(engine => engine.isBeingReplaced)
    if (replaced !== undefined) return replaced
    return engines
      .filter(engine => !engine.unavailable && now - engine.roleSince >= this.options.minimumStayMilliseconds)
      .sort((left, right) => left.roleSince - right.roleSince)[0]
  }

  private candidateFor (
    engine: PlannedEngine,
    to: PlannedEngine['role'],
    counts: RoleCounts,
    demand: EngineDemand,
    horizonSeconds: number,
    capacity: EngineCapacity
  ): Candidate {
    const all = demand.prefill + demand.decode
    const served = (roles: RoleCounts): number => servedFraction(demand, roles, capacity.mixedEfficiency) * all
    const now = served(counts)
    const away = served({ ...counts, [engine.role]: counts[engine.role] - 1 })
    const changeSeconds = engine.isBeingReplaced ? 0 : capacity.changeSeconds
    const gain = (served(countsAfter(counts, engine.role, to)) - now) * Math.max(0, horizonSeconds - changeSeconds)
    const weight = engine.isBeingReplaced ? 0 : this.options.changeWeightSeconds
    const cost = (now - away) * changeSeconds + weight
    const reason = `gain ${gain.toFixed(1)} s, cost ${cost.toFixed(1)} s, horizon ${horizonSeconds.toFixed(0)} s`
    return {
      engine,
      change: { worker: engine.worker, from: engine.role, to, reason },
      profit: gain - cost * this.options.hysteresis
    }
  }
}
