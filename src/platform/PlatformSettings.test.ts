/**
 * Guards against a host that does not start since the platform has no value for an optional field of the template.
 */
import { readFileSync } from 'node:fs'
import { expect, test } from '@jest/globals'
import { parse } from 'smol-toml'
import { platformSettingsSchema } from './PlatformSettings.js'

/** The part of the template that is rendered if the platform asks for duties. */
const section = /\{\{#cloud\.address\}\}\n([^]*)\{\{\/cloud\.address\}\}\n/

/** Renders that part with the given values, as JSON or nothing. */
function render (values: Record<string, unknown>): Record<string, unknown> {
  const template = section.exec(readFileSync('deploy/entry.toml', 'utf8'))![1]!
  const jsonOf = (name: string): string => values[name] === undefined ? '' : JSON.stringify(values[name])
  const rendered = template.replace(/\{\{([^|}]+)\|json\}\}/g, (_, name: string) => jsonOf(name))
  return parse(`[bounds]\n${rendered}`)
}

const base = { 'cloud.address': '10.0.0.1:80', 'cloud.duties': 'usage_report, autoscale' }

test.each<[string, Record<string, unknown>, unknown]>([
  ['all values', { ...base, 'bounds.usage-window-s': 5, 'bounds.usage-late-s': 10, 'cloud.duty-per-s': 50 }, [5, 10, 50]],
  ['the required values alone', base, [undefined, undefined, undefined]],
  ['a list of duties', { ...base, 'cloud.duties': ['usage_report', 'autoscale'] }, [undefined, undefined, undefined]]
])('the settings of the duties are valid with %s', (_name, values, expected) => {
  const rendered = render(values) as { bounds: Record<string, unknown>, duties: Record<string, unknown> }
  const settings = platformSettingsSchema.parse({
    host: { id: 'host-1', zone: 'a', region: 'coast' },
    listen: { callers: '127.0.0.1:1', readiness: '127.0.0.1:2' },
    store: { address: '127.0.0.1:3' },
    bounds: {
      graceSeconds: 8,
      retryRatio: 0.2,
      retrySlack: 10,
      stableWindowMilliseconds: 3000,
      leaseMilliseconds: 3000,
      usageWindowSeconds: rendered.bounds.usage_window_seconds,
      usageLateSeconds: rendered.bounds.usage_late_seconds
    },
    duties: {
      address: rendered.duties.address, kinds: rendered.duties.kinds, callsPerSecond: rendered.duties.calls_per_second
    }
  })
  expect(settings.duties).toMatchObject({ address: '10.0.0.1:80', kinds: ['usage_report', 'autoscale'] })
  const { bounds, duties } = settings
  expect([bounds.usageWindowSeconds, bounds.usageLateSeconds, duties?.callsPerSecond]).toEqual(expected)
})
