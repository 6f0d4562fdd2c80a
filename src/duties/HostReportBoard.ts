/**
 * The latest report of each host, on the holder of the duties.
 */
import { BoundedTable, type Clock, type Pool, type Zone } from '../common/index.js'
import type { HostReport } from './HostReport.js'

/** A report with the monotonic time in milliseconds of its arrival. */
export interface ReceivedReport { report: HostReport, receivedAt: number }

/** Maximum number of processes whose reports are kept. */
const maxReports = 2048

/** Time after which a report no longer counts, in milliseconds: three reports. */
const recentMilliseconds = 3000

/** Share of the hosts that reported before whose reports tell the demand of all. */
const enoughShare = 0.9

/** Time after which hosts that no longer report are not expected to, in milliseconds. */
const expectedMilliseconds = 15_000

/** Work of a pool, summed over hosts. */
export interface OpenWork {
  /** Prompts at the workers that compute them, and those that would have been there, had they not been refused. */
  openPrompts: number
  /** Streams and other requests at the workers that answer. */
  openAnswers: number
}

/** Work of a pool over all hosts, and the part of it that the hosts of each zone see. */
export interface ReportedDemand extends OpenWork {
  zones: ReadonlyMap<Zone, OpenWork>
}

/** Keeps the latest reports, with the demand that they state. */
export class HostReportBoard {
  private readonly reports = new BoundedTable<ReceivedReport>(maxReports)

  /** Numbers of hosts that reported within the latest seconds. */
  private readonly hostCounts: Array<{ at: number, hosts: number }> = []

  constructor (private readonly clock: Clock) {}

  /** Takes a report. Its parts but the last state no demand, and are left out. */
  receive (report: HostReport): void {
    if (report.isPart === true) return
    this.reports.set(`${report.host}/${report.incarnation}`, { report, receivedAt: this.clock.monotonic() })
  }

  /** Reports of the hosts that have reported recently. */
  recent (): ReceivedReport[] {
    const now = this.clock.monotonic()
    return this.reports.entries().map(([, received]) => received)
      .filter(({ receivedAt }) => now - receivedAt <= recentMilliseconds)
  }

  /**
   * Demand for a pool over all hosts; undefined if none has stated any, or if so many hosts cannot reach this one that the
   * rest would look like less demand.
   */
  demandOf (pool: Pool): ReportedDemand | undefined {
    const recent = this.recent()
    if (recent.length < this.expectedHosts(recent.length) * enoughShare) return undefined
    const demands = recent.flatMap(({ report: { zone, demand } }) =>
      demand.filter(reported => reported.pool === pool).map(reported => ({ ...reported, zone })))
    if (demands.length === 0) return undefined
    const computedPrompts = demands.reduce((sum, demand) => sum + demand.computedPrompts, 0)
    const openPrompts = demands.reduce((sum, demand) => sum + demand.openPrompts, 0)
    // The number in progress is the rate times the time of each (Little's law), which refused prompts would have taken too.
    const secondsPerPrompt = computedPrompts === 0 ? 0 : openPrompts / computedPrompts
    const total = { openPrompts: 0, openAnswers: 0 }
    const zones = new Map<Zone, OpenWork>()
    for (const demand of demands) {
      const ofZone = zones.get(demand.zone) ?? { openPrompts: 0, openAnswers: 0 }
      zones.set(demand.zone, ofZone)
      for (const sum of [total, ofZone]) {
        sum.openPrompts += demand.openPrompts + demand.refusedPrompts * secondsPerPrompt
        sum.openAnswers += demand.openAnswers
      }
    }
    return { ...total, zones }
  }

  /** The largest number of hosts that reported within the latest seconds, given the present one. */
  private expectedHosts (hosts: number): number {
    const now = this.clock.monotonic()
    while (this.hostCounts.length > 0 && now - this.hostCounts[0]!.at > expectedMilliseconds) this.hostCounts.shift()
    while (this.hostCounts.length > 0 && this.hostCounts.at(-1)!.hosts <= hosts) this.hostCounts.pop()
    this.hostCounts.push({ at: now, hosts })
    return this.hostCounts[0]!.hosts
  }
}
