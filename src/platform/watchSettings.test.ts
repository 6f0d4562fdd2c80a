/**
 * Guards against settings that stay out of date after their file changed, and a broken file that ends a host or puts
 * half of it in force.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { PlatformSettings } from './PlatformSettings.js'
import { watchSettings } from './watchSettings.js'

let folder: string
let file: string
let seen: Array<PlatformSettings | string>

function write (grace: number, more = ''): void {
  writeFileSync(file, `
[host]
id = "host-1"
zone = "a"
region = "coast"
[listen]
callers = "127.0.0.1:1"
readiness = "127.0.0.1:2"
[store]
address = "127.0.0.1:3"
[bounds]
grace_seconds = ${grace}
retry_ratio = 0.2
retry_slack = 10
stable_window_milliseconds = 3000
lease_milliseconds = 3000
${more}`)
}

beforeEach(() => {
  folder = mkdtempSync(join(tmpdir(), 'settings-'))
  file = join(folder, 'entry.toml')
  seen = []
  write(8)
})

afterEach(() => { rmSync(folder, { recursive: true }) })

test('a change is seen once, a broken file is reported, and nothing is seen without a change', () => {
  const look = watchSettings(file, changed => { seen.push(changed.isOk ? changed.value : changed.error.kind) })
  look()
  expect(seen).toEqual([])
  write(12)
  look()
  look()
  expect(seen).toMatchObject([{ bounds: { graceSeconds: 12 } }])
  write(12, 'unknown = 1')
  look()
  expect(seen).toHaveLength(2)
  expect(seen[1]).toBe('bad_request')
})
