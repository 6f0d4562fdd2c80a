/**
 * Tracks which workers probably hold which prompt blocks in their prefix cache. Each pair of a block and a worker is a
 * hint. Hints come from the requests that this host sent and from the cache events of the engines. A wrong hint makes a
 * request slower but never changes the generated answer.
 */
import { z } from 'zod'
import { type Incarnation, incarnationSchema, type WorkerId } from '../common/index.js'

const commonEventFields = { sequence: z.number().int().positive(), incarnation: incarnationSchema }

/** A cache event of an engine. Each incarnation of the engine numbers its events from 1. */
export const cacheEventSchema = z.discriminatedUnion('kind', [
  z.object({ ...commonEventFields, kind: z.enum(['stored', 'removed']), blocks: z.array(z.string()) }),
  z.object({ ...commonEventFields, kind: z.literal('cleared') })
])
export type CacheEvent = z.infer<typeof cacheEventSchema>

/**
 * Result of `PrefixIndex.apply`. `old`: the event precedes the next expected one and was ignored. `gap`: events before
 * it are missing, so it was not applied.
 */
export type CacheEventResult = 'applied' | 'old' | 'gap'

interface WorkerHints {
  blocks: Set<string>
  incarnation: Incarnation | undefined
  /** Sequence number of the next event to apply. */
  nextSequence: number
}

/** Default limit on the number of hints; 200,000 hints take about 40 MB. */
export const defaultMaxHints = 200_000

const noCachedBlocks: ReadonlyMap<WorkerId, number> = new Map()

/** Stores at most `maxHints` hints; the hints about the least recently used blocks are removed first. */
export class PrefixIndex {
  /** Workers that hold each block, ordered from the least to the most recently used block. */
  private readonly holdersByBlock = new Map<string, Set<WorkerId>>()
  private readonly hintsByWorker = new Map<WorkerId, WorkerHints>()
  private hintCount = 0

  constructor (private readonly maxHints = defaultMaxHints) {}

  /** Number of hints. */
  get size (): number {
    return this.hintCount
  }

  /** Number of leading blocks of the prompt that each worker holds. Workers without the first block are omitted. */
  cachedBlocks (blocks: readonly string[]): ReadonlyMap<WorkerId, number> {
    const firstBlock = blocks[0]
    if (firstBlock === undefined || !this.holdersByBlock.has(firstBlock)) return noCachedBlocks
    const heldBlocks = new Map<WorkerId, number>()
    for (const [position, block] of blocks.entries()) {
      let isHeld = false
      for (const worker of this.holdersByBlock.get(block) ?? []) {
        if ((heldBlocks.get(worker) ?? 0) !== position) continue
        heldBlocks.set(worker, position + 1)
        isHeld = true
      }
      if (!isHeld) break
    }
    return heldBlocks
  }

  /** Records that a prompt was sent to a worker, which holds the blocks of the prompt after computing them. */
  recordSent (worker: WorkerId, blocks: readonly string[]): void {
    if (blocks.length === 0) return
    const hints = this.hintsOf(worker)
    for (const block of blocks.toReversed()) this.add(worker, hints, block)
    this.evict()
  }

  /**
   * Sequence number of the next event expected from this incarnation of a worker. Removes the hints about an earlier
   * incarnation, because an engine starts with an empty cache.
   */
  nextSequence (worker: WorkerId, incarnation: Incarnation): number {
    const hints = this.hintsOf(worker)
    if (hints.incarnation !== incarnation) this.startIncarnation(worker, hints, incarnation)
    return hints.nextSequence
  }

  /** Applies an event if its sequence number is the next one expected from its incarnation. */
  apply (worker: WorkerId, event: CacheEvent): CacheEventResult {
    const hints = this.hintsOf(worker)
    if (hints.incarnation !== event.incarnation) this.startIncarnation(worker, hints, event.incarnation)
    if (event.sequence < hints.nextSequence) return 'old'
    if (event.sequence > hints.nextSequence) return 'gap'
    hints.nextSequence += 1
    if (event.kind === 'cleared') this.clear(worker, hints)
    else if (event.kind === 'stored') for (const block of event.blocks) this.add(worker, hints, block)
    else for (const block of event.blocks) this.remove(worker, hints, block)
    this.evict()
    return 'applied'
  }

  /**
   * Skips missing events and continues at the given sequence number. Without them the content of the worker's cache is
   * unknown, so all hints about the worker are removed.
   */
  resynchronise (worker: WorkerId, nextSequence: number): void {
    const hints = this.hintsOf(worker)
    this.clear(worker, hints)
    hints.nextSequence = nextSequence
  }

  /** Removes all hints about a worker, along with its incarnation and event position. */
  removeWorker (worker: WorkerId): void {
    const hints = this.hintsByWorker.get(worker)
    if (hints === undefined) return
    this.clear(worker, hints)
    this.hintsByWorker.delete(worker)
  }

  private hintsOf (worker: WorkerId): WorkerHints {
    const existing = this.hintsByWorker.get(worker)
    if (existing !== undefined) return existing
    const hints: WorkerHints = { blocks: new Set(), incarnation: undefined, nextSequence: 1 }
    this.hintsByWorker.set(worker, hints)
    return hints
  }

  private startIncarnation (worker: WorkerId, hints: WorkerHints, incarnation: Incarnation): void {
    // Hints recorded before the incarnation was known come from requests to the current one and are kept.
    if (hints.incarnation !== undefined) this.clear(worker, hints)
    hints.incarnation = incarnation
    hints.nextSequence = 1
  }

  private add (worker: WorkerId, hints: WorkerHints, block: string): void {
    const holders = this.holdersByBlock.get(block) ?? new Set()
    this.holdersByBlock.delete(block)
    this.holdersByBlock.set(block, holders)
    if (holders.has(worker)) return
    holders.add(worker)
    hints.blocks.add(block)
    this.hintCount += 1
  }

  private remove (worker: WorkerId, hints: WorkerHints, block: string): void {
    if (!hints.blocks.delete(block)) return
    this.hintCount -= 1
    const holders = this.holdersByBlock.get(block)
    holders?.delete(worker)
    if (holders?.size === 0) this.holdersByBlock.delete(block)
  }

  private clear (worker: WorkerId, hints: WorkerHints): void {
    for (const block of [...hints.blocks]) this.remove(worker, hints, block)
  }

  /** Removes the hints about the least recently used blocks until the limit is met. */
  private evict (): void {
    while (this.hintCount > this.maxHints) {
      const leastRecentlyUsed = this.holdersByBlock.entries().next()
      if (leastRecentlyUsed.done === true) return
      const [block, holders] = leastRecentlyUsed.value
      for (const worker of [...holders]) this.remove(worker, this.hintsOf(worker), block)
    }
  }
}
