/**
 * Metrics of callers' requests: the number by route, service and outcome, and the time to the first byte.
 */
import type { Counter } from 'prom-client'
import type { LatencyRecorder, Metrics } from '../observability/index.js'

/** Records the responses to callers' requests in the metrics of a host. */
export class RequestMetrics {
  private readonly outcomeCounter: Counter<'route' | 'service' | 'outcome'>
  private readonly refusedKeyCounter: Counter
  private readonly firstByteLatency: LatencyRecorder

  constructor (metrics: Metrics) {
    this.outcomeCounter = metrics.counter('requests_total', 'Requests of callers by outcome.', ['route', 'service', 'outcome'])
    this.refusedKeyCounter = metrics.counter('refused_keys_total', 'Requests that were refused since they had no known key.')
    this.firstByteLatency = metrics.latency('first_byte', 'Time to the first byte of an answer.')
  }

  /** Records that a request was refused since it had no known key. */
  recordRefusedKey (): void {
    this.refusedKeyCounter.inc()
  }

  /** Records a response. `outcome`: its status, `broken` if it ended early, or `left` if the caller disconnected. */
  recordResponse (route: string, service: string, outcome: string, firstByteMilliseconds: number): void {
    this.outcomeCounter.inc({ route, service, outcome })
    this.firstByteLatency.record(firstByteMilliseconds)
  }
}
