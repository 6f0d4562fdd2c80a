/**
 * What a host derives from the text of a prompt: its number of tokens and the hashes of its blocks, in the
 * form in which the engines publish the blocks in their caches.
 */
import { createHash } from 'node:crypto'

/** A prompt as the router sees it. */
export interface AnalysedPrompt {
  promptTokens: number
  /** Hash of each full block together with everything before it, first block first. */
  promptBlocks: readonly string[]
  /** Tokens of each block, where blocks differ in size. */
  blockTokens?: readonly number[]
}

/** Knows how the engines of a deployment split prompts. */
export abstract class PromptTokenizer {
  /** Tokens of a full block. */
  abstract readonly blockTokens: number
  /** Analyses a prompt for a model. */
  abstract analyse (model: string, prompt: string): AnalysedPrompt
}

/** Default block size of the engines, in tokens. */
export const defaultBlockTokens = 2048

/** Blocks that are hashed of one prompt; later ones hardly change the choice of an engine. */
const maxBlocks = 64

/**
 * Words between white space as tokens. The hash of a block is the start of the SHA-256 of the hash before it
 * (of the model for the first) and the block's words.
 */
export class WordTokenizer extends PromptTokenizer {
  constructor (readonly blockTokens = defaultBlockTokens) {
    super()
  }

  analyse (model: string, prompt: string): AnalysedPrompt {
    const words = prompt.split(/\s+/).filter(word => word !== '')
    const promptBlocks: string[] = []
    let before = model
    const count = Math.min(maxBlocks, Math.floor(words.length / this.blockTokens))
    for (let block = 0; block < count; block += 1) {
      const part = words.slice(block * this.blockTokens, (block + 1) * this.blockTokens).join(' ')
      before = createHash('sha256').update(`${before}\n${part}`).digest('hex').slice(0, 16)
      promptBlocks.push(before)
    }
    return { promptTokens: words.length, promptBlocks }
  }
}
