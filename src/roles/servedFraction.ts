/**
 * How much of a model's demand a set of engines can serve.
 */
import type { EngineRole } from '../configuration/index.js'
import type { EngineCapacity, ModelDemand } from './RolePlanner.js'

/** Number of engines in each role. */
export type RoleCounts = Record<EngineRole, number>

/** Demand in engines: how many engines the prefill and the decode work would fill. */
export interface EngineDemand {
  prefill: number
  decode: number
}

/** Utilisation above which queues grow too long for the latency targets. */
const targetUtilisation = 0.8

/** Converts demand in tokens per second into engines at the target utilisation. */
export function engineDemandOf (demand: ModelDemand, capacity: EngineCapacity): EngineDemand {
  return {
    prefill: demand.prefillTokensPerSecond / capacity.prefillTokensPerSecond / targetUtilisation,
    decode: demand.decodeTokensPerSecond / capacity.decodeTokensPerSecond / targetUtilisation
  }
}

/** Share of the prefill work in all work, by engine time; one half while there is no demand. */
export function prefillShareOf (demand: ModelDemand, capacity: EngineCapacity): number {
  const engines = engineDemandOf(demand, capacity)
  const all = engines.prefill + engines.decode
  return all === 0 ? 0.5 : engines.prefill / all
}

/**
 * The largest fraction of the demand, at most 1, that the engines serve when mixed engines are divided in
 * the best way. The three bounds: all prefill work fits on prefill and mixed engines, all decode work on
 * decode and mixed ones, and all work on all engines.
 */
export function servedFraction (demand: EngineDemand, counts: RoleCounts, mixedEfficiency: number): number {
  const mixed = counts.mixed * mixedEfficiency
  const bounds = [
    [counts.prefill + mixed, demand.prefill],
    [counts.decode + mixed, demand.decode],
    [counts.prefill + counts.decode + mixed, demand.prefill + demand.decode]
  ] as const
  return bounds.reduce((fraction, [supply, need]) => need <= 0 ? fraction : Math.min(fraction, supply / need), 1)
}

/** The counts after one engine changed its role. */
export function countsAfter (counts: RoleCounts, from: EngineRole, to: EngineRole): RoleCounts {
  return { ...counts, [from]: counts[from] - 1, [to]: counts[to] + 1 }
}

/** True if both kinds of work still have an engine that takes them. */
export function coversBothKinds (counts: RoleCounts): boolean {
  return counts.prefill + counts.mixed > 0 && counts.decode + counts.mixed > 0
}
