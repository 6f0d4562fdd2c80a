/**
 * The tokenizer and the "model" of the engine stand-in. A token is a word between white space. Generated token
 * number i depends only on the model, the prompt and i, so all engines generate the same text and tests can
 * check an answer by position.
 */
import { createHash } from 'node:crypto'

/** Splits a text into tokens. */
export function tokensOf (text: string): string[] {
  return text.split(/\s+/).filter(token => token !== '')
}

function digestOf (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** The tokens that a model generates for a prompt. */
export class GeneratedText {
  private readonly seed: string

  constructor (model: string, promptTokens: readonly string[]) {
    this.seed = digestOf(`${model}\n${promptTokens.join(' ')}`)
  }

  /** The token at a position, from 0. */
  token (position: number): string {
    return `t${digestOf(`${this.seed} ${position}`).slice(0, 8)}`
  }

  /** The tokens of the positions from `from` up to, but without, `to`. */
  tokens (from: number, to: number): string[] {
    return Array.from({ length: Math.max(0, to - from) }, (_, index) => this.token(from + index))
  }
}

/** The whole text that any engine generates for a prompt: `count` tokens with a space between them. */
export function expectedText (model: string, prompt: string, count: number): string {
  return new GeneratedText(model, tokensOf(prompt)).tokens(0, count).join(' ')
}

/** A block of the KV cache. */
export interface KvBlock {
  /**
   * First 16 hexadecimal digits of the SHA-256 of: the hash of the block before (for the first block: the model),
   * a line end, and the tokens with a space between them.
   */
  hash: string
  /** Number of tokens. */
  tokens: number
}

/** Splits a token sequence into blocks; only the last can be shorter than the others. */
export function blocksOf (model: string, tokens: readonly string[], blockTokens: number): KvBlock[] {
  const blocks: KvBlock[] = []
  let before = model
  for (let start = 0; start < tokens.length; start += blockTokens) {
    const part = tokens.slice(start, start + blockTokens)
    before = digestOf(`${before}\n${part.join(' ')}`).slice(0, 16)
    blocks.push({ hash: before, tokens: part.length })
  }
  return blocks
}
