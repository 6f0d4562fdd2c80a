/**
 * Sums, on the holder of the duties, what the hosts have counted. Counts are keyed by host and process, and the greatest
 * count of a window wins: reports are cumulative, so that repeated and reordered ones do no harm.
 */
import type { AccountName, Clock } from '../../common/index.js'
import type { HostReport } from '../../duties/index.js'
import { dropFarWindows, windowOf } from './windowOf.js'

/** Options of a `UsageCollector`. */
export interface UsageCollectorOptions {
  clock: Clock
  windowMilliseconds: number
}

/** Time without a report after which a host is no longer expected to report, in milliseconds: three reports. */
const recentMilliseconds = 3000

/** Time without a report after which the counts of a process are dropped, in milliseconds; all its windows are over then. */
const forgetMilliseconds = 180_000

/** Maximum number of processes, and of accounts in one window of a process. */
const maxSources = 2048
const maxAccounts = 4096

/** Difference between clocks up to which that of this host is used, in milliseconds; delays of reports are below it. */
const clockToleranceMilliseconds = 250

interface Source {
  /** Monotonic time in milliseconds of the latest report. */
  receivedAt: number
  /** How far the source's clock is ahead of that of this host, in milliseconds. */
  clockOffset: number
  finalWindow: number
  windows: Map<number, Map<AccountName, number>>
}

/** Use of all accounts in a window, as far as it is known. */
export interface CollectedCounts { counts: Record<AccountName, number>, total: number }

/** What the hosts have reported to this one. */
export class UsageCollector {
  private readonly sources = new Map<string, Source>()

  constructor (private readonly options: UsageCollectorOptions) {}

  receive ({ host, incarnation, at, windows, finalWindow }: HostReport): void {
    const { clock, windowMilliseconds } = this.options
    const key = `${host}/${incarnation}`
    const source = this.sources.get(key) ?? { receivedAt: 0, clockOffset: 0, finalWindow: -Infinity, windows: new Map() }
    source.receivedAt = clock.monotonic()
    source.clockOffset = at - clock.wall()
    // A clock that was set back takes back what it stated before.
    source.finalWindow = finalWindow ?? source.finalWindow
    for (const { window, counts } of windows) {
      const known = source.windows.get(window) ?? new Map<AccountName, number>()
      for (const [account, count] of counts) {
        if (known.size < maxAccounts || known.has(account)) known.set(account, Math.max(known.get(account) ?? 0, count))
      }
      source.windows.set(window, known)
    }
    dropFarWindows(source.windows, windowOf(at, windowMilliseconds))
    // The process that reported last is the last one to be dropped.
    this.sources.delete(key)
    this.sources.set(key, source)
    this.dropOldSources()
  }

  /** The sums of a window over all processes, with the accounts in the order of their names. */
  counts (window: number): CollectedCounts {
    const sums = new Map<AccountName, number>()
    for (const { windows } of this.sources.values()) {
      for (const [account, count] of windows.get(window) ?? []) sums.set(account, (sums.get(account) ?? 0) + count)
    }
    const ordered = [...sums].sort(([left], [right]) => left < right ? -1 : 1)
    const total = ordered.reduce((sum, [, count]) => sum + count, 0)
    return { counts: Object.fromEntries(ordered) as Record<AccountName, number>, total }
  }

  /** Number of processes that have reported recently. */
  get recentHosts (): number {
    return this.recentSources().length
  }

  /** True if all hosts that have reported recently expect no further counts of a window. */
  isFinal (window: number): boolean {
    return this.recentSources().every(({ finalWindow }) => finalWindow >= window)
  }

  /**
   * Milliseconds that have to be added to the clock of this host, by the clocks of all hosts; 0 unless most of them disagree
   * with it clearly.
   */
  clockCorrection (): number {
    const offsets = this.recentSources().map(({ clockOffset }) => clockOffset).sort((left, right) => left - right)
    const median = offsets[Math.floor(offsets.length / 2)] ?? 0
    return Math.abs(median) <= clockToleranceMilliseconds ? 0 : median
  }

  /** Drops the counts of a window and earlier ones. */
  forgetThrough (window: number): void {
    for (const { windows } of this.sources.values()) {
      for (const known of windows.keys()) if (known <= window) windows.delete(known)
    }
  }

  private recentSources (): Source[] {
    const now = this.options.clock.monotonic()
    return [...this.sources.values()].filter(({ receivedAt }) => now - receivedAt <= recentMilliseconds)
  }

  private dropOldSources (): void {
    const now = this.options.clock.monotonic()
    for (const [key, { receivedAt }] of this.sources) {
      if (this.sources.size <= maxSources && now - receivedAt <= forgetMilliseconds) return
      this.sources.delete(key)
    }
  }
}
