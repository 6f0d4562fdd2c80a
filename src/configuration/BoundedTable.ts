/**
 * A table that forgets its oldest entries. The limit depends only on the number of entries, so projections that
 * apply the same records forget the same entries.
 */

/** Values by key; the entry that was set first gives way first. */
export class BoundedTable<Value> {
  private readonly values = new Map<string, Value>()

  constructor (private readonly capacity: number) {}

  get (key: string): Value | undefined {
    return this.values.get(key)
  }

  /** Sets a value; it counts as the newest entry. */
  set (key: string, value: Value): void {
    this.values.delete(key)
    this.values.set(key, value)
    if (this.values.size <= this.capacity) return
    const oldest = this.values.keys().next()
    if (oldest.done !== true) this.values.delete(oldest.value)
  }

  delete (key: string): void {
    this.values.delete(key)
  }

  /** All entries, oldest first. */
  entries (): Array<[string, Value]> {
    return [...this.values]
  }
}
