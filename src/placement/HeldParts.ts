/**
 * Which parts of prompts each worker holds in its cache, from its events and from prompts that it computed. The
 * knowledge may be wrong in both directions, which makes a request slower but never changes its answer.
 */
import type { WorkerId } from '../common/index.js'

/** Maximum number of parts that are remembered for one worker; the ones recorded first are forgotten first. */
const maxPartsPerWorker = 20_000

/** Maximum number of parts of all workers together, about 50 MB. */
const defaultMaxParts = 400_000

/** Tokens of each part that each worker holds. */
export class HeldParts {
  private readonly tokensByWorker = new Map<WorkerId, Map<string, number>>()

  constructor (private readonly maxParts = defaultMaxParts) {}

  /** Records that a worker holds this many tokens of a part; 0 if it no longer holds the part. */
  record (worker: WorkerId, part: string, tokens: number): void {
    const parts = this.tokensByWorker.get(worker) ?? new Map<string, number>()
    this.tokensByWorker.set(worker, parts)
    parts.delete(part)
    if (tokens <= 0) return
    parts.set(part, tokens)
    const limit = Math.min(maxPartsPerWorker, Math.floor(this.maxParts / this.tokensByWorker.size))
    for (const oldest of parts.keys()) {
      if (parts.size <= limit) return
      parts.delete(oldest)
    }
  }

  /** Forgets everything about a worker. */
  removeWorker (worker: WorkerId): void {
    this.tokensByWorker.delete(worker)
  }

  /**
   * Number of leading tokens of a prompt that a worker holds. A part counts only if all parts before it are held
   * completely.
   */
  leadingTokens (worker: WorkerId, parts: readonly string[], partTokens: readonly number[]): number {
    const held = this.tokensByWorker.get(worker)
    if (held === undefined) return 0
    let sum = 0
    for (const [position, part] of parts.entries()) {
      const size = partTokens[position] ?? 0
      const tokens = Math.min(size, held.get(part) ?? 0)
      sum += tokens
      if (tokens < size) break
    }
    return sum
  }
}
