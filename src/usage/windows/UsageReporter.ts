/**
 * Reports the use of all hosts, window by window, while this host holds the duties: decides the content of a window from
 * what the hosts have reported, appends it to the journal, and sends to the platform exactly what the journal holds.
 */
import { Backoff, type Clock, type Failure, failure, Task } from '../../common/index.js'
import { CallHold, type DutyPlatform } from '../../duties/index.js'
import type { GroupLease } from '../../leases/index.js'
import type { EventLog } from '../../observability/index.js'
import { type DecidedWindow, DecidedWindows } from './DecidedWindows.js'
import type { UsageCollector } from './UsageCollector.js'
import type { JournaledWindow, JournalPosition, UsageJournal } from './UsageJournal.js'
import { endOfWindow, maxKeptWindows, windowOf } from './windowOf.js'

/** Options of a `UsageReporter`. Times are in milliseconds. */
export interface UsageReporterOptions {
  lease: Pick<GroupLease, 'authority' | 'confirmedAuthority' | 'handleRefusal'>
  journal: UsageJournal
  platform: Pick<DutyPlatform, 'reportUsage'>
  collector: UsageCollector
  clock: Clock
  events: EventLog
  windowMilliseconds: number
  /** Time after the end of a window at which its report is due. */
  lateMilliseconds: number
  /** Time for which calls with a greater fencing number wait after one with an unknown outcome. Default: 3 s. */
  holdMilliseconds?: number
}

/** Interval of the checks for windows that can be reported, in milliseconds. */
export const checkMilliseconds = 250

/** Delays after failed calls to the platform or the journal's store. */
const backoffOptions = { firstMilliseconds: 200, maxMilliseconds: 2000 }

/**
 * Shortest time from the start of the duty to the first report, in milliseconds, unless the time limit of a window passes
 * before. Hosts report once a second and need up to two seconds more to learn of a new holder.
 */
const collectMilliseconds = 3000

/** Share of the time until a report is due at which a window is decided without the hosts that still have to report. */
const waitShare = 0.6

/**
 * The same while fewer hosts report than for the window before, as after a change of the holder: hosts that have lost the
 * former holder ask the store at most every 8 s. The rest is left to the append and the calls.
 */
const longWaitShare = 0.8

/** Share of the hosts of the window before that suffices for a report. */
const enoughShare = 0.97

/** Maximum size of the windows in one append, in bytes; a record of the journal's store may have 262,144. */
const maxJournalBytes = 200_000

/** Bytes that a count takes in addition to the name of its account. */
const bytesPerCount = 16

/** Number of refusals of the same content, for other reasons than the holder, after which it is given up. */
const maxRejections = 10

/** Reports windows while this host has the authority. */
export class UsageReporter {
  private readonly decided = new DecidedWindows()
  /** Undefined while the journal has to be read. */
  private position: JournalPosition | undefined
  /** True if the journal lacks windows of this host that were not reported yet. */
  private mustWriteAgain = false
  /** Monotonic time in milliseconds since which this host has had the authority without a break. */
  private collectingSince: number | undefined
  private readonly hold: CallHold
  private task: Task | undefined
  /** Windows reported, reported after they were due, and given up, since the start; and refused calls. */
  readonly totals = { reported: 0, late: 0, abandoned: 0, refused: 0 }

  constructor (private readonly options: UsageReporterOptions) {
    this.hold = new CallHold(options.clock, options.holdMilliseconds)
  }

  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('usage_reporter_ended', { reason: String(error) })
    })
  }

  async stop (): Promise<void> {
    await this.task?.stop()
  }

  /** Newest window whose counts no longer matter; undefined if this host does not know. */
  get settledThrough (): number | undefined {
    return this.decided.settledThrough
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.options
    const backoff = new Backoff(backoffOptions)
    while (!signal.aborted) {
      const failed = await this.step(signal)
      if (failed === undefined) backoff.reset()
      await clock.sleep(failed === undefined ? checkMilliseconds : backoff.next(), signal)
    }
  }

  /** Does what can be done now. Returns the failure after which to pause, if any. */
  private async step (signal: AbortSignal): Promise<Failure | undefined> {
    const { lease, clock } = this.options
    if (lease.authority() === undefined) {
      this.endDuty()
      return undefined
    }
    this.collectingSince ??= clock.monotonic()
    if (this.position !== undefined && this.options.journal.isOutdated(this.position)) this.forgetPosition()
    const failed = await this.readJournal(signal) ?? await this.decide(signal)
    if (failed !== undefined) {
      if (!signal.aborted) this.options.events.warn('usage_journal_failed', { reason: failed.message })
      return failed
    }
    this.abandonOldWindows()
    return await this.reportPending(signal)
  }

  /** Others may decide windows from now on, so that the journal has to be read before the next one. */
  private endDuty (): void {
    this.collectingSince = undefined
    this.forgetPosition()
  }

  private forgetPosition (): void {
    this.position = undefined
    this.decided.close()
  }

  private async readJournal (signal: AbortSignal): Promise<Failure | undefined> {
    const { journal, events, windowMilliseconds } = this.options
    if (this.position !== undefined) return undefined
    const read = await journal.read(signal)
    if (read.isErr) return read.error
    this.mustWriteAgain = !this.decided.take(read.value, this.now(), windowMilliseconds)
    this.position = read.value.position
    events.info('usage_journal_read', {
      through: this.decided.through, pending: this.decided.pending().length, restored: read.value.mayLackWindows
    })
    return undefined
  }

  /** Decides the windows that are complete, and appends them to the journal. */
  private async decide (signal: AbortSignal): Promise<Failure | undefined> {
    const { position, options: { journal, events, collector } } = this
    const { through } = this.decided
    if (position === undefined || through === undefined) return undefined
    const ready = this.readyWindows(through)
    if (ready.length === 0 && !this.mustWriteAgain) return undefined
    const newThrough = ready.at(-1)?.window ?? through
    const appended = await journal.append(this.decided.contentWith(ready, newThrough), position, signal)
    if (appended.isErr && appended.error.kind === 'bad_request') return this.skipTooLarge(ready, appended.error)
    if (appended.isErr) {
      // The append may have taken effect.
      this.forgetPosition()
      return appended.error
    }
    this.position = appended.value
    this.mustWriteAgain = false
    this.decided.add(ready, newThrough)
    for (const record of ready) events.info('usage_window_committed', fieldsOf(record))
    collector.forgetThrough(newThrough)
    return undefined
  }

  private readyWindows (through: number): JournaledWindow[] {
    const { collector } = this.options
    const hosts = collector.recentHosts
    const ready: JournaledWindow[] = []
    const pending = this.decided.pending()
    let bytes = pending.reduce((sum, { record }) => sum + bytesOf(record), 0)
    for (let window = Math.max(through + 1, this.oldestReportable()); this.isReady(window); window += 1) {
      const record = { window, counts: collector.counts(window).counts, hosts }
      bytes += bytesOf(record)
      // The rest follows when the pending windows are reported.
      if (bytes > maxJournalBytes && pending.length + ready.length > 0) break
      ready.push(record)
    }
    return ready
  }

  /** True if a window has ended, and all its counts are known or it is time to decide it. */
  private isReady (window: number): boolean {
    const { collector, windowMilliseconds, lateMilliseconds, clock } = this.options
    const sinceEnd = this.now() - endOfWindow(window, windowMilliseconds)
    if (sinceEnd < 0) return false
    const hosts = collector.recentHosts
    const areEnough = hosts > 0 && hosts >= this.decided.hosts * enoughShare
    const hasCollected = clock.monotonic() - (this.collectingSince ?? Infinity) >= collectMilliseconds
    if (areEnough && hasCollected && collector.isFinal(window)) return true
    return sinceEnd >= lateMilliseconds * (areEnough ? waitShare : longWaitShare)
  }

  /** Gives up windows that do not fit into the journal, which the limits of accounts rule out. */
  private skipTooLarge (records: JournaledWindow[], failed: Failure): Failure {
    for (const record of records) this.options.events.error('usage_window_abandoned', { ...fieldsOf(record), reason: failed.message })
    this.totals.abandoned += records.length
    const newest = records.at(-1)
    if (newest !== undefined) this.decided.add([], newest.window)
    this.mustWriteAgain = false
    return failed
  }

  private abandonOldWindows (): void {
    const abandoned = this.decided.abandonBefore(this.oldestReportable())
    for (const { record, attempts } of abandoned) {
      this.options.events.error('usage_window_abandoned', { ...fieldsOf(record), attempts, reason: 'the window is too old' })
    }
    this.totals.abandoned += abandoned.length
  }

  /**
   * Sends the decided windows in their order, those with the fewest attempts first, so that none holds up the others.
   * Returns the failure after which to pause, if any.
   */
  private async reportPending (signal: AbortSignal): Promise<Failure | undefined> {
    for (const decided of this.decided.pending().sort((left, right) => left.attempts - right.attempts)) {
      if (signal.aborted || this.hold.holds(this.options.lease.authority())) return undefined
      const failed = await this.report(decided)
      if (failed !== undefined) return failed
    }
    return undefined
  }

  private async report (decided: DecidedWindow): Promise<Failure | undefined> {
    const { lease, platform, events, windowMilliseconds, lateMilliseconds } = this.options
    const fencingNumber = await lease.confirmedAuthority()
    if (fencingNumber === undefined) return failure('lost_authority', 'the store did not confirm that this host holds the duty')
    const { record } = decided
    decided.attempts += 1
    const reported = await platform.reportUsage({ window: record.window, counts: record.counts }, fencingNumber)
    const fields = { ...fieldsOf(record), fencing: fencingNumber, attempts: decided.attempts }
    if (reported.isOk) {
      decided.isReported = true
      const isLate = this.now() > endOfWindow(record.window, windowMilliseconds) + lateMilliseconds
      this.totals.reported += 1
      if (isLate) this.totals.late += 1
      events.info('usage_window_reported', { ...fields, late: isLate })
      return undefined
    }
    const { kind, message: reason } = reported.error
    events.warn('usage_window_refused', { ...fields, kind, reason })
    this.totals.refused += 1
    if (kind === 'outcome_unknown') this.hold.recordUnknown(fencingNumber)
    if (kind === 'lost_authority') lease.handleRefusal(fencingNumber)
    if (kind === 'bad_request' && decided.attempts >= maxRejections) {
      decided.isReported = true
      this.totals.abandoned += 1
      events.error('usage_window_abandoned', { ...fields, reason })
    }
    return reported.error
  }

  /** Oldest window that is still reported after an outage. */
  private oldestReportable (): number {
    return windowOf(this.now(), this.options.windowMilliseconds) - maxKeptWindows
  }

  /** Unix time in milliseconds, by the clocks of all hosts: a holder with a wrong clock would report windows that go on. */
  private now (): number {
    return this.options.clock.wall() + this.options.collector.clockCorrection()
  }
}

/** Approximate size of a window in the journal, in bytes. */
function bytesOf ({ counts }: JournaledWindow): number {
  return Object.keys(counts).reduce((sum, account) => sum + Buffer.byteLength(account) + bytesPerCount, 0)
}

/** Fields of log lines about a window. */
function fieldsOf ({ window, counts, hosts }: JournaledWindow): Record<string, number> {
  const numbers = Object.values(counts) as number[]
  return { window, accounts: numbers.length, total: numbers.reduce((sum, number) => sum + number, 0), hosts }
}
