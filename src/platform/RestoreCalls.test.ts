/**
 * Guards against hosts that all call the store many times when it was restored; each call is priced, and the hosts share
 * a limit of calls per second.
 */
import { afterEach, expect, test } from '@jest/globals'
import type { PlatformHost } from './PlatformHost.js'
import { quarantineTopic } from './QuarantineTopic.js'
import { type PlatformTest, startHost, startPlatform, waitUntil } from './testing/platformTestSupport.js'

const hostCount = 12

/** Time in milliseconds within which hosts have taken a restore. */
const settledMilliseconds = 4000

let platform: PlatformTest
let otherHosts: PlatformHost[] = []

afterEach(async () => {
  await Promise.all(otherHosts.map(async host => { await host.close() }))
  otherHosts = []
  await platform.stop()
})

async function pause (milliseconds: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, milliseconds))
}

/** Number of calls so far, by path. */
function countCalls (): Map<string, number> {
  const counts = new Map<string, number>()
  for (const call of platform.store.calls) counts.set(call, (counts.get(call) ?? 0) + 1)
  return counts
}

test.each([['breaks the open calls', false], ['falls between calls', true]])('a restore that %s costs each host a few calls', async (_name, keepsConnections) => {
  platform = await startPlatform({ hasPeers: true })
  const { store } = platform
  otherHosts = await Promise.all(Array.from({ length: hostCount - 1 }, async (_, index) => await startHost(store, { name: `other-${index}`, hasPeers: true })))
  const hosts = [platform.host, ...otherHosts]
  await waitUntil(() => hosts.every(({ isReady }) => isReady))
  await pause(7000)
  const copy = store.copy()
  const losses = [1, 2, 3].map(number => ({ worker: `w${number}`, at: Date.now() - 60_000 + number * 10_000, prompts: [`p${number}`] }))
  store.write(quarantineTopic, 'm/dead', { losses })
  await waitUntil(() => hosts.every(host => host.quarantinedParts === 1))
  await pause(1000)
  const before = countCalls()
  await pause(settledMilliseconds)
  const atRest = countCalls()
  store.restore(copy, { keepsConnections })
  await pause(settledMilliseconds)
  const after = countCalls()
  /** Calls that the restore adds to those at rest. */
  const added = (path: string): number =>
    (after.get(path) ?? 0) - (atRest.get(path) ?? 0) - ((atRest.get(path) ?? 0) - (before.get(path) ?? 0))
  expect(added('GET /v1/log-read')).toBeLessThanOrEqual(3 * hostCount)
  expect(added('GET /v1/log-owners')).toBeLessThanOrEqual(hostCount)
  expect(added('GET /v1/log-newest')).toBeLessThanOrEqual(3 * hostCount)
  expect(added('POST /v1/log-append')).toBeLessThanOrEqual(hostCount / 2)
}, 60_000)
