/**
 * Guards against a report page without its plots, and against text from the trace that is inserted as HTML markup.
 */
import { describe, expect, test } from '@jest/globals'
import type { Team } from '../common/index.js'
import { type ReplayOutcome, reportOf } from './ReplayReport.js'
import { reportPage } from './reportPage.js'
import { timeSeriesOf } from './TimeSeries.js'
import type { Trace } from './Trace.js'

const targets = { firstTokenMilliseconds: 630, betweenTokensMilliseconds: 50 }

function outcomeAt (at: number, result: ReplayOutcome['result']): ReplayOutcome {
  return {
    kind: 'service', team: 'foro' as Team, at, result, sendDelayMilliseconds: 0, totalMilliseconds: 1, isWithinDeadline: true, tokens: 0, requestedTokens: 0
  }
}

describe('reportPage', () => {
  const trace: Trace = { header: { kind: 'trace', version: 1, name: '<b>', durationMilliseconds: 60_000 }, entries: [] }
  const outcomes = [outcomeAt(500, 'complete'), outcomeAt(1500, 'overloaded')]
  const fleetSamples = [{ atMilliseconds: 0, roles: { mixed: 2 }, queuedRequests: 0 }]

  test('contains one plot for each time series and escapes markup in the name of the trace', async () => {
    const series = timeSeriesOf(trace, outcomes, targets, fleetSamples)
    const page = await reportPage(reportOf(trace.header, outcomes, targets), [], series)
    expect(page.match(/<svg/g)?.length).toBe(series.length)
    expect(page).not.toContain('<b>')
  })

  test('timeSeriesOf counts each outcome in the goodput series at its time bucket and on its line', () => {
    const goodputSeries = timeSeriesOf(trace, outcomes, targets).find(series => series.title.startsWith('Goodput'))
    const nonzeroPoints = goodputSeries?.points.filter(point => point.value > 0).map(point => [point.seconds, point.line])
    expect(nonzeroPoints).toEqual([[0, 'offered'], [1, 'offered'], [0, 'good'], [1, 'refused or failed']])
  })
})
