/**
 * Compares what the configuration wants of an engine with what the engine says it is.
 */
import type { Model, WorkerId } from '../common/index.js'
import type { ConfigurationReader } from '../configuration/index.js'
import type { EngineOrder, EngineState } from '../orders/index.js'

/** What the configuration wants of one engine. */
export interface WantedEngine {
  models: Array<{ model: Model, version: string }>
  adapters: Array<{ adapter: Model, model: Model, version: string }>
  /** Configured role; undefined leaves the role as it is. */
  role: 'prefill' | 'decode' | 'mixed' | undefined
}

/** What the configuration wants of the engines of a pool's workers. */
export function wantedEngines (configuration: ConfigurationReader): Map<WorkerId, WantedEngine> {
  const wanted = new Map<WorkerId, WantedEngine>()
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
      wanted.set(worker.id, {
        models,
        adapters: adapters.filter(adapter => document.models.includes(adapter.model)),
        role: roles.get(worker.id)?.role
      })
    }
  }
  return wanted
}

/** The next order that brings an engine closer to what is wanted; undefined if there is nothing to do. */
export function nextOrder (wanted: WantedEngine, state: EngineState): EngineOrder | undefined {
  for (const { model, version } of wanted.models) {
    const loaded = state.models.find(present => present.model === model)
    if (loaded === undefined) return { kind: 'load_model', model, version }
    if (loaded.version !== version) return { kind: 'load_version', model, version }
  }
  const adapter = wanted.adapters.find(each => !state.adapters.some(present =>
    present.adapter === each.adapter && present.model === each.model && present.version === each.version))
  if (adapter !== undefined) return { kind: 'load_adapter', ...adapter }
  const surplus = state.models.find(({ model }) => wanted.models.every(each => each.model !== model))
  if (surplus !== undefined) return { kind: 'unload_model', model: surplus.model }
  if (wanted.role !== undefined && wanted.role !== state.role) return { kind: 'change_role', role: wanted.role }
  return undefined
}
