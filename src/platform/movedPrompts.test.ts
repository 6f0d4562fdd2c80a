/**
 * Guards against a prompt that waits until its deadline at a worker which has gone without closing its connections, while
 * another worker could compute it; and against moves beyond the retry budget.
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

/** Starts two prefill workers, of which the first that is sent a prompt never answers, and a decode worker. */
async function startWithSilent (retrySlack?: number): Promise<{ silent: () => FakeWorker | undefined, computed: string[] }> {
  platform = await startPlatform({ modelWorkers: 3, retrySlack })
  const { host, store, models: [first, second, decode] } = platform
  const roles: Array<[FakeWorker, string]> = [[first!, 'prefill'], [second!, 'prefill'], [decode!, 'decode']]
  for (const [worker, stage] of roles) store.write('keyed.servers', worker.id, worker.createEntry('llm', { sequence: 2, stage }))
  await waitUntil(() => roles.every(([{ id }, stage]) => host.workers().find(worker => worker.id === id)?.role === stage))
  let silent: FakeWorker | undefined
  const computed: string[] = []
  for (const worker of [first!, second!]) {
    worker.onRequest = request => {
      silent ??= worker
      if (worker === silent) return
      computed.push(worker.id)
      request.socket.write(worker.responseTo(request, '{"kv-handle":"h1","tokens":30}'))
    }
  }
  return { silent: () => silent, computed }
}

test.each([
  ['is computed by another worker', undefined, 1],
  ['is left to the worker of the answer if no retry is left', 0, 0]
])('a prompt at a worker that has disappeared %s', async (_name, retrySlack, computations) => {
  const { silent, computed } = await startWithSilent(retrySlack)
  const caller = await RawCaller.connect(platform!.host.addresses.callers)
  caller.send('POST', '/tags/1', requestHeaders('r1', prompt), 'text')
  await waitUntil(() => silent() !== undefined)
  platform!.store.write('keyed.servers', silent()!.id, undefined)
  expect((await caller.readResponse()).status).toBe(200)
  expect(computed).toHaveLength(computations)
})

// Guards against a request that is sent to more workers than the operators allow.
test('a prompt whose worker has failed is not computed again if the request may be sent to one worker only', async () => {
  const { silent, computed } = await startWithSilent()
  const caller = await RawCaller.connect(platform!.host.addresses.callers)
  caller.send('POST', '/tags/1', requestHeaders('r1', prompt), 'text')
  await waitUntil(() => silent() !== undefined)
  for (const request of silent()!.requests) request.socket.destroy()
  expect((await caller.readResponse()).status).toBe(200)
  expect(computed).toEqual([])
})
