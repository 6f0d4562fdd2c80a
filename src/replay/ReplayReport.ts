/**
 * The report of a replay: goodput under the deadlines and latency targets, latency quantiles, errors, and totals per team.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { z } from 'zod'
import type { ErrorKind, Team } from '../common/index.js'

/** How one arrival ended. Latencies are in milliseconds from the intended send time. */
export interface ReplayOutcome {
  kind: 'model' | 'service'
  team: Team
  /** Intended send time, in milliseconds from the start of the trace. */
  at: number
  /** `complete`, or the kind of the error. */
  result: 'complete' | ErrorKind
  /** How much later than intended the request was sent. */
  sendDelayMilliseconds: number
  /** Time to the first token; absent for service calls and for answers without any token. */
  firstTokenMilliseconds?: number
  /** Mean time between tokens. */
  betweenTokensMilliseconds?: number
  totalMilliseconds: number
  /** True if the request ended within its timeout, counted from the intended send time. */
  isWithinDeadline: boolean
  /** Tokens received. Any other number than `requestedTokens` means a truncated or corrupted answer. */
  tokens: number
  requestedTokens: number
}

/** Upper bounds of the latencies of an answer that counts as goodput. */
export interface LatencyTargets {
  firstTokenMilliseconds: number
  betweenTokensMilliseconds: number
}

/** Quantiles of a latency, in milliseconds. */
export const quantilesSchema = z.object({ p50: z.number(), p95: z.number(), p99: z.number(), max: z.number() })
export type Quantiles = z.infer<typeof quantilesSchema>

/** The report of a replay as data; `formatReport` makes text of it. */
export interface ReplayReport {
  trace: string
  seed?: number
  requests: number
  complete: number
  /** Requests answered completely, within the deadline and within the latency targets. */
  good: number
  /** `good / requests`. */
  goodFraction: number
  /** Good requests per second of the trace. */
  goodputPerSecond: number
  /** Model answers that ended as complete, but with fewer or more tokens than requested. */
  wrongLength: number
  /** Requests that the replay itself sent more than 20 ms late. */
  lateSends: number
  errors: Partial<Record<ErrorKind, number>>
  firstToken: Quantiles
  betweenTokens: Quantiles
  total: Quantiles
  teams: Record<string, { requests: number, good: number, tokens: number }>
}

/** Delay after the intended send time above which a request counts as a late send. */
const lateSendMilliseconds = 20

/** Upper bound of the histograms: one hour. Longer latencies are recorded as one hour. */
const maxMicroseconds = 3_600_000_000

/** Quantiles of latencies in milliseconds; all 0 if there are no latencies. */
function quantilesOf (latencies: number[]): Quantiles {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxMicroseconds,
    numberOfSignificantValueDigits: 3
  })
  for (const latency of latencies) histogram.recordValue(Math.min(maxMicroseconds, Math.max(1, Math.round(latency * 1000))))
  if (histogram.totalCount === 0) return { p50: 0, p95: 0, p99: 0, max: 0 }
  return {
    p50: histogram.getValueAtPercentile(50) / 1000,
    p95: histogram.getValueAtPercentile(95) / 1000,
    p99: histogram.getValueAtPercentile(99) / 1000,
    max: histogram.maxValue / 1000
  }
}

function isDefined (value: number | undefined): value is number {
  return value !== undefined
}

/** True if the outcome counts as goodput. Service calls have no latency targets, only their deadline. */
export function isGood (outcome: ReplayOutcome, targets: LatencyTargets): boolean {
  if (outcome.result !== 'complete' || !outcome.isWithinDeadline) return false
  if (outcome.kind === 'service') return true
  if (outcome.tokens !== outcome.requestedTokens) return false
  if ((outcome.firstTokenMilliseconds ?? Infinity) > targets.firstTokenMilliseconds) return false
  return (outcome.betweenTokensMilliseconds ?? 0) <= targets.betweenTokensMilliseconds
}

/** Builds the report of a replay from the outcomes of all its requests. */
export function reportOf (
  trace: { name: string, seed?: number | undefined, durationMilliseconds: number },
  outcomes: ReplayOutcome[],
  targets: LatencyTargets
): ReplayReport {
  const good = outcomes.filter(outcome => isGood(outcome, targets))
  const errors: Partial<Record<ErrorKind, number>> = {}
  const teams: ReplayReport['teams'] = {}
  for (const outcome of outcomes) {
    if (outcome.result !== 'complete') errors[outcome.result] = (errors[outcome.result] ?? 0) + 1
    const team = teams[outcome.team] ??= { requests: 0, good: 0, tokens: 0 }
    team.requests += 1
    team.tokens += outcome.tokens
    if (isGood(outcome, targets)) team.good += 1
  }
  const complete = outcomes.filter(outcome => outcome.result === 'complete')
  return {
    trace: trace.name,
    ...(trace.seed === undefined ? {} : { seed: trace.seed }),
    requests: outcomes.length,
    complete: complete.length,
    good: good.length,
    goodFraction: outcomes.length === 0 ? 0 : good.length / outcomes.length,
    goodputPerSecond: good.length / (trace.durationMilliseconds / 1000),
    wrongLength: complete.filter(outcome => outcome.kind === 'model' && outcome.tokens !== outcome.requestedTokens).length,
    lateSends: outcomes.filter(outcome => outcome.sendDelayMilliseconds > lateSendMilliseconds).length,
    errors,
    firstToken: quantilesOf(outcomes.map(outcome => outcome.firstTokenMilliseconds).filter(isDefined)),
    betweenTokens: quantilesOf(outcomes.map(outcome => outcome.betweenTokensMilliseconds).filter(isDefined)),
    total: quantilesOf(complete.map(outcome => outcome.totalMilliseconds)),
    teams
  }
}

function formatQuantiles (label: string, quantiles: Quantiles): string {
  const values = Object.entries(quantiles).map(([key, value]) => `${key} ${value.toFixed(1)} ms`)
  return `${label.padEnd(16)}${values.join('  ')}`
}

/** Formats the report as plain text. */
export function formatReport (report: ReplayReport): string {
  const errors = Object.entries(report.errors).map(([kind, count]) => `${kind} ${count}`).join(', ')
  return [
    `trace           ${report.trace}${report.seed === undefined ? '' : ` (seed ${report.seed})`}`,
    `requests        ${report.requests}, complete ${report.complete}, good ${report.good} (${(report.goodFraction * 100).toFixed(1)} %)`,
    `goodput         ${report.goodputPerSecond.toFixed(2)} requests/s`,
    `wrong length    ${report.wrongLength}`,
    `late sends      ${report.lateSends}`,
    `errors          ${errors === '' ? 'none' : errors}`,
    formatQuantiles('first token', report.firstToken),
    formatQuantiles('between tokens', report.betweenTokens),
    formatQuantiles('total', report.total),
    ...Object.entries(report.teams).map(([team, totals]) =>
      `team ${team.padEnd(11)}requests ${totals.requests}, good ${totals.good}, tokens ${totals.tokens}`)
  ].join('\n')
}

/** Bounds on the report of a trace, stated in `<trace>.outcomes.toml` next to the trace. Absent ones are not checked. */
export const reportBoundsSchema = z.strictObject({
  minGoodFraction: z.number().min(0).max(1).optional(),
  maxWrongLength: z.number().int().nonnegative().optional(),
  maxFirstTokenP95Milliseconds: z.number().positive().optional(),
  maxBetweenTokensP95Milliseconds: z.number().positive().optional(),
  maxErrors: z.number().int().nonnegative().optional()
})
export type ReportBounds = z.infer<typeof reportBoundsSchema>

/** Compares a report with its bounds; returns one line for each bound that the report does not meet. */
export function unmetBounds (report: ReplayReport, bounds: ReportBounds): string[] {
  const errorCount = Object.values(report.errors).reduce((sum, count) => sum + count, 0)
  const checks: Array<[keyof ReportBounds, number, 'min' | 'max']> = [
    ['minGoodFraction', report.goodFraction, 'min'],
    ['maxWrongLength', report.wrongLength, 'max'],
    ['maxFirstTokenP95Milliseconds', report.firstToken.p95, 'max'],
    ['maxBetweenTokensP95Milliseconds', report.betweenTokens.p95, 'max'],
    ['maxErrors', errorCount, 'max']
  ]
  return checks.flatMap(([name, measured, boundKind]) => {
    const bound = bounds[name]
    if (bound === undefined) return []
    const isMet = boundKind === 'min' ? measured >= bound : measured <= bound
    return isMet ? [] : [`${name}: required ${bound}, measured ${measured}`]
  })
}
