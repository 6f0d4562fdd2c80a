/**
 * What orders change in the engine stand-in: role, models, and whether it is in service. Carries out the orders
 * and takes the time that they cost.
 */
import { finished } from 'node:stream/promises'
import { request } from 'undici'
import { match } from 'ts-pattern'
import type { Clock } from '../../common/index.js'
import type { EngineRole } from '../../configuration/index.js'
import type { Batch } from './Batch.js'
import type { EngineSettings } from './EngineSettings.js'
import { ModelTable } from './ModelTable.js'
import type { EngineOrder } from './orders.js'
import type { PrefixCache } from './PrefixCache.js'

/** Options of the state. */
export interface EngineStateOptions {
  clock: Clock
  settings: EngineSettings
  batch: Batch
  cache: PrefixCache
  /** Called after each change. */
  onChange: () => void
}

/** State that orders change. */
export class EngineState {
  role: EngineRole
  /** False while a role change is carried out. */
  isInService = true
  /** Requests that had begun when an order ended them; a planned change that drained first leaves this at 0. */
  interruptedRequests = 0
  readonly models: ModelTable

  constructor (private readonly options: EngineStateOptions) {
    this.role = options.settings.role
    this.models = new ModelTable(options.settings)
  }

  /** Carries out an order. Rejects when it fails. */
  async execute (order: EngineOrder): Promise<void> {
    const { cost } = this.options.settings
    await match(order)
      .with({ kind: 'load_model' }, { kind: 'load_version' }, async ({ model, version }) => {
        if (this.models.isLoaded(model, version)) return
        await this.download(model, version)
        await this.spend(cost.loadMilliseconds)
        this.models.setModel(model, version)
      })
      .with({ kind: 'load_adapter' }, async ({ adapter, model, version }) => {
        if (this.models.modelOf(model) === undefined) throw new Error(`model "${model}" is not loaded`)
        await this.spend(cost.loadAdapterMilliseconds)
        this.models.setAdapter(adapter, model, version)
      })
      .with({ kind: 'unload_model' }, async ({ model }) => {
        this.interrupt(`model "${model}" was unloaded`, name => this.models.modelOf(name) === model)
        this.models.remove(model)
      })
      .with({ kind: 'change_role' }, async ({ role }) => await this.changeRole(role))
      .with({ kind: 'fence' }, async () => {})
      .exhaustive()
    this.options.onChange()
  }

  private async changeRole (role: EngineRole): Promise<void> {
    if (this.role === role) return
    this.isInService = false
    this.interrupt('the engine changes its role', () => true)
    await this.spend(this.options.settings.cost.changeRoleMilliseconds)
    this.options.cache.clear()
    this.role = role
    this.isInService = true
  }

  private interrupt (reason: string, fits: (model: string) => boolean): void {
    this.interruptedRequests += this.options.batch.interrupt(reason, ({ details }) => fits(details.model))
  }

  private async spend (milliseconds: number): Promise<void> {
    await this.options.clock.sleep(milliseconds * this.options.settings.timeScale)
  }

  /** Downloads weights from the weight store, if there is one; waits as long as the store asks to. */
  private async download (model: string, version: string): Promise<void> {
    const { weightStore } = this.options.settings
    if (weightStore === undefined) return
    for (;;) {
      const { statusCode, headers, body } = await request(`${weightStore}/weights/${model}/${version}`)
      // The bytes are of no use here; reading them takes the time that the store gives them.
      await finished(body.resume())
      if (statusCode === 200) return
      if (statusCode !== 429) throw new Error(`the weight store answered with status ${statusCode}`)
      await this.options.clock.sleep(Number(headers['retry-after'] ?? 1) * 1000)
    }
  }
}
