/**
 * Guards against the handle of a computed prompt that is used, or freed, at the next process of its worker: that may have
 * given the same handle to the prompt of another request, and workers do not check whose handle it is.
 */
import { afterEach, expect, test } from '@jest/globals'
import type { FakeWorker } from './testing/FakeWorker.js'
import { type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil } from './testing/platformTestSupport.js'

let platform: PlatformTest | undefined

afterEach(async () => {
  await platform?.stop()
  platform = undefined
})

const prompt = { 'dogwooddale-model': 'm', 'dogwooddale-token-counts': '30,5', 'dogwooddale-prompt-prefix': 'aa:20,bb:10' }

/** Starts a decode worker and a prefill worker that starts anew before its response with a handle arrives. */
async function startRestarting (): Promise<[FakeWorker, FakeWorker]> {
  platform = await startPlatform({ modelWorkers: 2 })
  const { host, store } = platform
  const [prefill, decode] = platform.models as [FakeWorker, FakeWorker]
  const write = (worker: FakeWorker, stage: string, born: number): void => {
    store.write('keyed.servers', worker.id, worker.createEntry('llm', { sequence: born, stage, born }))
  }
  write(prefill, 'prefill', 2)
  write(decode, 'decode', 2)
  const roleOf = (worker: FakeWorker): string | undefined => host.workers().find(({ id }) => id === worker.id)?.role
  await waitUntil(() => roleOf(prefill) === 'prefill' && roleOf(decode) === 'decode')
  prefill.onRequest = async request => {
    if (request.method === 'DELETE') return request.socket.write(prefill.responseTo(request, ''))
    // The next process has another role, by which the test knows that the host has read of it.
    write(prefill, 'decode', 3)
    await waitUntil(() => roleOf(prefill) === 'decode')
    request.socket.write(prefill.responseTo(request, '{"kv-handle":"h1","tokens":30}'))
  }
  return [prefill, decode]
}

test('a handle is not used after its worker has started anew', async () => {
  const [prefill, decode] = await startRestarting()
  const sources: Array<string | undefined> = []
  const answer: FakeWorker['onRequest'] = request => {
    sources.push(request.headers['dogwooddale-kv-from'])
    request.socket.write(decode.responseTo(request, 'id: 1\ndata: piece\n\n', { headers: { 'content-type': 'text/event-stream' } }))
  }
  decode.onRequest = answer
  const compute = prefill.onRequest
  prefill.onRequest = request => { (request.headers['dogwooddale-stage'] === 'prefill' ? compute : answer)(request) }
  const caller = await RawCaller.connect(platform!.host.addresses.callers)
  caller.send('POST', '/tags/1', requestHeaders('r1', prompt), 'text')
  expect((await caller.readResponse()).status).toBe(200)
  expect(sources).toEqual([undefined])
})

test('a handle is not freed after its worker has started anew', async () => {
  const [prefill, decode] = await startRestarting()
  const compute = prefill.onRequest
  prefill.onRequest = async request => {
    if (request.headers['dogwooddale-stage'] !== 'prefill') {
      return request.socket.write(prefill.responseTo(request, '', { status: 503, headers: { 'dogwooddale-not-run': '1' } }))
    }
    const { host, store } = platform!
    store.write('keyed.servers', decode.id, decode.createEntry('llm', { sequence: 3, stage: 'decode', born: 2, state: 'draining' }))
    await waitUntil(() => host.workers().find(({ id }) => id === decode.id)?.available !== true)
    compute(request)
  }
  const caller = await RawCaller.connect(platform!.host.addresses.callers)
  caller.send('POST', '/tags/1', requestHeaders('r1', prompt), 'text')
  expect((await caller.readResponse()).status).toBe(503)
  await new Promise(resolve => setTimeout(resolve, 200))
  expect(prefill.requests.map(({ method }) => method)).not.toContain('DELETE')
})
