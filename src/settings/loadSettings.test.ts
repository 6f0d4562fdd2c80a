/**
 * Guards against mistakes in settings files that are reported one at a time, without the key, or not at all.
 */
import { describe, expect, test } from '@jest/globals'
import { hostSettingsSchema } from './HostSettings.js'
import { formatProblem, parseSettings } from './loadSettings.js'

const valid = `
[host]
id = "guayaquil-a-1"
zone = "guayaquil-a"
region = "costa"
[listen]
callers = ["127.0.0.1:0"]
administration = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
log = "http://127.0.0.1:9000"
host_list = "http://127.0.0.1:9001"
weight_store = "http://127.0.0.1:9002"
`

function problemLines (text: string): string[] {
  const parsed = parseSettings(hostSettingsSchema, 'host.toml', text)
  return parsed.isErr ? parsed.error.map(formatProblem) : []
}

describe('parseSettings', () => {
  test('accepts a file with all required keys and fills in the defaults', () => {
    const parsed = parseSettings(hostSettingsSchema, 'host.toml', valid)
    expect(parsed.isOk && parsed.value.leases.durationMilliseconds).toBe(6000)
  })

  test.each([
    ['an unknown key and the similar known one', valid.replace('host_list', 'host_lst'), 'platform.host_lst: found an unknown key; allowed: did you mean "host_list"?'],
    ['an unknown section and the similar known one', valid + '[lease]\nx = 1\n', 'lease: found an unknown key; allowed: did you mean "leases"?'],
    ['a value of the wrong type', valid.replace('id = "guayaquil-a-1"', 'id = 7'), 'host.id: found 7'],
    ['a value out of range', valid + '[limits]\nretry_budget = 2\n', 'limits.retry_budget: found 2'],
    ['a missing key', valid.replace('zone = "guayaquil-a"\n', ''), 'host.zone: found nothing'],
    ['text that is not TOML', valid + '[host\n', 'allowed: TOML 1.0']
  ])('reports %s', (_name, text, expected) => {
    expect(problemLines(text).join('\n')).toContain(expected)
  })

  test('reports all problems of a file at once', () => {
    const text = valid.replace('id = "guayaquil-a-1"', 'id = 7').replace('log =', 'logg =') + '[limits]\nretry_budget = 2\n'
    expect(problemLines(text).length).toBeGreaterThanOrEqual(4)
  })
})
