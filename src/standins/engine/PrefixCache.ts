/**
 * Prefix cache of the engine stand-in: full blocks with least-recently-used eviction. Imported KV cache can end in a
 * partial block, which is stored separately until a request uses it.
 */
import type { KvBlock } from './tokens.js'

/** A change of the cache: blocks stored or evicted, or the whole cache cleared. */
export type CacheChange =
  | { kind: 'stored' | 'removed', blocks: string[] }
  | { kind: 'cleared' }

/** Options of `PrefixCache`. */
export interface PrefixCacheOptions {
  blockTokens: number
  capacityBlocks: number
  onChange: (change: CacheChange) => void
}

/** Maximum number of imported partial blocks that no request has used; the oldest are dropped. */
const maxImportedPartialBlocks = 256

/** Tracks which blocks are cached, by hash; the blocks have no data. */
export class PrefixCache {
  /** Hashes in order of use, the least recently used first. */
  private readonly blocks = new Set<string>()
  private readonly importedPartialBlocks = new Set<string>()

  constructor (private readonly options: PrefixCacheOptions) {}

  /** Number of cached tokens at the start of the sequence. */
  cachedTokens (sequence: readonly KvBlock[]): number {
    let tokens = 0
    for (const block of sequence) {
      if (!this.blocks.has(block.hash) && !this.importedPartialBlocks.has(block.hash)) break
      tokens += block.tokens
    }
    return tokens
  }

  /** Like `cachedTokens`, but marks the blocks as used and drops the partial block at the end of the sequence. */
  useCached (sequence: readonly KvBlock[]): number {
    const tokens = this.cachedTokens(sequence)
    this.markUsed(sequence.map(({ hash }) => hash).filter(hash => this.blocks.has(hash)))
    const last = sequence.at(-1)
    if (last !== undefined) this.importedPartialBlocks.delete(last.hash)
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

  /** Adds the full and partial blocks of an import. */
  importBlocks (sequence: readonly KvBlock[]): void {
    this.store(sequence)
    for (const { hash, tokens } of sequence) {
      if (tokens < this.options.blockTokens) this.importedPartialBlocks.add(hash)
    }
    for (const hash of this.importedPartialBlocks) {
      if (this.importedPartialBlocks.size <= maxImportedPartialBlocks) break
      this.importedPartialBlocks.delete(hash)
    }
  }

  /** Removes all blocks. */
  clear (): void {
    this.blocks.clear()
    this.importedPartialBlocks.clear()
    this.options.onChange({ kind: 'cleared' })
  }

  /**
   * Marks the blocks of a sequence as used, in reverse order: a block is useless without those before it, so the end
   * of a sequence has to be evicted first.
   */
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
