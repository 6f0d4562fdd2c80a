/**
 * A map of bounded size that drops its oldest entries. The limit is a number of entries, so projections that apply the
 * same records drop the same entries.
 */

/** Values by key. Above the capacity, the entry that was set least recently is dropped. */
export class BoundedTable<Value> {
  private readonly values = new Map<string, Value>()

  constructor (private readonly capacity: number) {}

  get (key: string): Value | undefined {
    return this.values.get(key)
  }

  /** Sets a value and makes it the newest entry, also if the key was present. */
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
