/**
 * Adds up the demand that the hosts of a zone report to the role planner.
 */
import type { Clock, HostId, Model } from '../common/index.js'
import type { ModelDemand } from './RolePlanner.js'

/** Maximum age of a report. Older ones are discarded, because their host has stopped or cannot be reached. */
const maxReportAgeMilliseconds = 5000

/** Keeps the latest report of each host. */
export class DemandCollector {
  private readonly reports = new Map<HostId, { receivedAt: number, demand: Map<Model, ModelDemand> }>()

  constructor (private readonly clock: Clock) {}

  /** Replaces the previous report of a host. */
  add (host: HostId, demand: Map<Model, ModelDemand>): void {
    this.reports.set(host, { receivedAt: this.clock.monotonic(), demand })
  }

  /** Total demand of the zone for each model. */
  total (): Map<Model, ModelDemand> {
    const total = new Map<Model, ModelDemand>()
    const now = this.clock.monotonic()
    for (const [host, report] of this.reports) {
      if (now - report.receivedAt > maxReportAgeMilliseconds) this.reports.delete(host)
      else addTo(total, report.demand)
    }
    return total
  }
}

function addTo (total: Map<Model, ModelDemand>, demand: Map<Model, ModelDemand>): void {
  for (const [model, { prefillTokensPerSecond, decodeTokensPerSecond }] of demand) {
    const sum = total.get(model) ?? { prefillTokensPerSecond: 0, decodeTokensPerSecond: 0 }
    total.set(model, {
      prefillTokensPerSecond: sum.prefillTokensPerSecond + prefillTokensPerSecond,
      decodeTokensPerSecond: sum.decodeTokensPerSecond + decodeTokensPerSecond
    })
  }
}
