/**
 * Metrics of one process: counters and gauges from prom-client and latencies from hdr-histogram-js, exposed
 * together in the Prometheus text format.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

const reportedQuantiles = [0.5, 0.95, 0.99, 0.999]

/**
 * Maximum latency that the histogram tracks: ten minutes, the maximum timeout of a request. Longer latencies are recorded
 * as ten minutes.
 */
const maxLatencyMicroseconds = 600_000_000

/** Records latencies and reports their count, sum and quantiles. */
export class LatencyRecorder {
  private readonly histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxLatencyMicroseconds,
    numberOfSignificantValueDigits: 2
  })

  private sumMilliseconds = 0

  /** Records one latency in milliseconds. */
  record (milliseconds: number): void {
    this.sumMilliseconds += milliseconds
    this.histogram.recordValue(Math.min(maxLatencyMicroseconds, Math.max(1, Math.round(milliseconds * 1000))))
  }

  /** Number of latencies recorded. */
  get count (): number {
    return this.histogram.totalCount
  }

  /** Sum of the latencies in milliseconds. */
  get sum (): number {
    return this.sumMilliseconds
  }

  /** The given quantile (0 to 1) in milliseconds; 0 if no latency was recorded. */
  quantile (quantile: number): number {
    if (this.count === 0) return 0
    return this.histogram.getValueAtPercentile(quantile * 100) / 1000
  }
}

/** The metrics of one process. Their names get the prefix `dogwooddale_`. */
export class Metrics {
  private readonly registry = new Registry()
  private readonly latencies = new Map<string, { help: string, recorder: LatencyRecorder }>()

  /** Registers a counter. */
  counter<Label extends string = never> (name: string, help: string, labelNames: Label[] = []): Counter<Label> {
    return new Counter({ name: `dogwooddale_${name}`, help, labelNames, registers: [this.registry] })
  }

  /** Registers a gauge. `collect` is called on each scrape, before the gauge is read. */
  gauge<Label extends string = never> (
    name: string,
    help: string,
    labelNames: Label[] = [],
    collect?: (gauge: Gauge<Label>) => void
  ): Gauge<Label> {
    return new Gauge({
      name: `dogwooddale_${name}`,
      help,
      labelNames,
      registers: [this.registry],
      ...(collect === undefined ? {} : { collect () { collect(this as unknown as Gauge<Label>) } })
    })
  }

  /** Registers a latency summary, which is exposed in seconds. */
  latency (name: string, help: string): LatencyRecorder {
    const recorder = new LatencyRecorder()
    this.latencies.set(`dogwooddale_${name}_seconds`, { help, recorder })
    return recorder
  }

  /** All metrics in the Prometheus text format. */
  async exposition (): Promise<string> {
    const parts = [await this.registry.metrics()]
    for (const [name, { help, recorder }] of this.latencies) {
      parts.push(`# HELP ${name} ${help}\n# TYPE ${name} summary\n`)
      for (const quantile of reportedQuantiles) {
        parts.push(`${name}{quantile="${quantile}"} ${recorder.quantile(quantile) / 1000}\n`)
      }
      parts.push(`${name}_sum ${recorder.sum / 1000}\n${name}_count ${recorder.count}\n`)
    }
    return parts.join('')
  }
}
