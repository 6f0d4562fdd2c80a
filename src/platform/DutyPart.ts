/**
 * The part of a host that performs the duties for the platform: it counts the use on this host, sends the host's report to
 * the holder of the duties, and, on the holder, takes the reports of all hosts and reports the use of each window.
 */
import type { Clock, Hash, Incarnation } from '../common/index.js'
import {
  type DutyPlatform, type HostReport, type HostReportAnswer, HostReportBoard, HostReporter, type HostPoolDemand
} from '../duties/index.js'
import type { RunObserver } from '../forwarding/index.js'
import type { GroupLease } from '../leases/index.js'
import type { EventLog, Metrics } from '../observability/index.js'
import { UsageCollector, UsageReporter, UsageWindows } from '../usage/windows/index.js'
import { DutyReportChannel } from './DutyReportChannel.js'
import { PlatformDutyClient } from './PlatformDutyClient.js'
import type { PlatformSettings } from './PlatformSettings.js'
import type { SchedulerDirectory } from './SchedulerDirectory.js'
import { StoreClient } from './StoreClient.js'
import type { StoreEra } from './StoreEra.js'
import { UsageTopic } from './UsageTopic.js'

/** Options of a `DutyPart`. */
export interface DutyPartOptions {
  settings: PlatformSettings
  incarnation: Incarnation
  era: StoreEra
  clock: Clock
  events: EventLog
  metrics: Metrics
  hash: Hash
  lease: GroupLease
  directory: Pick<SchedulerDirectory, 'orderHolder' | 'reportFailure'>
  /** The demand that this host sees. Default: none. */
  demand?: () => HostPoolDemand[]
}

/** Names of the duties in the settings. */
const usageDuty = 'usage_report'
const scalingDuty = 'autoscale'

/** Calls a second that the platform takes from all hosts together, unless the settings say otherwise. */
const defaultCallsPerSecond = 50

/** Time until a report is due, in windows, unless the settings state it. */
const defaultLateWindows = 2

/**
 * Share of the time until a report is due for which a host waits after the end of a window for answers to requests that it
 * sent within. Most requests take well under a second.
 */
const settleShare = 0.25

/**
 * Time limit of the last report of a host that stops, in milliseconds. It may begin when the final answers have been sent,
 * 250 ms before the end of the stop; with 300 ms, a complete drain counted as incomplete.
 */
const finalReportMilliseconds = 150

/** Number of values of the 32-bit hash. */
const hashRange = 2 ** 32

interface UsagePart { windows: UsageWindows, collector: UsageCollector, reporter: UsageReporter, journal: UsageTopic }

/** Owns the duties of this host for the platform. */
export class DutyPart {
  /** Tells the duties which requests workers began to run; undefined if the use is not reported. */
  readonly runObserver: RunObserver | undefined
  /** Calls the platform on behalf of the holder; undefined if the platform asks for no duties. */
  readonly platform: DutyPlatform | undefined
  /** True if the platform asks for orders of workers. */
  readonly ordersWorkers: boolean
  /** The latest reports of all hosts, while this host is the holder. */
  readonly board: HostReportBoard
  private readonly usage: UsagePart | undefined
  private readonly channel: DutyReportChannel
  private readonly reporter: HostReporter | undefined

  constructor (private readonly options: DutyPartOptions) {
    const { settings: { host, duties }, incarnation, clock, events, hash, lease, directory, demand = () => [] } = options
    this.ordersWorkers = duties?.kinds.includes(scalingDuty) === true
    this.platform = duties === undefined
      ? undefined
      : new PlatformDutyClient({
        address: duties.address, hostId: host.id, callsPerSecond: duties.callsPerSecond ?? defaultCallsPerSecond, clock
      })
    this.board = new HostReportBoard(clock)
    this.usage = this.createUsage()
    this.runObserver = this.usage === undefined ? undefined : observerOf(this.usage.windows)
    this.channel = new DutyReportChannel({
      directory, isHolder: () => lease.isAssigned, receive: report => this.receive(report), clock
    })
    if (this.usage === undefined && !this.ordersWorkers) return
    this.reporter = new HostReporter({
      hostId: host.id,
      incarnation,
      zone: host.zone,
      use: this.usage?.windows,
      demand,
      channel: this.channel,
      clock,
      events,
      phase: hash.h32(`${host.id}/report`) / hashRange
    })
  }

  start (): void {
    this.usage?.reporter.start()
    this.reporter?.start()
  }

  /** Takes the report of a host; undefined if this host is not the holder. */
  receive (report: HostReport): HostReportAnswer | undefined {
    if (!this.options.lease.isAssigned) return undefined
    if (report.clockSetMilliseconds !== undefined) {
      this.options.events.warn('host_clock_set', { host: report.host, milliseconds: report.clockSetMilliseconds })
    }
    this.board.receive(report)
    this.usage?.collector.receive(report)
    return { settledThrough: this.usage?.reporter.settledThrough }
  }

  /** Stops reporting for all hosts, before this host leaves the group. Its own use is still sent to the holder. */
  async stopDuties (): Promise<void> {
    await this.usage?.reporter.stop()
    await this.usage?.journal.close()
  }

  /** Sends what this host has counted since its last report, and stops. */
  async stop (): Promise<void> {
    await this.stopDuties()
    await this.reporter?.stop()
    const limit = new AbortController()
    this.options.clock.sleep(finalReportMilliseconds, limit.signal).then(() => { limit.abort() }, () => {})
    await this.reporter?.report(limit.signal)
    limit.abort()
    this.channel.close()
  }

  private createUsage (): UsagePart | undefined {
    const { settings: { store, bounds, duties }, era, clock, events, metrics, lease } = this.options
    const { usageWindowSeconds, usageLateSeconds = (usageWindowSeconds ?? 0) * defaultLateWindows } = bounds
    const isAsked = duties?.kinds.includes(usageDuty) === true
    if (this.platform === undefined || usageWindowSeconds === undefined || !isAsked) return undefined
    const windowMilliseconds = usageWindowSeconds * 1000
    const lateMilliseconds = usageLateSeconds * 1000
    const windows = new UsageWindows({ clock, windowMilliseconds, settleMilliseconds: lateMilliseconds * settleShare })
    const collector = new UsageCollector({ clock, windowMilliseconds })
    const journal = new UsageTopic({ store: new StoreClient(store.address, era), era, clock })
    const reporter = new UsageReporter({
      lease,
      journal,
      platform: this.platform,
      collector,
      clock,
      events,
      windowMilliseconds,
      lateMilliseconds,
      holdMilliseconds: bounds.leaseMilliseconds
    })
    const gauge = (name: string, help: string, value: () => number): void => {
      metrics.gauge(name, help, [], metric => { metric.set(value()) })
    }
    gauge('usage_windows_reported_total', 'Windows of use that this host reported.', () => reporter.totals.reported)
    gauge('usage_windows_late_total', 'Windows of use that this host reported after they were due.', () => reporter.totals.late)
    gauge('usage_windows_refused_total', 'Reports of use without success.', () => reporter.totals.refused)
    gauge('usage_windows_abandoned_total', 'Windows of use that this host gave up.', () => reporter.totals.abandoned)
    gauge('usage_requests_missed_total', 'Requests of accounts that were not counted.', () => windows.missed)
    return { windows, collector, reporter, journal }
  }
}

function observerOf (windows: UsageWindows): RunObserver {
  return {
    runBegan: ({ account, requestId }, atWallMilliseconds) => {
      if (account !== undefined) windows.recordRun(account, requestId, atWallMilliseconds)
    }
  }
}
