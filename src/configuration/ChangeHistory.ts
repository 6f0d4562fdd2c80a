/**
 * Former states of paths. At most 99 are kept per path, which makes 100 with the state in force, and all
 * together stay below a fixed length: a host has 32 MB for the whole system, and a snapshot should fit into the
 * 4 MB of a relay buffer. The limits depend only on the entries, so all hosts keep the same ones. Values are
 * kept as text, which takes about a third of the memory of parsed ones.
 */
import type { HistoryEntry } from './changes.js'

/** Most former states of one path. */
export const maxEntriesPerPath = 99

/** Default for the most text of all entries, in UTF-16 code units: 5,000 to 6,000 small changes. */
const defaultHistoryLength = 768 * 1024

/** Length of an entry without its value, roughly. */
const entryOverhead = 100

interface KeptEntry extends Omit<HistoryEntry, 'value'> { text: string }

function entryOf ({ text, ...entry }: KeptEntry): HistoryEntry {
  return { ...entry, value: JSON.parse(text) as unknown }
}

function lengthOf (kept: KeptEntry): number {
  return entryOverhead + kept.text.length
}

/** Former states by path; the ones that were superseded first give way first. */
export class ChangeHistory {
  private readonly byPath = new Map<string, KeptEntry[]>()
  /** All entries in the order in which they were superseded. */
  private readonly inOrder = new Set<KeptEntry>()
  private totalLength = 0

  constructor (private readonly maxLength = defaultHistoryLength) {}

  /** Adds a state that is no longer in force. */
  add ({ value, ...entry }: HistoryEntry): void {
    const kept: KeptEntry = { ...entry, text: JSON.stringify(value) }
    const entries = this.byPath.get(entry.path)
    if (entries === undefined) this.byPath.set(entry.path, [kept])
    else entries.push(kept)
    this.inOrder.add(kept)
    this.totalLength += lengthOf(kept)
    if (entries !== undefined && entries.length > maxEntriesPerPath) this.remove(entries[0] as KeptEntry)
    this.dropOldest()
  }

  /** Former states of a path, oldest first. */
  of (path: string): HistoryEntry[] {
    return this.byPath.get(path)?.map(entryOf) ?? []
  }

  /** All entries in the order in which they were superseded. */
  all (): HistoryEntry[] {
    return [...this.inOrder].map(entryOf)
  }

  private dropOldest (): void {
    while (this.totalLength > this.maxLength) {
      const oldest = this.inOrder.keys().next()
      if (oldest.done === true) return
      this.remove(oldest.value)
    }
  }

  private remove (kept: KeptEntry): void {
    this.totalLength -= lengthOf(kept)
    this.inOrder.delete(kept)
    const entries = this.byPath.get(kept.path) ?? []
    entries.splice(entries.indexOf(kept), 1)
    if (entries.length === 0) this.byPath.delete(kept.path)
  }
}
