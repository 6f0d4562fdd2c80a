/**
 * The models and adapters that the engine stand-in has loaded.
 */
import type { Model } from '../../common/index.js'
import type { EngineSettings } from './EngineSettings.js'

/** The loaded models and adapters with their versions. */
export class ModelTable {
  private readonly models = new Map<Model, string>()
  private readonly adapters = new Map<Model, { model: Model, version: string }>()

  constructor (settings: Pick<EngineSettings, 'models' | 'adapters'>) {
    for (const { model, version } of settings.models) this.setModel(model, version)
    for (const { adapter, model, version } of settings.adapters) this.setAdapter(adapter, model, version)
  }

  /** Names that a request can use as its model: loaded models, and adapters of loaded models. */
  servedNames (): Model[] {
    const adapters = [...this.adapters].filter(([, { model }]) => this.models.has(model)).map(([adapter]) => adapter)
    return [...this.models.keys(), ...adapters]
  }

  /** The loaded model that serves a model or adapter name; undefined if none does. */
  baseModelOf (name: string): Model | undefined {
    const model = this.adapters.get(name as Model)?.model ?? name as Model
    return this.models.has(model) ? model : undefined
  }

  isLoaded (model: Model, version: string): boolean {
    return this.models.get(model) === version
  }

  setModel (model: Model, version: string): void {
    this.models.set(model, version)
  }

  setAdapter (adapter: Model, model: Model, version: string): void {
    this.adapters.set(adapter, { model, version })
  }

  /** Unloads a model together with its adapters. */
  unloadModel (model: Model): void {
    this.models.delete(model)
    for (const [adapter, base] of [...this.adapters]) {
      if (base.model === model) this.adapters.delete(adapter)
    }
  }

  /** The members that models and adapters contribute to `GET /state`. */
  describe () {
    return {
      models: [...this.models].map(([model, version]) => ({ model, version })),
      adapters: [...this.adapters].map(([adapter, base]) => ({ adapter, ...base }))
    }
  }
}
