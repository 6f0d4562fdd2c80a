/**
 * Guards against what a worker states about itself in a late copy of an earlier response, and no longer holds: its limit
 * and its pauses. The workers speak over real sockets.
 */
import { afterEach, expect, test } from '@jest/globals'
import type { FakeWorker, ResponseOverrides } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform } from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined

afterEach(async () => {
  await platform?.stop()
  platform = undefined
})

const limited = (perSecond: number): ResponseOverrides => ({ headers: { 'server-limit': String(perSecond) } })
const pausing: ResponseOverrides = { status: 503, headers: { 'dogwooddale-not-run': '1', 'retry-after': '0.2' } }

test.each<[string, ResponseOverrides, ResponseOverrides, { limitPerSecond: number | undefined, available: boolean }]>([
  ['without a limit does not end the limit', {}, limited(400), { limitPerSecond: 400, available: true }],
  ['with an older limit does not replace the limit', limited(1000), limited(400), { limitPerSecond: 400, available: true }],
  ['with a pause does not begin another pause', pausing, {}, { limitPerSecond: undefined, available: true }]
])('a late copy of a response %s', async (_name, earlier, later, expected) => {
  platform = await startPlatform({ appWorkers: 1 })
  const [worker] = platform.app as [FakeWorker]
  const caller = await RawCaller.connect(platform.host.addresses.callers)
  const ask = async (id: string): Promise<number> => {
    caller.send('POST', '/votes/1', requestHeaders(id), 'text')
    return (await caller.readResponse()).status
  }
  let copy = ''
  worker.onRequest = request => {
    copy = worker.responseTo(request, 'own', earlier)
    request.socket.write(copy)
  }
  await ask('r0')
  const view = (): unknown => platform?.host.workers().find(({ id }) => id === worker.id)
  worker.onRequest = request => { request.socket.write(worker.responseTo(request, 'own', later)) }
  for (let attempt = 1; await ask(`r1-${attempt}`) !== 200; attempt += 1) await new Promise(resolve => setTimeout(resolve, 50))
  worker.onRequest = request => { request.socket.write(copy) }
  expect(await ask('r2')).toBe(502)
  expect(view()).toMatchObject(expected)
})
