/**
 * The ids of the latest records of a stream. A record whose id is among them is a duplicated append and has
 * no effect. The set is bounded by count and not by time, so that all readers hold the same ids.
 */

/** Ids kept; at 24 characters each a snapshot grows by 27 KB. */
export const maxRecentIds = 1000

/** A bounded set of ids that forgets the oldest ones. */
export class RecentIds {
  /** A `Set` iterates in the order of insertion. */
  private ids = new Set<string>()

  has (id: string): boolean {
    return this.ids.has(id)
  }

  /** Adds an id that is not in the set yet. */
  add (id: string): void {
    this.ids.add(id)
    if (this.ids.size <= maxRecentIds) return
    const oldest = this.ids.values().next()
    if (!oldest.done) this.ids.delete(oldest.value)
  }

  /** All ids, oldest first. */
  list (): string[] {
    return [...this.ids]
  }

  /** Replaces all ids by those of a snapshot. */
  restore (ids: string[]): void {
    this.ids = new Set(ids.slice(-maxRecentIds))
  }
}
