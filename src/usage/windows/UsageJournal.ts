/**
 * Record of the windows whose content is decided. A window's content is appended before it is reported, on the condition
 * that nobody else has appended since the journal was read, so that the content of a window is decided once.
 */
import type { Result } from 'true-myth'
import type { AccountName, Failure } from '../../common/index.js'

/** A window whose content is decided. */
export interface JournaledWindow {
  window: number
  counts: Readonly<Record<AccountName, number>>
  /** Number of hosts that reported when the content was decided. */
  hosts: number
}

/** The state after the newest append. */
export interface JournalContent {
  /** Newest window whose content is decided. */
  through: number
  /** Decided windows that may not have been reported yet, the oldest first. Those missing up to `through` are done. */
  windows: JournaledWindow[]
}

/** Identifies the state in which the journal was read. */
export type JournalPosition = object

/** What a read of the journal has found. */
export interface JournalView {
  content: JournalContent | undefined
  position: JournalPosition
  /**
   * True if windows may have been decided and reported that the journal does not show, because its store came back from an
   * older copy after the newest append, or there is none.
   */
  mayLackWindows: boolean
  /**
   * Time in milliseconds for which the store certainly has not come back from an older copy; not a time of day, since the
   * clock of this host may be wrong.
   */
  completeForMilliseconds: number
}

/** The journal, which all hosts share. */
export abstract class UsageJournal {
  /** True if the journal's store came back from an older copy since the journal was at the position. */
  abstract isOutdated (position: JournalPosition): boolean
  /** Errors: `platform_unavailable`. */
  abstract read (signal?: AbortSignal): Promise<Result<JournalView, Failure>>
  /**
   * Appends a new state in place of the one at a position. After any error but `bad_request` (the content is too large) the
   * append may have taken effect, or may do so later, and the journal has to be read again. Errors also:
   * `platform_unavailable`, which includes that the position is outdated.
   */
  abstract append (
    content: JournalContent,
    position: JournalPosition,
    signal?: AbortSignal
  ): Promise<Result<JournalPosition, Failure>>
}
