/**
 * What a host knows of the windows whose content is decided. The records outlive the loss of the duty, so that a host that
 * decided windows can write them again after the journal's store came back from an older copy.
 */
import type { JournalContent, JournaledWindow, JournalView } from './UsageJournal.js'
import { maxKeptWindows, windowOf } from './windowOf.js'

/** A decided window. */
export interface DecidedWindow {
  record: JournaledWindow
  isReported: boolean
  /** Calls to the platform with this record so far. */
  attempts: number
}

/** The decided windows that this host has written or read. */
export class DecidedWindows {
  private readonly known = new Map<number, DecidedWindow>()
  private newest: number | undefined

  /** Newest window whose content is decided; undefined while the journal has to be read. */
  get through (): number | undefined {
    return this.newest
  }

  /** Number of hosts that reported when the newest known window was decided; 0 if none is known. */
  get hosts (): number {
    const latest = Math.max(-Infinity, ...this.known.keys())
    return this.known.get(latest)?.record.hosts ?? 0
  }

  /** Forgets how far windows are decided, since others may decide further ones; keeps the records. */
  close (): void {
    this.newest = undefined
  }

  /**
   * Takes over what the journal holds. Returns false if it lacks windows of this host that were not reported yet, and has to
   * be written again first. `now` is the Unix time in milliseconds by the clocks of all hosts.
   */
  take ({ content, mayLackWindows, completeForMilliseconds }: JournalView, now: number, windowMilliseconds: number): boolean {
    const journaled = new Set(content?.windows.map(({ window }) => window))
    for (const record of content?.windows ?? []) {
      if (!this.known.has(record.window)) this.known.set(record.window, { record, isReported: false, attempts: 0 })
    }
    if (!mayLackWindows && content !== undefined) {
      // Another holder has reported what the journal no longer holds.
      for (const [window, decided] of this.known) if (!journaled.has(window)) decided.isReported = true
      this.newest = content.through
      return true
    }
    // The window during which the journal's state became certain ends after it, so that nobody has reported it before.
    const lastUncertain = windowOf(now - completeForMilliseconds, windowMilliseconds) - 1
    this.newest = Math.max(lastUncertain, content?.through ?? -Infinity, ...this.known.keys())
    this.trim()
    return this.pending().every(({ record }) => journaled.has(record.window))
  }

  /** Windows that may not have been reported yet, the oldest first. */
  pending (): DecidedWindow[] {
    return [...this.known.values()].filter(({ isReported }) => !isReported)
      .sort((left, right) => left.record.window - right.record.window)
  }

  /** The state of the journal after further windows are decided. */
  contentWith (records: JournaledWindow[], through: number): JournalContent {
    return { through, windows: [...this.pending().map(({ record }) => record), ...records] }
  }

  /** Records that the journal holds these windows. */
  add (records: JournaledWindow[], through: number): void {
    for (const record of records) this.known.set(record.window, { record, isReported: false, attempts: 0 })
    this.newest = through
    this.trim()
  }

  /** Gives up windows before the given one that were not reported. Returns them. */
  abandonBefore (window: number): DecidedWindow[] {
    const abandoned = this.pending().filter(({ record }) => record.window < window)
    for (const decided of abandoned) decided.isReported = true
    return abandoned
  }

  /** Newest window up to which all are reported or given up; undefined while the journal has to be read. */
  get settledThrough (): number | undefined {
    if (this.newest === undefined) return undefined
    const firstPending = this.pending()[0]?.record.window ?? Infinity
    return Math.min(this.newest, firstPending - 1)
  }

  /** Drops the oldest reported windows beyond the number that is kept. */
  private trim (): void {
    const reported = [...this.known].filter(([, { isReported }]) => isReported).map(([window]) => window)
    const excess = this.known.size - 2 * maxKeptWindows
    for (const window of reported.sort((left, right) => left - right).slice(0, Math.max(0, excess))) this.known.delete(window)
  }
}
