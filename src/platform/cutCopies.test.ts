/**
 * Guards against the start of an earlier response that a faulty worker writes once more in front of the head of the next
 * one, as a part of that head. The workers speak over real sockets.
 */
import { afterEach, expect, test } from '@jest/globals'
import type { FakeWorker } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform } from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined

afterEach(async () => {
  await platform?.stop()
  platform = undefined
})

async function ask (id: string, path: string): Promise<{ status: number, body: string }> {
  const caller = await RawCaller.connect(platform!.host.addresses.callers)
  caller.send('POST', path, requestHeaders(id), 'text')
  const { status, body } = await caller.readResponse().catch(() => ({ status: 0, body: '' }))
  return { status, body }
}

// A copy that breaks off inside a field turns the status line of the next response into a part of that field.
test.each([
  ['a field', 'HTTP/1.1 200 OK\r\ndate: Thu'],
  ['its signature', 'HTTP/1.1 200 OK\r\ndogwooddale-server-stamp: signed'],
  ['its reason phrase', 'HTTP/1.1 200 O']
])('an error behind a copy that breaks off inside %s is not passed on as a success', async (_name, copy) => {
  platform = await startPlatform({ appWorkers: 1 })
  const [worker] = platform.app as [FakeWorker]
  worker.onRequest = request => { request.socket.write(worker.responseTo(request, 'own')) }
  expect((await ask('r0', '/votes/1')).status).toBe(200)
  worker.onRequest = request => {
    request.socket.write(copy + worker.responseTo(request, 'error', { status: 500 }))
  }
  expect((await ask('r1', '/votes/1')).status).not.toBe(200)
})

// Guards against fields about HTTP that are taken for a cut copy.
test.each(['HTTP/1.1 127.0.0.1', 'HTTP/1.1 proxy (HTTP/1.1)'])('a response with a field %j is passed on', async value => {
  platform = await startPlatform({ appWorkers: 1 })
  const [worker] = platform.app as [FakeWorker]
  worker.onRequest = request => { request.socket.write(worker.responseTo(request, 'own', { headers: { via: value } })) }
  expect((await ask('r1', '/votes/1')).status).toBe(200)
})
