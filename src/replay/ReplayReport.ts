/**
 * The report of a replay: goodput against deadline and latency targets, quantiles, refusals, use per team.
 */
import { build, type Histogram } from 'hdr-histogram-js'
import { z } from 'zod'
import type { ErrorKind, Team } from '../common/index.js'

/** How one arrival ended. Times in milliseconds count from the intended time of sending. */
export interface ReplayOutcome {
  kind: 'model' | 'service'
  team: Team
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
  /** True if the whole answer came within the deadline. */
  inTime: boolean
  /** Tokens received; compared with the tokens wanted to find cut answers. */
  tokens: number
  wantedTokens: number
}

/** Latency targets that an answer has to meet to count as goodput. */
export interface LatencyTargets {
  firstTokenMilliseconds: number
  betweenTokensMilliseconds: number
}

/** Quantiles in milliseconds. */
export const quantilesSchema = z.object({ p50: z.number(), p95: z.number(), p99: z.number(), max: z.number() })
export type Quantiles = z.infer<typeof quantilesSchema>

/** The report as data. */
export interface ReplayReport {
  trace: string
  seed?: number
  requests: number
  complete: number
  /** Requests that were answered whole, in time and within the latency targets. */
  good: number
  /** `good / requests`. */
  goodFraction: number
  /** Good answers per second of the trace. */
  goodputPerSecond: number
  /** Answers that ended as complete with fewer or more tokens than wanted. */
  wrongLength: number
  lateSends: number
  errors: Partial<Record<ErrorKind, number>>
  firstToken: Quantiles
  betweenTokens: Quantiles
  total: Quantiles
  teams: Record<string, { requests: number, good: number, tokens: number }>
}

/** Sends later than this after their intended time are counted as late. */
const lateSendMilliseconds = 20

/** Longest latency that is told apart, in microseconds: one hour. */
const highestMicroseconds = 3_600_000_000

function quantilesOf (values: number[]): Quantiles {
  const histogram: Histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestMicroseconds,
    numberOfSignificantValueDigits: 3
  })
  for (const value of values) histogram.recordValue(Math.min(highestMicroseconds, Math.max(1, Math.round(value * 1000))))
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

/** True if the answer counts as goodput. */
export function isGood (outcome: ReplayOutcome, targets: LatencyTargets): boolean {
  if (outcome.result !== 'complete' || !outcome.inTime) return false
  if (outcome.kind === 'service') return true
  if (outcome.tokens !== outcome.wantedTokens) return false
  if ((outcome.firstTokenMilliseconds ?? Infinity) > targets.firstTokenMilliseconds) return false
  return (outcome.betweenTokensMilliseconds ?? 0) <= targets.betweenTokensMilliseconds
}

/** Makes the report of a replay. */
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
    wrongLength: complete.filter(outcome => outcome.kind === 'model' && outcome.tokens !== outcome.wantedTokens).length,
    lateSends: outcomes.filter(outcome => outcome.sendDelayMilliseconds > lateSendMilliseconds).length,
    errors,
    firstToken: quantilesOf(outcomes.map(outcome => outcome.firstTokenMilliseconds).filter(isDefined)),
    betweenTokens: quantilesOf(outcomes.map(outcome => outcome.betweenTokensMilliseconds).filter(isDefined)),
    total: quantilesOf(complete.map(outcome => outcome.totalMilliseconds)),
    teams
  }
}

function quantilesLine (name: string, quantiles: Quantiles): string {
  const values = Object.entries(quantiles).map(([key, value]) => `${key} ${value.toFixed(1)} ms`)
  return `${name.padEnd(16)}${values.join('  ')}`
}

/** Writes the report as text. */
export function formatReport (report: ReplayReport): string {
  const errors = Object.entries(report.errors).map(([kind, count]) => `${kind} ${count}`).join(', ')
  return [
    `trace           ${report.trace}${report.seed === undefined ? '' : ` (seed ${report.seed})`}`,
    `requests        ${report.requests}, complete ${report.complete}, good ${report.good} (${(report.goodFraction * 100).toFixed(1)} %)`,
    `goodput         ${report.goodputPerSecond.toFixed(2)} requests/s`,
    `wrong length    ${report.wrongLength}`,
    `late sends      ${report.lateSends}`,
    `errors          ${errors === '' ? 'none' : errors}`,
    quantilesLine('first token', report.firstToken),
    quantilesLine('between tokens', report.betweenTokens),
    quantilesLine('total', report.total),
    ...Object.entries(report.teams).map(([team, use]) =>
      `team ${team.padEnd(11)}requests ${use.requests}, good ${use.good}, tokens ${use.tokens}`)
  ].join('\n')
}

/** Outcomes that a trace states; they lie beside it as `<trace>.outcomes.toml`. Absent members are not checked. */
export const statedOutcomesSchema = z.strictObject({
  minGoodFraction: z.number().min(0).max(1).optional(),
  maxWrongLength: z.number().int().nonnegative().optional(),
  maxFirstTokenP95Milliseconds: z.number().positive().optional(),
  maxBetweenTokensP95Milliseconds: z.number().positive().optional(),
  maxErrors: z.number().int().nonnegative().optional()
})
export type StatedOutcomes = z.infer<typeof statedOutcomesSchema>

/** Compares a report with the stated outcomes; returns one line per outcome that was not met. */
export function unmetOutcomes (report: ReplayReport, stated: StatedOutcomes): string[] {
  const errors = Object.values(report.errors).reduce((sum, count) => sum + count, 0)
  const checks: Array<[keyof StatedOutcomes, number, 'min' | 'max']> = [
    ['minGoodFraction', report.goodFraction, 'min'],
    ['maxWrongLength', report.wrongLength, 'max'],
    ['maxFirstTokenP95Milliseconds', report.firstToken.p95, 'max'],
    ['maxBetweenTokensP95Milliseconds', report.betweenTokens.p95, 'max'],
    ['maxErrors', errors, 'max']
  ]
  return checks.flatMap(([name, measured, direction]) => {
    const bound = stated[name]
    if (bound === undefined) return []
    const isMet = direction === 'min' ? measured >= bound : measured <= bound
    return isMet ? [] : [`${name} is ${bound}, measured ${measured}`]
  })
}
