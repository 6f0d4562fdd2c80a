/**
 * Time series of a replay for the plots of the report. Rates are averaged over buckets of trace time.
 */
import type { LatencyTargets, ReplayOutcome } from './ReplayReport.js'
import { isGood } from './ReplayReport.js'
import type { Trace } from './Trace.js'

/** One point of a plot: the time in seconds from the start of the trace, the value, and the name of its line. */
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

/** Number of equal buckets that the duration of a trace is divided into. */
const bucketCount = 60

/** State of the fleet at one moment of a replay. */
export interface FleetSample {
  atMilliseconds: number
  roles: Record<string, number>
  queuedRequests: number
}

/** Sums of values for each line and time bucket. */
class BucketSums {
  private readonly sums = new Map<string, number>()

  constructor (private readonly bucketMilliseconds: number) {}

  add (line: string, at: number, value: number): void {
    const key = `${line}\n${Math.floor(at / this.bucketMilliseconds)}`
    this.sums.set(key, (this.sums.get(key) ?? 0) + value)
  }

  /** The sums of each line as rates per second, one point for each bucket. */
  perSecond (lines: string[]): SeriesPoint[] {
    return lines.flatMap(line => Array.from({ length: bucketCount }, (_, bucket) => ({
      seconds: bucket * this.bucketMilliseconds / 1000,
      value: (this.sums.get(`${line}\n${bucket}`) ?? 0) / (this.bucketMilliseconds / 1000),
      line
    })))
  }
}

/** Builds the time series of a replay; those of the fleet only if there are samples of it. */
export function timeSeriesOf (
  trace: Trace,
  outcomes: ReplayOutcome[],
  targets: LatencyTargets,
  fleet: FleetSample[] = []
): TimeSeries[] {
  const bucketMilliseconds = Math.max(1, trace.header.durationMilliseconds / bucketCount)
  return [
    tokenRateSeries(trace, bucketMilliseconds),
    goodputSeries(outcomes, targets, bucketMilliseconds),
    latencySeries(outcomes),
    ...fleetSeries(fleet)
  ]
}

function tokenRateSeries (trace: Trace, bucketMilliseconds: number): TimeSeries {
  const buckets = new BucketSums(bucketMilliseconds)
  for (const entry of trace.entries) {
    if (entry.kind !== 'model') continue
    buckets.add('prompt tokens', entry.at, entry.promptTokens)
    buckets.add('output tokens', entry.at, entry.outputTokens)
  }
  return { title: 'Mix offered', unit: 'tokens/s', points: buckets.perSecond(['prompt tokens', 'output tokens']) }
}

function goodputSeries (outcomes: ReplayOutcome[], targets: LatencyTargets, bucketMilliseconds: number): TimeSeries {
  const buckets = new BucketSums(bucketMilliseconds)
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
  const rolePoints = fleet.flatMap(sample => Object.entries(sample.roles)
    .map(([line, value]) => ({ seconds: sample.atMilliseconds / 1000, value, line })))
  const queuePoints = fleet.map(sample => ({ seconds: sample.atMilliseconds / 1000, value: sample.queuedRequests, line: 'queued' }))
  return [
    { title: 'Engines by role', unit: 'engines', points: rolePoints },
    { title: 'Requests waiting', unit: 'requests', points: queuePoints }
  ]
}
