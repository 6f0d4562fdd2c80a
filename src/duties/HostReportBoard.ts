/**
 * The latest report of each host, on the holder of the duties.
 */
import { BoundedTable, type Clock, type Pool } from '../common/index.js'
import type { HostPoolDemand, HostReport } from './HostReport.js'

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
  demandOf (pool: Pool): Omit<HostPoolDemand, 'pool'> | undefined {
    const recent = this.recent()
    if (recent.length < this.expectedHosts(recent.length) * enoughShare) return undefined
    const demands = recent.flatMap(({ report }) => report.demand.filter(demand => demand.pool === pool))
    if (demands.length === 0) return undefined
    return {
      openPrompts: demands.reduce((sum, { openPrompts }) => sum + openPrompts, 0),
      openAnswers: demands.reduce((sum, { openAnswers }) => sum + openAnswers, 0)
    }
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
