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

/** Keeps the latest reports, with the demand that they state. */
export class HostReportBoard {
  private readonly reports = new BoundedTable<ReceivedReport>(maxReports)

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

  /** Demand for a pool over all hosts that have reported recently; undefined if none has stated any. */
  demandOf (pool: Pool): Omit<HostPoolDemand, 'pool'> | undefined {
    const demands = this.recent().flatMap(({ report }) => report.demand.filter(demand => demand.pool === pool))
    if (demands.length === 0) return undefined
    return {
      openPrompts: demands.reduce((sum, { openPrompts }) => sum + openPrompts, 0),
      openAnswers: demands.reduce((sum, { openAnswers }) => sum + openAnswers, 0)
    }
  }
}
