/**
 * Superseded states of paths. At most 99 are stored per path, which makes 100 with the state in force. A second limit
 * bounds the total length of all entries: a host has 32 MB for the whole system, and a snapshot should fit into the 4 MB
 * of a relay buffer. Both limits depend only on the entries, so all hosts store the same ones. Values are stored as JSON
 * text, which takes about a third of the memory of parsed values.
 */
import type { HistoryEntry } from './changes.js'

/** Maximum number of superseded states of one path. */
export const maxEntriesPerPath = 99

/** Default limit of the total length of all entries, in UTF-16 code units; room for 5,000 to 6,000 small changes. */
const defaultHistoryLength = 768 * 1024

/** Approximate length of an entry without its value, in UTF-16 code units. */
const entryOverhead = 100

interface SerializedEntry extends Omit<HistoryEntry, 'value'> { text: string }

function deserialize ({ text, ...entry }: SerializedEntry): HistoryEntry {
  return { ...entry, value: JSON.parse(text) as unknown }
}

function lengthOf (serialized: SerializedEntry): number {
  return entryOverhead + serialized.text.length
}

/** Superseded states by path. When a limit is exceeded, the entries that were superseded first are dropped. */
export class ChangeHistory {
  private readonly byPath = new Map<string, SerializedEntry[]>()
  /** All entries in the order in which they were superseded, which is the order of eviction. */
  private readonly evictionOrder = new Set<SerializedEntry>()
  private totalLength = 0

  constructor (private readonly maxLength = defaultHistoryLength) {}

  /** Adds a state that has been superseded, and drops old entries beyond the limits. */
  add ({ value, ...entry }: HistoryEntry): void {
    const serialized: SerializedEntry = { ...entry, text: JSON.stringify(value) }
    const entries = this.byPath.get(entry.path)
    if (entries === undefined) this.byPath.set(entry.path, [serialized])
    else entries.push(serialized)
    this.evictionOrder.add(serialized)
    this.totalLength += lengthOf(serialized)
    if (entries !== undefined && entries.length > maxEntriesPerPath) this.remove(entries[0] as SerializedEntry)
    this.evictOldest()
  }

  /** Superseded states of a path, oldest first. */
  entriesOf (path: string): HistoryEntry[] {
    return this.byPath.get(path)?.map(deserialize) ?? []
  }

  /** All entries in the order in which they were superseded. */
  all (): HistoryEntry[] {
    return [...this.evictionOrder].map(deserialize)
  }

  private evictOldest (): void {
    while (this.totalLength > this.maxLength) {
      const oldest = this.evictionOrder.keys().next()
      if (oldest.done === true) return
      this.remove(oldest.value)
    }
  }

  private remove (serialized: SerializedEntry): void {
    this.totalLength -= lengthOf(serialized)
    this.evictionOrder.delete(serialized)
    const entries = this.byPath.get(serialized.path) ?? []
    entries.splice(entries.indexOf(serialized), 1)
    if (entries.length === 0) this.byPath.delete(serialized.path)
  }
}
