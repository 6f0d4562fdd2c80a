/**
 * Derives the desired state of each engine from the configuration and compares it with the state that the engine reports.
 */
import type { Model, WorkerId } from '../common/index.js'
import type { ConfigurationReader } from '../configuration/index.js'
import type { EngineOrder, EngineState } from '../orders/index.js'

/** Desired state of one engine. */
export interface DesiredEngine {
  models: Array<{ model: Model, version: string }>
  adapters: Array<{ adapter: Model, model: Model, version: string }>
  /** Configured role; undefined if none is configured, so that the engine keeps its role. */
  role: 'prefill' | 'decode' | 'mixed' | undefined
}

/** Returns the desired state of each worker of the engine pools. */
export function desiredEngines (configuration: ConfigurationReader): Map<WorkerId, DesiredEngine> {
  const desired = new Map<WorkerId, DesiredEngine>()
  const versions = new Map([...configuration.models()].map(([model, document]) => [model, document.defaultVersion]))
  const adapters = configuration.list('/fleet/adapters/').map(({ path, value }) => ({
    adapter: path.slice('/fleet/adapters/'.length) as Model, ...value as { model: Model, version: string }
  }))
  const roles = configuration.roles()
  for (const document of configuration.pools().values()) {
    if (document.kind !== 'engines') continue
    const models = document.models.flatMap(model => {
      const version = versions.get(model)
      return version === undefined ? [] : [{ model, version }]
    })
    for (const worker of document.workers) {
      desired.set(worker.id, {
        models,
        adapters: adapters.filter(adapter => document.models.includes(adapter.model)),
        role: roles.get(worker.id)?.role
      })
    }
  }
  return desired
}

/** Returns the next order that brings an engine closer to its desired state; undefined if no order is needed. */
export function nextOrder (desired: DesiredEngine, state: EngineState): EngineOrder | undefined {
  for (const { model, version } of desired.models) {
    const loaded = state.models.find(present => present.model === model)
    if (loaded === undefined) return { kind: 'load_model', model, version }
    if (loaded.version !== version) return { kind: 'load_version', model, version }
  }
  const adapter = desired.adapters.find(wanted => !state.adapters.some(loaded =>
    loaded.adapter === wanted.adapter && loaded.model === wanted.model && loaded.version === wanted.version))
  if (adapter !== undefined) return { kind: 'load_adapter', ...adapter }
  const surplus = state.models.find(({ model }) => desired.models.every(desiredModel => desiredModel.model !== model))
  if (surplus !== undefined) return { kind: 'unload_model', model: surplus.model }
  if (desired.role !== undefined && desired.role !== state.role) return { kind: 'change_role', role: desired.role }
  return undefined
}
