/**
 * Counts on one host, by account and window, the requests that workers began to run. Counts are kept until the holder of
 * the duties states that they no longer matter.
 */
import { type AccountName, BoundedTable, type Clock, type RequestId } from '../../common/index.js'
import type { WindowCounts } from '../../duties/index.js'
import { dropFarWindows, windowOf } from './windowOf.js'

/** Options of `UsageWindows`. Times are in milliseconds. */
export interface UsageWindowsOptions {
  clock: Clock
  windowMilliseconds: number
  /**
   * Time after the end of a window for which the host still counts requests of it: those whose answer arrives later. The
   * time of a request without a stream is that at which it was sent.
   */
  settleMilliseconds: number
}

/** Maximum number of accounts of one window; the operators' configuration has fewer. */
const maxAccounts = 4096

/** Number of latest requests that are remembered, so that one that the caller sends again counts once. */
const maxRecentRequests = 8192

/** The counts of this host. */
export class UsageWindows {
  private readonly windows = new Map<number, Map<AccountName, number>>()
  private readonly recentRequests = new BoundedTable<true>(maxRecentRequests)
  private settledThrough = -Infinity
  private missedCount = 0

  constructor (private readonly options: UsageWindowsOptions) {}

  /** Number of requests that were not counted, because their window was settled or full. */
  get missed (): number {
    return this.missedCount
  }

  /** Counts a request that began to run at the given Unix time in milliseconds. A repeated request counts once. */
  recordRun (account: AccountName, request: RequestId, at: number): void {
    const key = `${account}/${request}`
    if (this.recentRequests.get(key) !== undefined) return
    this.recentRequests.set(key, true)
    const { clock, windowMilliseconds } = this.options
    const window = windowOf(at, windowMilliseconds)
    const counts = this.windows.get(window) ?? new Map<AccountName, number>()
    const isFull = counts.size >= maxAccounts && !counts.has(account)
    if (window <= this.settledThrough || isFull) {
      this.missedCount += 1
      return
    }
    counts.set(account, (counts.get(account) ?? 0) + 1)
    this.windows.set(window, counts)
    dropFarWindows(this.windows, windowOf(clock.wall(), windowMilliseconds))
  }

  /** The counts that still matter, oldest window first. */
  open (): WindowCounts[] {
    return [...this.windows].sort(([left], [right]) => left - right).map(([window, counts]) => ({ window, counts: [...counts] }))
  }

  /** Newest window of which no further counts are expected. */
  get finalWindow (): number {
    const { clock, windowMilliseconds, settleMilliseconds } = this.options
    return windowOf(clock.wall() - settleMilliseconds, windowMilliseconds) - 1
  }

  /** Drops the counts of a window and earlier ones. */
  settle (through: number): void {
    this.settledThrough = Math.max(this.settledThrough, through)
    for (const window of this.windows.keys()) if (window <= through) this.windows.delete(window)
  }
}
