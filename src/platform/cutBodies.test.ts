/**
 * Guards against the start of an earlier response at the end of a complete body, whose rest the worker writes behind it;
 * the workers speak over real sockets.
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

// The rest of the copy is what puts the connections in doubt, and is not read from a connection that closes.
test.each([
  ['whose connection is kept', {}, false, 0, true],
  ['whose connection is kept, with the rest 10 ms later', {}, false, 10, true],
  ['whose connection is kept, with the rest in a segment that waits for an acknowledgement', {}, false, 10, false],
  ['whose connection is announced to close', { connection: 'close' }, false, 0, true],
  ['to a further call of its request', {}, true, 0, true],
  ['to a further call of its request, with the rest 10 ms later', {}, true, 10, true]
])('a body with a length %s is not complete with the start of a copy in it', async (_name, headers, isFurtherCall, delay, hasNoDelay) => {
  platform = await startPlatform({ appWorkers: 1 })
  const [worker] = platform.app as [FakeWorker]
  let earlier = ''
  worker.onRequest = request => {
    earlier = worker.responseTo(request, 'earlier')
    request.socket.write(earlier)
  }
  expect((await ask('r0', '/votes/1')).status).toBe(200)
  worker.onRequest = request => {
    const head = worker.responseTo(request, '', { headers: { 'content-length': '17', ...headers } })
    const bytes = `own${earlier}own`
    request.socket.setNoDelay(hasNoDelay)
    request.socket.write(head + bytes.slice(0, delay === 0 ? undefined : 17))
    if (delay > 0) setTimeout(() => { request.socket.write(bytes.slice(17)) }, delay)
  }
  expect((await ask(isFurtherCall ? 'r0' : 'r1', '/votes/1')).status).not.toBe(200)
})

// Guards against texts that are taken for cut ones at a worker that closes each connection.
test('a body that ends in the name of the protocol and with its connection is passed on', async () => {
  platform = await startPlatform({ appWorkers: 1 })
  const [worker] = platform.app as [FakeWorker]
  worker.onRequest = request => {
    request.socket.end(worker.responseTo(request, 'it speaks HTTP', { headers: { connection: 'close', 'content-length': undefined } }))
  }
  expect(await ask('r1', '/votes/1')).toEqual({ status: 200, body: 'it speaks HTTP' })
})
