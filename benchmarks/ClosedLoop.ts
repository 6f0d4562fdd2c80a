/**
 * A closed-loop load generator: each connection sends its next call when its previous call has been answered.
 * Latencies are recorded in histograms in microseconds.
 */
import { finished } from 'node:stream/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import { Client } from 'undici'

/** The HTTP request that every connection of a loop repeats. */
export interface Call {
  method: 'GET' | 'POST'
  path: string
  headers?: Record<string, string>
  body?: string
}

/** Measurements of one round, or summed over several. */
export interface LoopMeasurements {
  calls: number
  /** Duration of the round, or the sum of the durations. */
  milliseconds: number
  /** Time to the first byte of the body; for a stream, the time to its first token. */
  firstByte: Histogram
  /** Time to the end of the body. */
  lastByte: Histogram
}

/** Upper bound of the histograms: 60 s. Longer latencies are recorded as 60 s. */
const maxLatencyMicroseconds = 60_000_000

function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: maxLatencyMicroseconds, numberOfSignificantValueDigits: 3 })
}

/** Measurements of no rounds, to which `addMeasurements` adds. */
export function emptyMeasurements (): LoopMeasurements {
  return { calls: 0, milliseconds: 0, firstByte: newHistogram(), lastByte: newHistogram() }
}

/** Adds the measurements of a round to a sum, in place. */
export function addMeasurements (sum: LoopMeasurements, round: LoopMeasurements): void {
  sum.calls += round.calls
  sum.milliseconds += round.milliseconds
  sum.firstByte.add(round.firstByte)
  sum.lastByte.add(round.lastByte)
}

/** A percentile (0 to 100) of a histogram in microseconds, converted to milliseconds. */
export function percentileOf (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1000
}

function recordLatency (histogram: Histogram, sentAt: number): void {
  histogram.recordValue(Math.min(maxLatencyMicroseconds, Math.round((performance.now() - sentAt) * 1000)))
}

async function callOnce (client: Client, call: Call, measurements: LoopMeasurements): Promise<void> {
  const sentAt = performance.now()
  const response = await client.request(call)
  response.body.once('data', () => recordLatency(measurements.firstByte, sentAt))
  await finished(response.body.resume())
  recordLatency(measurements.lastByte, sentAt)
  if (response.statusCode !== 200) throw new Error(`${call.method} ${call.path} was answered with status ${response.statusCode}`)
  measurements.calls += 1
}

/** Holds connections to one origin and runs rounds of calls on them. */
export class ClosedLoop {
  private readonly clients: Client[]

  constructor (origin: string, connections: number, private readonly call: Call) {
    this.clients = Array.from({ length: connections }, () => new Client(origin, { headersTimeout: 30_000, bodyTimeout: 30_000 }))
  }

  /** Runs one round: every connection starts calls until the given time is over. */
  async run (milliseconds: number): Promise<LoopMeasurements> {
    const measurements = emptyMeasurements()
    const startedAt = performance.now()
    await Promise.all(this.clients.map(async client => {
      while (performance.now() - startedAt < milliseconds) await callOnce(client, this.call, measurements)
    }))
    measurements.milliseconds = performance.now() - startedAt
    return measurements
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await Promise.all(this.clients.map(client => client.close()))
  }
}
