/**
 * Export and import of KV cache. What is exported is a description of the blocks, which stands for the data; the
 * transfer takes the time that the data would. All transfers of one engine share its link.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure, requestIdSchema } from '../../common/index.js'
import { promptSchema, promptTextOf } from './completions.js'
import type { EngineSettings } from './EngineSettings.js'
import type { ModelTable } from './ModelTable.js'
import type { Pace } from './Pace.js'
import type { PrefixCache } from './PrefixCache.js'
import type { RequestTable } from './RequestTable.js'
import { blocksOf, type KvBlock, tokensOf } from './tokens.js'

const blockSchema = z.object({ hash: z.string(), tokens: z.number().int().positive() })
const namedPromptSchema = z.object({ model: z.string() }).and(promptSchema)

/** Body of `POST /kv/export`: a request of this engine, or a prompt. */
export const kvExportSchema = z.union([z.object({ request_id: requestIdSchema }), namedPromptSchema])

/** Body of `POST /kv/import`: the answer of `POST /kv/export`. */
export const kvImportSchema = z.object({ model: z.string(), blocks: z.array(blockSchema).max(100_000) })

/** KV cache that can be exported. */
interface HeldKv {
  model: string
  /** Output tokens that it covers. */
  position: number
  /** Prompt and output tokens that it covers. */
  tokens: number
  blocks: KvBlock[]
}

/** Options of the transfers. */
export interface KvTransferOptions {
  settings: EngineSettings
  pace: Pace
  cache: PrefixCache
  requests: RequestTable
  models: ModelTable
}

/** The transfers of one engine. */
export class KvTransfer {
  constructor (private readonly options: KvTransferOptions) {}

  /** Exports what is held of a request or a prompt. Errors: `not_found`. */
  async export (wanted: z.infer<typeof kvExportSchema>): Promise<Result<HeldKv & { bytes: number }, Failure>> {
    const held = 'request_id' in wanted ? this.heldByRequest(wanted.request_id) : this.heldForPrompt(wanted)
    if (held === undefined) return Result.err(failure('not_found', 'the KV cache is not held'))
    await this.takeTime(held.tokens)
    return Result.ok({ ...held, bytes: held.tokens * this.options.settings.kvBytesPerToken })
  }

  /** Makes the blocks cached. Errors: `unknown_model`. */
  async import (given: z.infer<typeof kvImportSchema>): Promise<Result<{ tokens: number }, Failure>> {
    if (this.options.models.modelOf(given.model) === undefined) {
      return Result.err(failure('unknown_model', `model "${given.model}" is not loaded`))
    }
    const tokens = given.blocks.reduce((sum, block) => sum + block.tokens, 0)
    await this.takeTime(tokens)
    this.options.cache.importBlocks(given.blocks)
    return Result.ok({ tokens })
  }

  /** The KV cache of a request: always while it generates, and later as long as the prefix cache has its blocks. */
  private heldByRequest (requestId: string): HeldKv | undefined {
    const request = this.options.requests.get(requestId)
    if (request === undefined || request.state === 'queued' || request.state === 'prefill') return undefined
    const blocks = request.exportBlocks()
    if (request.hasEnded && !this.options.cache.hasFullBlocks(blocks)) return undefined
    const { position, promptTokenCount, details } = request
    return { model: details.model, position, tokens: promptTokenCount + position, blocks }
  }

  private heldForPrompt (wanted: z.infer<typeof namedPromptSchema>): HeldKv | undefined {
    const promptTokens = tokensOf(promptTextOf(wanted))
    const blocks = blocksOf(wanted.model, promptTokens, this.options.settings.blockTokens)
    if (!this.options.cache.hasFullBlocks(blocks)) return undefined
    return { model: wanted.model, position: 0, tokens: promptTokens.length, blocks }
  }

  private async takeTime (tokens: number): Promise<void> {
    this.options.pace.restart()
    await this.options.pace.spend(tokens * this.options.settings.cost.transferMilliseconds)
  }
}
