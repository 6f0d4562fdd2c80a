/**
 * Guards against requests that are handled as before a change, that reach workers which have left, or that crash workers
 * again, because the store came back from a copy that lacks its last seconds. The host, the store and the workers speak
 * over real sockets.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { PlatformHost } from './PlatformHost.js'
import { quarantineTopic } from './QuarantineTopic.js'
import type { StoreCopy } from './testing/FakeStore.js'
import {
  configurationDocument, type PlatformTest, RawCaller, requestHeaders, startHost, startPlatform, waitUntil
} from './testing/platformTestSupport.js'

const workerTopic = 'keyed.servers'
const configurationTopic = 'keyed.op'

/** Longest time in milliseconds after which a host has learnt of a restore and taken what was written again. */
const settledMilliseconds = 1500

/** Time after a change by which a host waits for the next one again, in milliseconds. */
const pauseAfterChangeMilliseconds = 700

const added = {
  name: 'added', host: 'forum.example', 'path-prefix': '/added/', kind: 'safe', 'timeout-ms': 5000, service: 'app', 'max-attempts': 2
}
const changed = configurationDocument(2, { routes: [added] })

let platform: PlatformTest
let lateHost: PlatformHost | undefined
let copy: StoreCopy

async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Sends a request; resolves to its status and body. */
async function ask (host: PlatformHost, path: string, headers: Record<string, string> = {}): Promise<[number, string]> {
  const caller = await RawCaller.connect(host.addresses.callers)
  caller.send('GET', path, requestHeaders(`r${Math.random()}`, headers))
  const { status, body } = await caller.readResponse()
  caller.socket.destroy()
  return [status, body]
}

async function askPrompt (host: PlatformHost): Promise<number> {
  const [status] = await ask(host, '/tags/1', {
    'dogwooddale-model': 'm', 'dogwooddale-token-counts': '30,5', 'dogwooddale-prompt-prefix': 'aaaa:10,dead:10,c1:10'
  })
  return status
}

function stateOf (id: string): string {
  const worker = platform.host.workers().find(candidate => candidate.id === id)
  return worker === undefined ? 'gone' : worker.draining ? 'draining' : 'ready'
}

function writeWorker (number: number, overrides: Record<string, unknown>): void {
  const worker = platform.app[number]!
  platform.store.write(workerTopic, worker.id, worker.createEntry('app', overrides))
}

/** Changes of the seconds that the store loses: an added route, a worker that drains and leaves, and evidence. */
async function changeInLostSeconds (): Promise<void> {
  const { store, host } = platform
  store.write(configurationTopic, 'config', changed)
  writeWorker(1, { state: 'draining', sequence: 2 })
  store.write(workerTopic, 'app-1', undefined)
  const losses = [1, 2, 3].map(number => ({ worker: `w${number}`, at: Date.now() - 60_000 + number * 10_000, prompts: [`p${number}`] }))
  store.write(quarantineTopic, 'm/dead', { losses })
  await waitUntil(() => stateOf('app-1') === 'gone' && host.quarantinedParts === 1)
  while ((await ask(host, '/added/1'))[0] !== 200) await pause(20)
}

beforeEach(async () => {
  platform = await startPlatform({ appWorkers: 3, modelWorkers: 2 })
  copy = platform.store.copy()
  await changeInLostSeconds()
  for (const worker of platform.app) worker.requests.length = 0
})

afterEach(async () => {
  await lateHost?.close()
  lateHost = undefined
  await platform.stop()
})

describe.each([
  ['breaks the open calls of the host', 1, true],
  ['breaks the open calls of the host, twice in a row', 2, true],
  ['falls between the calls of the host', 1, false],
  ['falls between the calls of the host, twice in a row', 2, false]
])('a restore of the store that %s', (_name, restores, isNoticed) => {
  async function restore (): Promise<void> {
    for (let count = 0; count < restores; count += 1) {
      // The host pauses after each change.
      if (isNoticed) await pause(pauseAfterChangeMilliseconds)
      platform.store.restore(copy, { keepsConnections: !isNoticed })
    }
  }

  // A host that goes back to the copy answers 404 on the added route until the operator's change is written again.
  test('reverts no change, and a change after it is taken', async () => {
    const { store, host } = platform
    await restore()
    for (const end = Date.now() + settledMilliseconds; Date.now() < end; await pause(50)) {
      expect((await ask(host, '/added/1'))[0]).toBe(200)
    }
    store.write(configurationTopic, 'config', changed)
    store.write(configurationTopic, 'config', configurationDocument(3, { routes: [added, { ...added, name: 'next', 'path-prefix': '/next/' }] }))
    await pause(settledMilliseconds)
    expect((await ask(host, '/next/1'))[0]).toBe(200)
  })

  // A worker that left is listed as ready again, and a drain that is written again lies below the offset of the host.
  test('sends no request to workers that left, or that drain after it', async () => {
    const { host, app } = platform
    await restore()
    writeWorker(2, { state: 'draining', sequence: 2 })
    writeWorker(0, { sequence: 2 })
    writeWorker(0, { sequence: 3 })
    await pause(settledMilliseconds)
    expect(['app-0', 'app-1', 'app-2'].map(stateOf)).toEqual(['ready', 'gone', 'draining'])
    const before = app.map(({ requests }) => requests.length)
    for (let count = 0; count < 20; count += 1) expect(await ask(host, '/reads/1')).toEqual([200, 'app-0'])
    expect(app.map(({ requests }, index) => requests.length - before[index]!)).toEqual([20, 0, 0])
  })

  // A part that crashes workers is sent to them again, also by hosts that start later.
  test('releases no part that crashes workers, and a host that starts later learns of it', async () => {
    const { store, host, models } = platform
    await restore()
    for (const end = Date.now() + settledMilliseconds; Date.now() < end; await pause(50)) {
      expect(await askPrompt(host)).toBe(503)
    }
    await waitUntil(() => store.newestValue(quarantineTopic, 'm/dead') !== undefined)
    lateHost = await startHost(store, { name: 'host-2' })
    await waitUntil(() => lateHost!.isReady && lateHost!.quarantinedParts === 1)
    expect(await askPrompt(lateHost)).toBe(503)
    expect(models.map(({ requests }) => requests.length)).toEqual([0, 0])
  })
})

// A host that starts after the restore knows only what the store tells it.
test('a host that starts after a restore serves an added route as soon as the change is written again', async () => {
  const { store } = platform
  store.restore(copy)
  lateHost = await startHost(store, { name: 'host-2' })
  await waitUntil(() => lateHost!.isReady)
  expect((await ask(lateHost, '/added/1'))[0]).toBe(404)
  store.write(configurationTopic, 'config', changed)
  await pause(settledMilliseconds)
  expect((await ask(lateHost, '/added/1'))[0]).toBe(200)
})
