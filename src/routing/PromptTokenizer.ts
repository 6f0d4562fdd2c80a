/**
 * Counts the tokens of a prompt and hashes its blocks. The hashes equal those in the cache events of the engines, so
 * that a host can tell which engine holds which part of a prompt.
 */
import { createHash } from 'node:crypto'

/** The properties of a prompt that routing uses. */
export interface AnalysedPrompt {
  promptTokens: number
  /** Hashes of the full blocks in order; each hash covers the block and all blocks before it. */
  promptBlocks: readonly string[]
  /** Number of tokens in each block; undefined if all blocks have the same size. */
  blockTokens?: readonly number[]
}

/** Divides prompts into tokens and blocks in the same way as the engines of a deployment. */
export abstract class PromptTokenizer {
  /** Number of tokens in a full block. */
  abstract readonly blockTokens: number
  /** Counts the tokens of a prompt and hashes its blocks for a model. */
  abstract analyse (model: string, prompt: string): AnalysedPrompt
}

/** Default block size of the engines, in tokens. */
export const defaultBlockTokens = 2048

/** Limit on the blocks hashed for one prompt; later blocks hardly affect the choice of an engine. */
const maxHashedBlocks = 64

/**
 * Treats each word between white space as a token. The hash of a block is the first 16 hexadecimal digits of the SHA-256
 * of the previous block's hash, or of the model name for the first block, followed by the words of the block.
 */
export class WordTokenizer extends PromptTokenizer {
  constructor (readonly blockTokens = defaultBlockTokens) {
    super()
  }

  analyse (model: string, prompt: string): AnalysedPrompt {
    const words = prompt.split(/\s+/).filter(word => word !== '')
    const promptBlocks: string[] = []
    let previousHash = model
    const blockCount = Math.min(maxHashedBlocks, Math.floor(words.length / this.blockTokens))
    for (let block = 0; block < blockCount; block += 1) {
      const blockText = words.slice(block * this.blockTokens, (block + 1) * this.blockTokens).join(' ')
      previousHash = createHash('sha256').update(`${previousHash}\n${blockText}`).digest('hex').slice(0, 16)
      promptBlocks.push(previousHash)
    }
    return { promptTokens: words.length, promptBlocks }
  }
}
