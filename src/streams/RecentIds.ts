/**
 * The ids of the most recent records of a stream. A record whose id is among them is a duplicated append and has no
 * effect. The set is bounded by count instead of time, so that all hosts hold the same ids at the same offset.
 */

/** Maximum number of ids. With 24 characters per id, they add 27 KB to a snapshot. */
export const maxRecentIds = 1000

/** A bounded set of ids that drops the oldest id when it is full. */
export class RecentIds {
  /** Iterates in insertion order, so the first id is the oldest. */
  private ids = new Set<string>()

  has (id: string): boolean {
    return this.ids.has(id)
  }

  /** Adds an id, which must not be in the set yet. */
  add (id: string): void {
    this.ids.add(id)
    if (this.ids.size <= maxRecentIds) return
    const oldest = this.ids.values().next()
    if (!oldest.done) this.ids.delete(oldest.value)
  }

  /** Returns all ids, oldest first. */
  list (): string[] {
    return [...this.ids]
  }

  /** Replaces all ids by those of a snapshot, oldest first. */
  restore (ids: string[]): void {
    this.ids = new Set(ids.slice(-maxRecentIds))
  }
}
