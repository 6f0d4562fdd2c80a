/**
 * The tokenizer and the text generator of the engine stand-in. Tokens are separated by whitespace. The generated token
 * at position i depends only on the model, the prompt and i, so all engines generate the same text and tests can check
 * an answer token by token.
 */
import { createHash } from 'node:crypto'

/** Splits a text into tokens. */
export function tokensOf (text: string): string[] {
  return text.split(/\s+/).filter(token => token !== '')
}

function sha256Of (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

/** The unlimited output that a model generates for a prompt. */
export class GeneratedText {
  private readonly seed: string

  constructor (model: string, promptTokens: readonly string[]) {
    this.seed = sha256Of(`${model}\n${promptTokens.join(' ')}`)
  }

  /** The token at a position, counted from 0. */
  tokenAt (position: number): string {
    return `t${sha256Of(`${this.seed} ${position}`).slice(0, 8)}`
  }

  /** The tokens at positions from `from` (inclusive) to `to` (exclusive). */
  tokensBetween (from: number, to: number): string[] {
    return Array.from({ length: Math.max(0, to - from) }, (_, index) => this.tokenAt(from + index))
  }
}

/** The text that every engine generates for a prompt: the first `count` tokens, separated by spaces. */
export function expectedText (model: string, prompt: string, count: number): string {
  return new GeneratedText(model, tokensOf(prompt)).tokensBetween(0, count).join(' ')
}

/** A block of the KV cache. */
export interface KvBlock {
  /**
   * First 16 hexadecimal digits of the SHA-256 of: the hash of the previous block (for the first block: the model
   * name), a newline, and the tokens separated by spaces.
   */
  hash: string
  /** Number of tokens. */
  tokens: number
}

/** Splits a token sequence into blocks of `blockTokens` tokens; only the last block can be shorter. */
export function blocksOf (model: string, tokens: readonly string[], blockTokens: number): KvBlock[] {
  const blocks: KvBlock[] = []
  let previousHash = model
  for (let start = 0; start < tokens.length; start += blockTokens) {
    const part = tokens.slice(start, start + blockTokens)
    previousHash = sha256Of(`${previousHash}\n${part.join(' ')}`).slice(0, 16)
    blocks.push({ hash: previousHash, tokens: part.length })
  }
  return blocks
}
