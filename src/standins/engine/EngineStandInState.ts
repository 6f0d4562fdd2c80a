/**
 * The state of the engine stand-in that orders change: role, loaded models, and whether it is in service. Executes
 * the orders and simulates their duration.
 */
import { finished } from 'node:stream/promises'
import { request } from 'undici'
import { match } from 'ts-pattern'
import type { Clock } from '../../common/index.js'
import type { EngineRole } from '../../configuration/index.js'
import type { Batch } from './Batch.js'
import type { EngineSettings } from './EngineSettings.js'
import { ModelTable } from './ModelTable.js'
import type { StandInOrder } from './orders.js'
import type { PrefixCache } from './PrefixCache.js'

/** Options of `EngineStandInState`. */
export interface EngineStandInStateOptions {
  clock: Clock
  settings: EngineSettings
  batch: Batch
  cache: PrefixCache
  /** Called after each change. */
  onChange: () => void
}

/** Executes orders and holds the state that they change. */
export class EngineStandInState {
  role: EngineRole
  /** False during a role change. */
  isInService = true
  /** Number of running requests that orders have ended. Stays 0 if the engine is drained before each such order. */
  interruptedRequests = 0
  readonly models: ModelTable

  constructor (private readonly options: EngineStandInStateOptions) {
    this.role = options.settings.role
    this.models = new ModelTable(options.settings)
  }

  /** Executes an order. Rejects if it fails. */
  async execute (order: StandInOrder): Promise<void> {
    const { cost } = this.options.settings
    await match(order)
      .with({ kind: 'load_model' }, { kind: 'load_version' }, async ({ model, version }) => {
        if (this.models.isLoaded(model, version)) return
        await this.downloadWeights(model, version)
        await this.simulateCost(cost.loadMilliseconds)
        this.models.setModel(model, version)
      })
      .with({ kind: 'load_adapter' }, async ({ adapter, model, version }) => {
        if (this.models.baseModelOf(model) === undefined) throw new Error(`model "${model}" is not loaded`)
        await this.simulateCost(cost.loadAdapterMilliseconds)
        this.models.setAdapter(adapter, model, version)
      })
      .with({ kind: 'unload_model' }, async ({ model }) => {
        this.interruptRequests(`model "${model}" was unloaded`, name => this.models.baseModelOf(name) === model)
        this.models.unloadModel(model)
      })
      .with({ kind: 'change_role' }, async ({ role }) => await this.changeRole(role))
      .with({ kind: 'fence' }, async () => {})
      .exhaustive()
    this.options.onChange()
  }

  private async changeRole (role: EngineRole): Promise<void> {
    if (this.role === role) return
    this.isInService = false
    this.interruptRequests('the engine is changing its role', () => true)
    await this.simulateCost(this.options.settings.cost.changeRoleMilliseconds)
    this.options.cache.clear()
    this.role = role
    this.isInService = true
  }

  private interruptRequests (reason: string, matches: (model: string) => boolean): void {
    this.interruptedRequests += this.options.batch.interrupt(reason, ({ details }) => matches(details.model))
  }

  private async simulateCost (milliseconds: number): Promise<void> {
    await this.options.clock.sleep(milliseconds * this.options.settings.timeScale)
  }

  /** Downloads weights if a weight store is set; retries status 429 after the `retry-after` time. */
  private async downloadWeights (model: string, version: string): Promise<void> {
    const { weightStore } = this.options.settings
    if (weightStore === undefined) return
    for (;;) {
      const { statusCode, headers, body } = await request(`${weightStore}/weights/${model}/${version}`)
      // The bytes are discarded; they are read so that the download takes as long as the store needs to send them.
      await finished(body.resume())
      if (statusCode === 200) return
      if (statusCode !== 429) throw new Error(`the weight store answered with status ${statusCode}`)
      await this.options.clock.sleep(Number(headers['retry-after'] ?? 1) * 1000)
    }
  }
}
