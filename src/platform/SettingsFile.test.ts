/**
 * Guards against settings that stay out of date after their file changed, and against an invalid file that ends a host
 * or takes effect in part.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import type { PlatformSettings } from './PlatformSettings.js'
import { SettingsFile } from './SettingsFile.js'

let directory: string
let file: string
let reported: Array<PlatformSettings | string>

function writeSettings (grace: number, extraLines = ''): void {
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
${extraLines}`)
}

beforeEach(() => {
  directory = mkdtempSync(join(tmpdir(), 'settings-'))
  file = join(directory, 'entry.toml')
  reported = []
  writeSettings(8)
})

afterEach(() => { rmSync(directory, { recursive: true }) })

/** Reads the file and starts to watch it. */
function watch (whileStarting: () => void = () => {}): () => void {
  const settings = new SettingsFile(file)
  expect(settings.read().isOk).toBe(true)
  whileStarting()
  return settings.watch(changed => { reported.push(changed.isOk ? changed.value : changed.error.kind) })
}

// Guards against a change that no host notices since it falls between the first read and the start of the watch.
test('a change between the first read and the start of the watch is reported', () => {
  const check = watch(() => { writeSettings(12) })
  check()
  check()
  expect(reported).toMatchObject([{ bounds: { graceSeconds: 12 } }])
})

test('a change of the file is reported once, an invalid file as an error, and an unchanged file not at all', () => {
  const check = watch()
  check()
  expect(reported).toEqual([])
  writeSettings(12)
  check()
  check()
  expect(reported).toMatchObject([{ bounds: { graceSeconds: 12 } }])
  writeSettings(12, 'unknown = 1')
  check()
  expect(reported).toHaveLength(2)
  expect(reported[1]).toBe('bad_request')
})
