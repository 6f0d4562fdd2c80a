/**
 * Estimates how much of the demand for a model a set of engines can serve.
 */
import type { EngineRole } from '../configuration/index.js'
import type { EngineCapacity, ModelDemand } from './RolePlanner.js'

/** Number of engines in each role. */
export type RoleCounts = Record<EngineRole, number>

/** Demand expressed as the number of engines that the prefill and the decode work would occupy. */
export interface EngineDemand {
  prefill: number
  decode: number
}

/** Maximum utilisation of an engine; at a higher one, queues grow too long for the latency targets. */
const targetUtilisation = 0.8

/** Converts demand in tokens per second to a number of engines at the target utilisation. */
export function engineDemandOf (demand: ModelDemand, capacity: EngineCapacity): EngineDemand {
  return {
    prefill: demand.prefillTokensPerSecond / capacity.prefillTokensPerSecond / targetUtilisation,
    decode: demand.decodeTokensPerSecond / capacity.decodeTokensPerSecond / targetUtilisation
  }
}

/** Share of prefill work in the engine time of all work, from 0 to 1; one half if there is no demand. */
export function prefillShareOf (demand: ModelDemand, capacity: EngineCapacity): number {
  const engines = engineDemandOf(demand, capacity)
  const totalEngines = engines.prefill + engines.decode
  return totalEngines === 0 ? 0.5 : engines.prefill / totalEngines
}

/**
 * Maximum fraction of the demand, up to 1, that the engines can serve if the time of mixed engines is divided
 * optimally between both kinds of work. It is the minimum of three bounds: prefill work on prefill and mixed engines,
 * decode work on decode and mixed engines, and all work on all engines.
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

/** The counts after one engine has changed its role. */
export function countsAfterChange (counts: RoleCounts, from: EngineRole, to: EngineRole): RoleCounts {
  return { ...counts, [from]: counts[from] - 1, [to]: counts[to] + 1 }
}

/** True if at least one engine does prefill work and at least one does decode work. */
export function coversPrefillAndDecode (counts: RoleCounts): boolean {
  return counts.prefill + counts.mixed > 0 && counts.decode + counts.mixed > 0
}
