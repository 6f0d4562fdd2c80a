/**
 * Guards against use that is counted twice for a call that was sent again, for a call that no worker ran, and in the window
 * in which the answer arrived instead of the one in which the worker began.
 */
import type { ServerResponse } from 'node:http'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { ManualClock } from '../common/index.js'
import { FakeService } from '../entry/testing/FakeService.js'
import { createTestHost, type TestHost } from '../entry/testing/TestHost.js'
import type { ServiceRequest } from './ServiceRequest.js'

let services: FakeService[]
let clock: ManualClock
let host: TestHost
let began: Array<[string, number]>

beforeEach(async () => {
  services = await Promise.all([FakeService.start(), FakeService.start()])
  clock = new ManualClock(0)
  began = []
  host = await createTestHost({
    clock,
    services: services.map(({ address }) => address),
    generation: { runObserver: { runBegan: ({ requestId }, at) => { began.push([requestId, at]) } } }
  })
})

afterEach(async () => {
  await host.upstreams.stop()
  await Promise.all(services.map(service => service.stop()))
})

/** Answers the attempts in their order, each 100 ms after it was sent. */
function respond (...answers: Array<(response: ServerResponse) => void>): void {
  for (const service of services) {
    service.answer = async (_run, response) => {
      await clock.advance(100)
      answers.shift()?.(response)
    }
  }
}

async function run (fields: Partial<ServiceRequest> = {}): Promise<void> {
  const result = await host.requests.serviceCall({
    requestId: 'r' as never,
    pool: 'votes' as never,
    method: 'GET',
    path: '/x',
    headers: {},
    body: undefined,
    deadline: 30_000,
    idempotent: true,
    ...fields
  }).run()
  if (result.isErr) return
  try {
    const iterator = result.value.remainingBody?.[Symbol.asyncIterator]()
    while ((await iterator?.next())?.done === false) { /* Reads to the end. */ }
  } catch { /* The stream broke off. */ }
}

const complete = (response: ServerResponse): void => { response.end('fine') }
const failed = (response: ServerResponse): void => { response.writeHead(500).end('failed') }
const reset = (response: ServerResponse): void => { response.destroy() }
const streamed = (response: ServerResponse): void => {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  response.flushHeaders()
  clock.advance(50).then(() => { response.end('id: 1\ndata: a\n\n') }, () => {})
}
const cutStream = (response: ServerResponse): void => {
  response.writeHead(200, { 'content-type': 'text/event-stream' })
  response.write('id: 1\ndata: a\n\nid: 2\nda', () => { response.destroy() })
}
const stream = { delivery: 'stream' as const }

test.each<[string, Array<(response: ServerResponse) => void>, Partial<ServiceRequest>, number[]]>([
  ['a call begins when it is sent', [complete], {}, [0]],
  ['a call whose first attempt was reset begins when the second one is sent', [reset, complete], {}, [100]],
  ['a call that runs on two workers counts once', [failed, complete], {}, [0]],
  ['a stream begins with its first event', [streamed], stream, [150]],
  ['a stream that continues on another worker counts once', [cutStream, streamed], stream, [100]],
  ['a streamed call that is answered without events begins when it is sent', [complete], stream, [0]],
  ['a call that every attempt lost does not count', [reset, reset], {}, []]
])('%s', async (_name, answers, fields, times) => {
  respond(...answers)
  await run(fields)
  expect(began).toEqual(times.map(at => ['r', at]))
})
