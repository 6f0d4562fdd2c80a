/**
 * KV cache transfer of the engine stand-in. An export has a description of the blocks in place of their data, and
 * takes as long as a transfer of the data would. All transfers of one engine share its link.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure, requestIdSchema } from '../../common/index.js'
import { promptSchema, promptTextOf } from './completions.js'
import type { EngineSettings } from './EngineSettings.js'
import type { ModelTable } from './ModelTable.js'
import type { WorkTimer } from './WorkTimer.js'
import type { PrefixCache } from './PrefixCache.js'
import type { RequestTable } from './RequestTable.js'
import { blocksOf, type KvBlock, tokensOf } from './tokens.js'

const blockSchema = z.object({ hash: z.string(), tokens: z.number().int().positive() })
const modelPromptSchema = z.object({ model: z.string() }).and(promptSchema)

/** Body of `POST /kv/export`: the id of a request on this engine, or a prompt. */
export const kvExportSchema = z.union([z.object({ request_id: requestIdSchema }), modelPromptSchema])

/** Body of `POST /kv/import`: the response body of `POST /kv/export`. */
export const kvImportSchema = z.object({ model: z.string(), blocks: z.array(blockSchema).max(100_000) })

/** KV cache that can be exported. */
interface ExportableKvCache {
  model: string
  /** Number of output tokens that it covers. */
  position: number
  /** Number of prompt and output tokens that it covers. */
  tokens: number
  blocks: KvBlock[]
}

/** Options of `StandInKvTransfer`. */
export interface StandInKvTransferOptions {
  settings: EngineSettings
  timer: WorkTimer
  cache: PrefixCache
  requests: RequestTable
  models: ModelTable
}

/** The KV cache exports and imports of one engine. */
export class StandInKvTransfer {
  constructor (private readonly options: StandInKvTransferOptions) {}

  /** Exports the KV cache of a request or a prompt, with its size in bytes. Errors: `not_found`. */
  async export (source: z.infer<typeof kvExportSchema>): Promise<Result<ExportableKvCache & { bytes: number }, Failure>> {
    const kvCache = 'request_id' in source ? this.kvCacheOfRequest(source.request_id) : this.kvCacheOfPrompt(source)
    if (kvCache === undefined) return Result.err(failure('not_found', 'the engine does not have this KV cache'))
    await this.simulateTransfer(kvCache.tokens)
    return Result.ok({ ...kvCache, bytes: kvCache.tokens * this.options.settings.kvBytesPerToken })
  }

  /** Adds the imported blocks to the prefix cache; returns their number of tokens. Errors: `unknown_model`. */
  async import (imported: z.infer<typeof kvImportSchema>): Promise<Result<{ tokens: number }, Failure>> {
    if (this.options.models.baseModelOf(imported.model) === undefined) {
      return Result.err(failure('unknown_model', `model "${imported.model}" is not loaded`))
    }
    const tokens = imported.blocks.reduce((sum, block) => sum + block.tokens, 0)
    await this.simulateTransfer(tokens)
    this.options.cache.importBlocks(imported.blocks)
    return Result.ok({ tokens })
  }

  /**
   * The KV cache of a request: available while it generates, and after its end as long as the prefix cache has its full
   * blocks.
   */
  private kvCacheOfRequest (requestId: string): ExportableKvCache | undefined {
    const request = this.options.requests.get(requestId)
    if (request === undefined || request.state === 'queued' || request.state === 'prefill') return undefined
    const blocks = request.exportBlocks()
    if (request.hasEnded && !this.options.cache.hasFullBlocks(blocks)) return undefined
    const { position, promptTokenCount, details } = request
    return { model: details.model, position, tokens: promptTokenCount + position, blocks }
  }

  private kvCacheOfPrompt (source: z.infer<typeof modelPromptSchema>): ExportableKvCache | undefined {
    const promptTokens = tokensOf(promptTextOf(source))
    const blocks = blocksOf(source.model, promptTokens, this.options.settings.blockTokens)
    if (!this.options.cache.hasFullBlocks(blocks)) return undefined
    return { model: source.model, position: 0, tokens: promptTokens.length, blocks }
  }

  private async simulateTransfer (tokens: number): Promise<void> {
    this.options.timer.restart()
    await this.options.timer.waitFor(tokens * this.options.settings.cost.transferMilliseconds)
  }
}
