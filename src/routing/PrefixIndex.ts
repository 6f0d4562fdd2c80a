/**
 * Owns the hints which worker holds which prompt blocks. Hints come from the requests that this host sent and
 * from the cache events of the engines. A wrong hint costs time, never a wrong answer.
 */
import { z } from 'zod'
import { type Incarnation, incarnationSchema, type WorkerId } from '../common/index.js'

const eventHead = { sequence: z.number().int().positive(), incarnation: incarnationSchema }

/** A cache event of an engine. Events are numbered from 1 for each incarnation. */
export const cacheEventSchema = z.discriminatedUnion('kind', [
  z.object({ ...eventHead, kind: z.enum(['stored', 'removed']), blocks: z.array(z.string()) }),
  z.object({ ...eventHead, kind: z.literal('cleared') })
])
export type CacheEvent = z.infer<typeof cacheEventSchema>

/**
 * What became of an event. `old`: it was applied before. `gap`: events before it are missing; it was not applied.
 */
export type EventVerdict = 'applied' | 'old' | 'gap'

interface WorkerHints {
  blocks: Set<string>
  incarnation: Incarnation | undefined
  /** Number of the next event. */
  next: number
}

/** Pairs of block and worker that are kept by default; about 40 MB. */
export const defaultMaxHints = 200_000

const noHints: ReadonlyMap<WorkerId, number> = new Map()

/** Hints about cached prefixes. */
export class PrefixIndex {
  /** Workers by block, the least recently used block first. */
  private readonly holders = new Map<string, Set<WorkerId>>()
  private readonly workers = new Map<WorkerId, WorkerHints>()
  private pairs = 0

  constructor (private readonly maxHints = defaultMaxHints) {}

  /** Number of hints. */
  get size (): number {
    return this.pairs
  }

  /** For each worker that holds the start of the prompt: how many leading blocks it holds. */
  cachedBlocks (blocks: readonly string[]): ReadonlyMap<WorkerId, number> {
    const first = blocks[0]
    if (first === undefined || !this.holders.has(first)) return noHints
    const cached = new Map<WorkerId, number>()
    for (const [position, block] of blocks.entries()) {
      let found = false
      for (const worker of this.holders.get(block) ?? []) {
        if ((cached.get(worker) ?? 0) !== position) continue
        cached.set(worker, position + 1)
        found = true
      }
      if (!found) break
    }
    return cached
  }

  /** Notes that a worker computes a prompt and will hold its blocks. */
  noteSent (worker: WorkerId, blocks: readonly string[]): void {
    if (blocks.length === 0) return
    const hints = this.hintsOf(worker)
    for (const block of blocks.toReversed()) this.add(worker, hints, block)
    this.evict()
  }

  /** Number of the next event wanted from a worker of the given incarnation. A new incarnation has an empty cache. */
  nextEvent (worker: WorkerId, incarnation: Incarnation): number {
    const hints = this.hintsOf(worker)
    if (hints.incarnation !== incarnation) this.restart(worker, hints, incarnation)
    return hints.next
  }

  /** Applies an event if it is the next one. */
  apply (worker: WorkerId, event: CacheEvent): EventVerdict {
    const hints = this.hintsOf(worker)
    if (hints.incarnation !== event.incarnation) this.restart(worker, hints, event.incarnation)
    if (event.sequence < hints.next) return 'old'
    if (event.sequence > hints.next) return 'gap'
    hints.next += 1
    if (event.kind === 'cleared') this.clear(worker, hints)
    else if (event.kind === 'stored') for (const block of event.blocks) this.add(worker, hints, block)
    else for (const block of event.blocks) this.remove(worker, hints, block)
    this.evict()
    return 'applied'
  }

  /**
   * Gives up missing events: what the worker holds is unknown, so all hints about it go, and the next event
   * wanted is the given one.
   */
  resynchronise (worker: WorkerId, next: number): void {
    const hints = this.hintsOf(worker)
    this.clear(worker, hints)
    hints.next = next
  }

  /** Drops everything about a worker. */
  forget (worker: WorkerId): void {
    const hints = this.workers.get(worker)
    if (hints === undefined) return
    this.clear(worker, hints)
    this.workers.delete(worker)
  }

  private hintsOf (worker: WorkerId): WorkerHints {
    const known = this.workers.get(worker)
    if (known !== undefined) return known
    const hints: WorkerHints = { blocks: new Set(), incarnation: undefined, next: 1 }
    this.workers.set(worker, hints)
    return hints
  }

  private restart (worker: WorkerId, hints: WorkerHints, incarnation: Incarnation): void {
    // Hints from requests sent before the first event are about this incarnation.
    if (hints.incarnation !== undefined) this.clear(worker, hints)
    hints.incarnation = incarnation
    hints.next = 1
  }

  private add (worker: WorkerId, hints: WorkerHints, block: string): void {
    const holders = this.holders.get(block) ?? new Set()
    this.holders.delete(block)
    this.holders.set(block, holders)
    if (holders.has(worker)) return
    holders.add(worker)
    hints.blocks.add(block)
    this.pairs += 1
  }

  private remove (worker: WorkerId, hints: WorkerHints, block: string): void {
    if (!hints.blocks.delete(block)) return
    this.pairs -= 1
    const holders = this.holders.get(block)
    holders?.delete(worker)
    if (holders?.size === 0) this.holders.delete(block)
  }

  private clear (worker: WorkerId, hints: WorkerHints): void {
    for (const block of [...hints.blocks]) this.remove(worker, hints, block)
  }

  private evict (): void {
    while (this.pairs > this.maxHints) {
      const oldest = this.holders.entries().next()
      if (oldest.done === true) return
      const [block, holders] = oldest.value
      for (const worker of [...holders]) this.remove(worker, this.hintsOf(worker), block)
    }
  }
}
