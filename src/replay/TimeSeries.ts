/**
 * Time series of a replay, in buckets of the trace's time, for the plots of the report.
 */
import type { LatencyTargets, ReplayOutcome } from './ReplayReport.js'
import { isGood } from './ReplayReport.js'
import type { Trace } from './Trace.js'

/** One point: the start of a bucket in seconds, the value, and the name of the line it belongs to. */
export interface SeriesPoint {
  seconds: number
  value: number
  line: string
}

/** A plot: its title, the unit of its values, and its points. */
export interface TimeSeries {
  title: string
  unit: string
  points: SeriesPoint[]
}

/** Number of buckets that a trace is divided into. */
const bucketCount = 60

/** What the fleet looked like at one time of a replay. */
export interface FleetSample {
  atMilliseconds: number
  roles: Record<string, number>
  queuedRequests: number
}

class Buckets {
  private readonly sums = new Map<string, number>()

  constructor (private readonly bucketMilliseconds: number) {}

  add (line: string, at: number, value: number): void {
    const key = `${line}\n${Math.floor(at / this.bucketMilliseconds)}`
    this.sums.set(key, (this.sums.get(key) ?? 0) + value)
  }

  /** The sums per second. */
  perSecond (lines: string[]): SeriesPoint[] {
    return lines.flatMap(line => Array.from({ length: bucketCount }, (_, bucket) => ({
      seconds: bucket * this.bucketMilliseconds / 1000,
      value: (this.sums.get(`${line}\n${bucket}`) ?? 0) / (this.bucketMilliseconds / 1000),
      line
    })))
  }
}

/** Makes the time series of a replay. */
export function timeSeriesOf (
  trace: Trace,
  outcomes: ReplayOutcome[],
  targets: LatencyTargets,
  fleet: FleetSample[] = []
): TimeSeries[] {
  const bucketMilliseconds = Math.max(1, trace.header.durationMilliseconds / bucketCount)
  return [
    mixSeries(trace, bucketMilliseconds),
    goodputSeries(outcomes, targets, bucketMilliseconds),
    latencySeries(outcomes),
    ...fleetSeries(fleet)
  ]
}

function mixSeries (trace: Trace, bucketMilliseconds: number): TimeSeries {
  const buckets = new Buckets(bucketMilliseconds)
  for (const entry of trace.entries) {
    if (entry.kind !== 'model') continue
    buckets.add('prompt tokens', entry.at, entry.promptTokens)
    buckets.add('output tokens', entry.at, entry.outputTokens)
  }
  return { title: 'Mix offered', unit: 'tokens/s', points: buckets.perSecond(['prompt tokens', 'output tokens']) }
}

function goodputSeries (outcomes: ReplayOutcome[], targets: LatencyTargets, bucketMilliseconds: number): TimeSeries {
  const buckets = new Buckets(bucketMilliseconds)
  for (const outcome of outcomes) {
    buckets.add('offered', outcome.at, 1)
    if (isGood(outcome, targets)) buckets.add('good', outcome.at, 1)
    else buckets.add(outcome.result === 'complete' ? 'late' : 'refused or failed', outcome.at, 1)
  }
  return {
    title: 'Goodput, by time of arrival',
    unit: 'requests/s',
    points: buckets.perSecond(['offered', 'good', 'late', 'refused or failed'])
  }
}

function latencySeries (outcomes: ReplayOutcome[]): TimeSeries {
  const points = outcomes
    .filter(outcome => outcome.firstTokenMilliseconds !== undefined)
    .sort((left, right) => left.at - right.at)
    .map(outcome => ({ seconds: outcome.at / 1000, value: outcome.firstTokenMilliseconds ?? 0, line: 'first token' }))
  return { title: 'First token, by time of arrival', unit: 'ms', points }
}

function fleetSeries (fleet: FleetSample[]): TimeSeries[] {
  if (fleet.length === 0) return []
  const roles = fleet.flatMap(sample => Object.entries(sample.roles)
    .map(([line, value]) => ({ seconds: sample.atMilliseconds / 1000, value, line })))
  const queue = fleet.map(sample => ({ seconds: sample.atMilliseconds / 1000, value: sample.queuedRequests, line: 'queued' }))
  return [
    { title: 'Engines by role', unit: 'engines', points: roles },
    { title: 'Requests waiting', unit: 'requests', points: queue }
  ]
}
