/**
 * Metrics of the callers' HTTP application: responses by kind and status, the time to the first byte of a response (for a
 * stream: to its first token) and to the end of a generation, and the numbers of open, running and queued requests.
 */
import type { Counter } from 'prom-client'
import type { LatencyRecorder, Metrics } from '../observability/index.js'

/** Kind of a call, by which the metrics are broken down. */
export type CallKind = 'model' | 'service' | 'other'

/** Current request counts of a host, read on each scrape of the metrics. */
export interface EntryGauges {
  openRequests: () => number
  runningRequests: () => number
  queuedRequests: () => number
}

/** Returns the kind of a call from its path. */
export function callKindOf (path: string): CallKind {
  if (path === '/v1/completions' || path === '/v1/chat/completions') return 'model'
  return path.startsWith('/services/') ? 'service' : 'other'
}

/** Records the metrics of one host's calls. */
export class EntryMetrics {
  private readonly responses: Counter<'kind' | 'status'>
  private readonly firstByteLatencies: Record<CallKind, LatencyRecorder>
  private readonly modelTotalLatency: LatencyRecorder

  constructor (metrics: Metrics, gauges: EntryGauges) {
    this.responses = metrics.counter('answers_total', 'Answers to callers.', ['kind', 'status'])
    this.firstByteLatencies = {
      model: metrics.latency('model_first_byte', 'Time to the first byte of answers of models.'),
      service: metrics.latency('service_first_byte', 'Time to the first byte of answers of services.'),
      other: metrics.latency('other_first_byte', 'Time to the first byte of other answers.')
    }
    this.modelTotalLatency = metrics.latency('model_total', 'Time to the end of answers of models.')
    metrics.gauge('requests_open', 'Requests in progress, waiting ones not included.', [], gauge => gauge.set(gauges.openRequests()))
    metrics.gauge('requests_running', 'Requests that admission let in.', [], gauge => gauge.set(gauges.runningRequests()))
    metrics.gauge('requests_queued', 'Requests that wait for admission.', [], gauge => gauge.set(gauges.queuedRequests()))
  }

  /** Records a response and the time until its first byte, in milliseconds. */
  recordResponse (kind: CallKind, status: number, milliseconds: number): void {
    this.responses.inc({ kind, status: String(status) })
    this.firstByteLatencies[kind].record(milliseconds)
  }

  /** Records the time from the start to the end of a generation, in milliseconds. */
  recordGeneration (milliseconds: number): void {
    this.modelTotalLatency.record(milliseconds)
  }
}
