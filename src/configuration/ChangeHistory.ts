/**
 * The latest changes of each path. At most 100 are kept per path, and all entries together stay below a
 * fixed length: a pool document alone can have 100 KB, and a host has 32 MB for the whole system. The limits
 * depend only on the entries, so all hosts keep the same ones.
 */
import type { Offset } from '../common/index.js'
import type { HistoryEntry } from './changes.js'

/** Most entries of one path. */
export const maxEntriesPerPath = 100

/** Default for the most JSON text of all entries, in UTF-16 code units. */
export const defaultHistoryLength = 8 * 1024 * 1024

/** Length of an entry without its value, roughly. */
const entryOverhead = 200

function lengthOf (entry: HistoryEntry): number {
  return entryOverhead + JSON.stringify(entry.value).length
}

/** Latest changes by path; the oldest entries give way first. */
export class ChangeHistory {
  private readonly byPath = new Map<string, HistoryEntry[]>()
  /** All entries, oldest first, with their lengths. */
  private readonly lengths = new Map<HistoryEntry, number>()
  private totalLength = 0

  constructor (private readonly maxLength = defaultHistoryLength) {}

  /** Adds the newest entry. */
  add (entry: HistoryEntry): void {
    const length = lengthOf(entry)
    const entries = this.byPath.get(entry.path)
    if (entries === undefined) this.byPath.set(entry.path, [entry])
    else entries.push(entry)
    this.lengths.set(entry, length)
    this.totalLength += length
    if (entries !== undefined && entries.length > maxEntriesPerPath) this.remove(entries[0] as HistoryEntry)
    this.dropOldest()
  }

  /** Kept changes of a path, oldest first. */
  of (path: string): readonly HistoryEntry[] {
    return this.byPath.get(path) ?? []
  }

  /** The change that made the given version of a path, if it is kept. */
  at (path: string, version: Offset): HistoryEntry | undefined {
    return this.of(path).findLast(entry => entry.version === version)
  }

  /** All entries, oldest first. */
  all (): HistoryEntry[] {
    return [...this.lengths.keys()]
  }

  private dropOldest (): void {
    while (this.totalLength > this.maxLength) {
      const oldest = this.lengths.keys().next()
      if (oldest.done === true) return
      this.remove(oldest.value)
    }
  }

  private remove (entry: HistoryEntry): void {
    this.totalLength -= this.lengths.get(entry) ?? 0
    this.lengths.delete(entry)
    const entries = this.byPath.get(entry.path) ?? []
    entries.splice(entries.indexOf(entry), 1)
    if (entries.length === 0) this.byPath.delete(entry.path)
  }
}
