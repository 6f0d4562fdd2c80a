/**
 * Sends the report of this host to the holder of the duties once a second. Windows whose counts the holder has already
 * taken are left out, so that a report usually carries the present window alone.
 */
import type { Result } from 'true-myth'
import { type Clock, type Failure, type HostId, type Incarnation, Task, type Zone } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { type HostReport, type HostReportAnswer, maxReportedPools, maxReportedWindows, type HostPoolDemand, type WindowCounts } from './HostReport.js'

/** The holder of the duties, over one connection or on this host. It keeps what it has taken. */
export interface HostReportReceiver {
  /** Errors: `conflict` if the receiver does not hold the duties; `not_ready` if it does not answer; `cancelled`. */
  send: (report: HostReport, signal: AbortSignal) => Promise<Result<HostReportAnswer, Failure>>
}

/** Finds the holder of the duties. */
export abstract class HostReportChannel {
  /** The present holder; undefined while none is known. Another object has to be told everything. */
  abstract receiver (): HostReportReceiver | undefined
}

/** What a host has counted. */
export interface CountedUse {
  open: () => WindowCounts[]
  readonly finalWindow: number
  settle: (through: number) => void
}

/** Options of a `HostReporter`. */
export interface HostReporterOptions {
  hostId: HostId
  incarnation: Incarnation
  zone: Zone
  /** Undefined if the use is not reported. */
  use: CountedUse | undefined
  demand: () => HostPoolDemand[]
  channel: HostReportChannel
  clock: Clock
  events: EventLog
  /** A number from 0 (inclusive) to 1 (exclusive) that spreads the reports of the hosts over the second. */
  phase: number
}

/** Interval of the reports, in milliseconds. */
export const reportMilliseconds = 1000

/** Difference between the times that elapsed on the two clocks above which a report states it, in milliseconds. */
const maxClockDisagreementMilliseconds = 100

/** Approximate maximum size of a part of a report, in bytes; a line may have 65,536. */
const maxPartBytes = 40_000

/** Bytes that a count takes in addition to the name of its account. */
const bytesPerCount = 16

/** Sends what this host has counted, and its demand. */
export class HostReporter {
  private receiver: HostReportReceiver | undefined
  /** Sums of the windows that the receiver has taken. */
  private readonly takenTotals = new Map<number, number>()
  /** Difference between the wall clock and the monotonic clock at the last report. */
  private clockDifference: number | undefined
  private lastFailure: string | undefined
  private task: Task | undefined

  constructor (private readonly options: HostReporterOptions) {}

  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('host_reporter_ended', { reason: String(error) })
    })
  }

  async stop (): Promise<void> {
    await this.task?.stop()
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock, phase } = this.options
    await clock.sleep(reportMilliseconds * phase, signal)
    while (!signal.aborted) {
      const startedAt = clock.monotonic()
      await this.report(signal)
      await clock.sleep(Math.max(0, startedAt + reportMilliseconds - clock.monotonic()), signal)
    }
  }

  /** Sends what the holder does not know yet. */
  async report (signal: AbortSignal): Promise<void> {
    const { channel, use } = this.options
    const receiver = channel.receiver()
    if (receiver !== this.receiver) this.takenTotals.clear()
    this.receiver = receiver
    if (receiver === undefined) return
    const open = use?.open() ?? []
    for (const part of this.parts(open)) {
      const sent = await receiver.send(part, signal)
      this.logFailure(sent.isErr ? sent.error : undefined)
      if (sent.isErr) {
        this.takenTotals.clear()
        return
      }
      if (sent.value.settledThrough !== undefined) use?.settle(sent.value.settledThrough)
    }
    this.takenTotals.clear()
    for (const { window, counts } of open) this.takenTotals.set(window, totalOf(counts))
  }

  /** The report in as many parts as the length of a line requires. */
  private parts (open: WindowCounts[]): HostReport[] {
    const { hostId, incarnation, zone, use, demand, clock, events } = this.options
    const unknown = open.filter(({ window, counts }) => this.takenTotals.get(window) !== totalOf(counts))
    const clockSetMilliseconds = this.takeClockDisagreement()
    if (clockSetMilliseconds !== undefined) events.warn('clock_set', { milliseconds: clockSetMilliseconds })
    const common = { host: hostId, incarnation, zone, at: clock.wall() }
    const parts: HostReport[] = splitWindows(unknown).map(windows => ({ ...common, windows, isPart: true, demand: [] }))
    const last = parts.at(-1)!
    delete last.isPart
    last.demand = demand().slice(0, maxReportedPools)
    if (use !== undefined) last.finalWindow = use.finalWindow
    if (clockSetMilliseconds !== undefined) last.clockSetMilliseconds = clockSetMilliseconds
    return parts
  }

  /** The difference by which the two clocks have moved apart since the last report, if it is large. */
  private takeClockDisagreement (): number | undefined {
    const { clock } = this.options
    const difference = clock.wall() - clock.monotonic()
    const change = difference - (this.clockDifference ?? difference)
    this.clockDifference = difference
    return Math.abs(change) > maxClockDisagreementMilliseconds ? Math.round(change) : undefined
  }

  /** Logs each reason once in a row. */
  private logFailure (failed: Failure | undefined): void {
    if (failed !== undefined && failed.message !== this.lastFailure) {
      this.options.events.info('host_report_failed', { kind: failed.kind, reason: failed.message })
    }
    this.lastFailure = failed?.message
  }
}

function totalOf (counts: WindowCounts['counts']): number {
  return counts.reduce((sum, [, count]) => sum + count, 0)
}

/** Splits windows so that each part fits into a line. Returns at least one part. */
function splitWindows (windows: WindowCounts[]): WindowCounts[][] {
  const parts: WindowCounts[][] = [[]]
  let bytes = 0
  for (const { window, counts } of windows) {
    let current: WindowCounts['counts'] | undefined
    for (const entry of counts) {
      const size = Buffer.byteLength(entry[0]) + bytesPerCount
      const isFull = bytes + size > maxPartBytes || (current === undefined && parts.at(-1)!.length === maxReportedWindows)
      if (isFull) {
        parts.push([])
        bytes = 0
        current = undefined
      }
      if (current === undefined) {
        current = []
        parts.at(-1)!.push({ window, counts: current })
      }
      current.push(entry)
      bytes += size
    }
  }
  return parts
}
