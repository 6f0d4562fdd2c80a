/**
 * Metrics of the capacity of workers, as this host has learned it. There is one series for each worker that is listed.
 */
import type { Metrics } from '../observability/index.js'
import type { UpstreamView } from '../upstreams/index.js'

/** Registers the gauges; `workers` is called on each scrape. */
export function registerCapacityMetrics (metrics: Metrics, workers: () => UpstreamView[]): void {
  metrics.gauge('worker_concurrency_limit', 'Open requests that a worker handles well, if known.', ['worker'], gauge => {
    gauge.reset()
    for (const { id, concurrencyLimit } of workers()) {
      if (Number.isFinite(concurrencyLimit)) gauge.set({ worker: id }, concurrencyLimit)
    }
  })
  metrics.gauge('worker_speed', 'Speed of a worker; 1 is the usual one of its service.', ['worker'], gauge => {
    gauge.reset()
    for (const { id, slowness } of workers()) gauge.set({ worker: id }, 1 / slowness)
  })
}
