/**
 * Counts what clients were refused for, and logs it at a bounded rate.
 */
import type { Clock } from '../common/index.js'
import type { EventLog } from '../observability/index.js'

/**
 * Reasons of refusals. `memory`: the budget is short; `slow_body`: a body made too little progress; `body_size`: over the
 * operators' limit; `connections`: too many connections; `requests`: too many requests in progress; `sent_ahead`: too many
 * requests waiting on one connection; `unread_response`: the caller did not read.
 */
export type RefusalReason = 'memory' | 'slow_body' | 'body_size' | 'connections' | 'requests' | 'sent_ahead' | 'unread_response'

/** Shortest time between two log lines with the same reason, in milliseconds. */
const logIntervalMilliseconds = 1000

/** Maximum number of lines a second about refused requests. */
const maxLinesPerSecond = 100

/** Refusals by reason. */
export class RefusalLog {
  readonly counts = new Map<RefusalReason, number>()
  private readonly loggedAt = new Map<RefusalReason, number>()
  private lines = { since: 0, written: 0, omitted: 0 }
  private readonly unlogged = new Map<RefusalReason, number>()

  constructor (private readonly clock: Clock, private readonly events: EventLog) {}

  /** Counts a refusal; logs it with those since the last line, unless that was written a moment ago. */
  record (reason: RefusalReason): void {
    this.counts.set(reason, (this.counts.get(reason) ?? 0) + 1)
    this.unlogged.set(reason, (this.unlogged.get(reason) ?? 0) + 1)
    this.logIfDue(reason)
  }

  /**
   * The number of lines that were left out since the last one, if a line about a refused request may be written now;
   * otherwise undefined.
   */
  takeLine (): number | undefined {
    const now = this.clock.monotonic()
    if (now - this.lines.since >= 1000) this.lines = { ...this.lines, since: now, written: 0 }
    if (this.lines.written >= maxLinesPerSecond) {
      this.lines.omitted += 1
      return undefined
    }
    const { omitted } = this.lines
    this.lines = { ...this.lines, written: this.lines.written + 1, omitted: 0 }
    return omitted
  }

  /** Logs the refusals that have not been logged, if their time has come. */
  flush (): void {
    for (const reason of this.unlogged.keys()) this.logIfDue(reason)
  }

  private logIfDue (reason: RefusalReason): void {
    const now = this.clock.monotonic()
    if (now - (this.loggedAt.get(reason) ?? -Infinity) < logIntervalMilliseconds) return
    this.events.warn('clients_refused', { reason, count: this.unlogged.get(reason) })
    this.loggedAt.set(reason, now)
    this.unlogged.delete(reason)
  }
}
