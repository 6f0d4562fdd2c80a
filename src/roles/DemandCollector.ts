/**
 * Adds up the demand that the hosts of a zone report to the planner.
 */
import type { Clock, HostId, Model } from '../common/index.js'
import type { ModelDemand } from './RolePlanner.js'

/** Reports older than this are left out: the host is gone or cut off. */
const reportLifeMilliseconds = 5000

/** The latest report of each host. */
export class DemandCollector {
  private readonly reports = new Map<HostId, { at: number, demand: Map<Model, ModelDemand> }>()

  constructor (private readonly clock: Clock) {}

  /** Takes a host's report in. */
  add (host: HostId, demand: Map<Model, ModelDemand>): void {
    this.reports.set(host, { at: this.clock.monotonic(), demand })
  }

  /** Demand of the zone per model. */
  total (): Map<Model, ModelDemand> {
    const total = new Map<Model, ModelDemand>()
    const now = this.clock.monotonic()
    for (const [host, report] of this.reports) {
      if (now - report.at > reportLifeMilliseconds) this.reports.delete(host)
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
