/**
 * Prefix cache of the engine stand-in: full blocks, the least recently used are evicted first. Imported KV
 * cache can end in a shorter block, which is kept beside until a request uses it.
 */
import type { KvBlock } from './tokens.js'

/** What changed in the cache. */
export type CacheChange =
  | { kind: 'stored' | 'removed', blocks: string[] }
  | { kind: 'cleared' }

/** Options of a cache. */
export interface PrefixCacheOptions {
  blockTokens: number
  capacityBlocks: number
  onChange: (change: CacheChange) => void
}

/** Short blocks of imports that no request has used; the oldest are dropped beyond this number. */
const maxImportedTails = 256

/** The cache. */
export class PrefixCache {
  /** Hashes in the order of their use, the least recent first. */
  private readonly blocks = new Set<string>()
  private readonly importedTails = new Set<string>()

  constructor (private readonly options: PrefixCacheOptions) {}

  /** Number of leading tokens of the sequence that are cached. */
  cachedTokens (sequence: readonly KvBlock[]): number {
    let tokens = 0
    for (const block of sequence) {
      if (!this.blocks.has(block.hash) && !this.importedTails.has(block.hash)) break
      tokens += block.tokens
    }
    return tokens
  }

  /** As `cachedTokens`; marks the blocks as used. */
  use (sequence: readonly KvBlock[]): number {
    const tokens = this.cachedTokens(sequence)
    this.markUsed(sequence.map(({ hash }) => hash).filter(hash => this.blocks.has(hash)))
    const last = sequence.at(-1)
    if (last !== undefined) this.importedTails.delete(last.hash)
    return tokens
  }

  /** True if all full blocks of the sequence are cached. */
  hasFullBlocks (sequence: readonly KvBlock[]): boolean {
    return sequence.every(block => block.tokens < this.options.blockTokens || this.blocks.has(block.hash))
  }

  /** Adds the full blocks of a computed sequence. */
  store (sequence: readonly KvBlock[]): void {
    const full = sequence.filter(({ tokens }) => tokens === this.options.blockTokens).map(({ hash }) => hash)
    const added = full.filter(hash => !this.blocks.has(hash))
    this.markUsed(full)
    if (added.length > 0) this.options.onChange({ kind: 'stored', blocks: added })
    this.evict()
  }

  /** Adds the blocks of an import. */
  importBlocks (sequence: readonly KvBlock[]): void {
    this.store(sequence)
    for (const { hash, tokens } of sequence) {
      if (tokens < this.options.blockTokens) this.importedTails.add(hash)
    }
    for (const hash of this.importedTails) {
      if (this.importedTails.size <= maxImportedTails) break
      this.importedTails.delete(hash)
    }
  }

  /** Removes everything. */
  clear (): void {
    this.blocks.clear()
    this.importedTails.clear()
    this.options.onChange({ kind: 'cleared' })
  }

  /** Puts blocks at the recent end, the last of the sequence first, since it is of no use without those before it. */
  private markUsed (hashes: readonly string[]): void {
    for (const hash of hashes.toReversed()) {
      this.blocks.delete(hash)
      this.blocks.add(hash)
    }
  }

  private evict (): void {
    const removed: string[] = []
    for (const hash of this.blocks) {
      if (this.blocks.size <= this.options.capacityBlocks) break
      this.blocks.delete(hash)
      removed.push(hash)
    }
    if (removed.length > 0) this.options.onChange({ kind: 'removed', blocks: removed })
  }
}
