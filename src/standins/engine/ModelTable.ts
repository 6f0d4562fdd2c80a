/**
 * The models and adapters that the engine stand-in has loaded.
 */
import type { Model } from '../../common/index.js'
import type { EngineSettings } from './EngineSettings.js'

/** What is loaded. */
export class ModelTable {
  private readonly models = new Map<Model, string>()
  private readonly adapters = new Map<Model, { model: Model, version: string }>()

  constructor (settings: Pick<EngineSettings, 'models' | 'adapters'>) {
    for (const { model, version } of settings.models) this.setModel(model, version)
    for (const { adapter, model, version } of settings.adapters) this.setAdapter(adapter, model, version)
  }

  /** Names that requests may ask for: models, and adapters whose model is loaded. */
  names (): Model[] {
    const adapters = [...this.adapters].filter(([, { model }]) => this.models.has(model)).map(([adapter]) => adapter)
    return [...this.models.keys(), ...adapters]
  }

  /** The model behind a name that requests may ask for. */
  modelOf (name: string): Model | undefined {
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
  remove (model: Model): void {
    this.models.delete(model)
    for (const [adapter, base] of [...this.adapters]) {
      if (base.model === model) this.adapters.delete(adapter)
    }
  }

  /** For `GET /state`. */
  describe () {
    return {
      models: [...this.models].map(([model, version]) => ({ model, version })),
      adapters: [...this.adapters].map(([adapter, base]) => ({ adapter, ...base }))
    }
  }
}
