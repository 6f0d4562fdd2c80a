/**
 * A closed loop of calls: each connection sends its next call when the one before has been answered. The
 * latencies go into histograms in microseconds.
 */
import { finished } from 'node:stream/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import { Client } from 'undici'

/** One kind of call. */
export interface Call {
  method: 'GET' | 'POST'
  path: string
  headers?: Record<string, string>
  body?: string
}

/** What one or more rounds measured. */
export interface LoopFigures {
  calls: number
  /** Sum of the rounds' durations. */
  milliseconds: number
  /** Time to the first byte of the body: of a stream, to its first token. */
  firstByte: Histogram
  /** Time to the end of the body. */
  whole: Histogram
}

/** Longest latency that the histograms hold, in microseconds. */
const longestMicroseconds = 60_000_000

function newHistogram (): Histogram {
  return build({ lowestDiscernibleValue: 1, highestTrackableValue: longestMicroseconds, numberOfSignificantValueDigits: 3 })
}

/** Figures of no round yet. */
export function noFigures (): LoopFigures {
  return { calls: 0, milliseconds: 0, firstByte: newHistogram(), whole: newHistogram() }
}

/** Adds the figures of a round to those of the rounds before. */
export function addFigures (sum: LoopFigures, round: LoopFigures): void {
  sum.calls += round.calls
  sum.milliseconds += round.milliseconds
  sum.firstByte.add(round.firstByte)
  sum.whole.add(round.whole)
}

/** A percentile in milliseconds. */
export function percentileOf (histogram: Histogram, percentile: number): number {
  return histogram.getValueAtPercentile(percentile) / 1000
}

function record (histogram: Histogram, sentAt: number): void {
  histogram.recordValue(Math.min(longestMicroseconds, Math.round((performance.now() - sentAt) * 1000)))
}

async function callOnce (client: Client, call: Call, figures: LoopFigures): Promise<void> {
  const sentAt = performance.now()
  const answer = await client.request(call)
  answer.body.once('data', () => record(figures.firstByte, sentAt))
  await finished(answer.body.resume())
  record(figures.whole, sentAt)
  if (answer.statusCode !== 200) throw new Error(`${call.method} ${call.path} was answered with status ${answer.statusCode}`)
  figures.calls += 1
}

/** Keeps connections to one origin and runs rounds of calls on them. */
export class ClosedLoop {
  private readonly clients: Client[]

  constructor (origin: string, connections: number, private readonly call: Call) {
    this.clients = Array.from({ length: connections }, () => new Client(origin, { headersTimeout: 30_000, bodyTimeout: 30_000 }))
  }

  /** Runs one round. */
  async run (milliseconds: number): Promise<LoopFigures> {
    const figures = noFigures()
    const startedAt = performance.now()
    await Promise.all(this.clients.map(async client => {
      while (performance.now() - startedAt < milliseconds) await callOnce(client, this.call, figures)
    }))
    figures.milliseconds = performance.now() - startedAt
    return figures
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await Promise.all(this.clients.map(client => client.close()))
  }
}
