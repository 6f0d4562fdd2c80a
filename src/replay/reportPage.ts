/**
 * Renders the report of a replay as one HTML page without scripts: the text of the report, and plots that Vega
 * renders to SVG.
 */
import { parse, type Spec, View } from 'vega'
import { formatReport, type ReplayReport } from './ReplayReport.js'
import type { TimeSeries } from './TimeSeries.js'

const plotWidth = 760
const plotHeight = 180

/** Okabe-Ito colours, which readers with red-green colour blindness can distinguish. */
const lineColours = ['#0072b2', '#d55e00', '#009e73', '#cc79a7', '#56b4e9']

function plotSpecOf (series: TimeSeries): Spec {
  const lines = [...new Set(series.points.map(point => point.line))]
  return {
    width: plotWidth,
    height: plotHeight,
    padding: 8,
    title: { text: series.title, anchor: 'start' },
    data: [{ name: 'points', values: series.points }],
    scales: [
      { name: 'x', type: 'linear', domain: { data: 'points', field: 'seconds' }, range: 'width', nice: true },
      { name: 'y', type: 'linear', domain: { data: 'points', field: 'value' }, range: 'height', nice: true, zero: true },
      { name: 'colour', type: 'ordinal', domain: lines, range: lineColours }
    ],
    axes: [
      { orient: 'bottom', scale: 'x', title: 'time in s' },
      { orient: 'left', scale: 'y', title: series.unit, grid: true, tickCount: 5 }
    ],
    legends: [{ stroke: 'colour', symbolType: 'stroke', orient: 'right' }],
    marks: [{
      type: 'group',
      from: { facet: { name: 'line', data: 'points', groupby: 'line' } },
      marks: [{
        type: 'line',
        from: { data: 'line' },
        encode: {
          update: {
            x: { scale: 'x', field: 'seconds' },
            y: { scale: 'y', field: 'value' },
            stroke: { scale: 'colour', field: 'line' },
            strokeWidth: { value: 1.5 }
          }
        }
      }]
    }]
  }
}

/** Renders a time series as the SVG text of a line plot. */
export async function plotOf (series: TimeSeries): Promise<string> {
  const view = new View(parse(plotSpecOf(series)), { renderer: 'none' })
  try {
    return await view.toSVG()
  } finally {
    view.finalize()
  }
}

function escapeHtml (text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;').replace(/"/g, '&quot;')
}

/** Renders the page. `unmet` holds the lines that `unmetBounds` returned. */
export async function reportPage (report: ReplayReport, unmet: string[], series: TimeSeries[]): Promise<string> {
  const plots = await Promise.all(series.map(plotOf))
  const verdict = unmet.length === 0 ? 'Stated outcomes: met' : `Stated outcomes: not met: ${unmet.join('; ')}`
  return [
    '<!doctype html>',
    `<html lang="en"><head><meta charset="utf-8"><title>Replay of ${escapeHtml(report.trace)}</title>`,
    '<style>body{font-family:sans-serif;max-width:60rem;margin:2rem auto;padding:0 1rem}pre{background:#f4f4f4;padding:1rem;overflow:auto}</style>',
    `</head><body><h1>Replay of ${escapeHtml(report.trace)}</h1><p>${escapeHtml(verdict)}</p>`,
    `<pre>${escapeHtml(formatReport(report))}</pre>`,
    ...plots.map(plot => `<div>${plot}</div>`),
    '</body></html>',
    ''
  ].join('\n')
}
