/**
 * Guards against hosts that end by a signal that arrives while they start. The host is a process of its own; its settings
 * file is a named pipe, so that it waits for its settings until the test has sent the signal.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { type ChildProcess, execFileSync, spawn } from 'node:child_process'
import { once } from 'node:events'
import { mkdtempSync, renameSync, rmSync, writeFileSync } from 'node:fs'
import { open } from 'node:fs/promises'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { FakeStore } from './testing/FakeStore.js'
import { HostSignals } from './HostSignals.js'
import { waitUntil } from './testing/platformTestSupport.js'

let directory: string
let store: FakeStore
let child: ChildProcess | undefined

beforeEach(async () => {
  directory = mkdtempSync(join(tmpdir(), 'host-start-'))
  store = await FakeStore.start()
})

afterEach(async () => {
  child?.kill('SIGKILL')
  child = undefined
  await store.stop()
  rmSync(directory, { recursive: true })
})

function settingsText (grace: number): string {
  return `
[host]
id = "host-1"
zone = "a"
region = "coast"
[listen]
callers = "127.0.0.1:0"
readiness = "127.0.0.1:0"
[store]
address = "${store.address}"
[bounds]
grace_seconds = ${grace}
retry_ratio = 0.2
retry_slack = 10
stable_window_milliseconds = 3000
lease_milliseconds = 3000
`
}

/** Starts a host and sends it a signal before it has its settings, which change meanwhile. */
async function signalWhileStarting (signal: NodeJS.Signals): Promise<{ process: ChildProcess, output: () => string }> {
  const path = join(directory, 'entry.toml')
  execFileSync('mkfifo', [path])
  const started = spawn(process.execPath, ['dist/platform/dogwooddale.cjs'], {
    env: { PATH: process.env.PATH, DOGWOODDALE_NODE_FILE: path }, stdio: ['ignore', 'pipe', 'inherit']
  })
  child = started
  let output = ''
  started.stdout.on('data', bytes => { output += String(bytes) })
  const pipe = await open(path, 'w')
  started.kill(signal)
  await pipe.write(settingsText(8))
  writeFileSync(`${path}.new`, settingsText(12))
  renameSync(`${path}.new`, path)
  await pipe.close()
  return { process: started, output: () => output }
}

// Guards against a host that is told of new settings while it starts, and ends, or never reads them.
test('a host that gets SIGHUP while it starts goes on and reads the settings that changed meanwhile', async () => {
  const { process: host, output } = await signalWhileStarting('SIGHUP')
  await waitUntil(() => output().includes('event=host_listening') || host.signalCode !== null)
  expect(host.signalCode).toBeNull()
  expect(output()).toMatch(/event=settings_in_force .*grace=12/)
})

// Guards against a stop that counts as a failure since it comes early.
test.each<NodeJS.Signals>(['SIGTERM', 'SIGINT'])('a host that gets %s while it starts ends with status 0', async signal => {
  const { process: host } = await signalWhileStarting(signal)
  expect(await once(host, 'exit')).toEqual([0, null])
})

test.each<[string, string[], string[]]>([
  ['to reload before the hand-over reload once, at the hand-over', ['SIGHUP', 'SIGHUP', 'hand-over'], ['reload']],
  ['after the hand-over go to the host', ['hand-over', 'SIGHUP', 'SIGTERM', 'SIGINT'], ['reload', 'reload', 'stop', 'stop']],
  ['to stop before the hand-over end the process', ['SIGTERM'], ['exit 0']]
])('signals %s', (_name, steps, expected) => {
  const listeners = new Map<string, () => void>()
  const done: string[] = []
  const signals = new HostSignals({ on: (signal, listener) => listeners.set(signal, listener), exit: status => { done.push(`exit ${status}`) } })
  for (const step of steps) {
    if (step === 'hand-over') signals.handOver({ reload: () => { done.push('reload') }, stop: () => { done.push('stop') } })
    else listeners.get(step)?.()
  }
  expect(done).toEqual(expected)
})
