/**
 * Guards against non-idempotent calls that run twice or are called "not run" after they ran, and idempotent
 * calls that fail although another worker could have answered.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import type { ServerResponse } from 'node:http'
import { ManualClock } from '../common/index.js'
import { FakeService } from '../entry/testing/FakeService.js'
import { type TestHost, testHost } from '../entry/testing/TestHost.js'
import { RetryBudget } from './RetryBudget.js'
import type { ServiceRequest } from './ServiceRequest.js'

let services: FakeService[]
let host: TestHost

beforeEach(async () => {
  services = await Promise.all([FakeService.start(), FakeService.start(), FakeService.start()])
  host = await testHost({ services: services.map(({ address }) => address), generation: { maxOnceAnswerBytes: 1000 } })
})

afterEach(async () => {
  await host.upstreams.stop()
  await Promise.all(services.map(service => service.stop()))
})

/** The n-th run gets the n-th answer, on whichever worker it arrives. */
function answers (...inOrder: Array<(response: ServerResponse) => void>): void {
  const left = [...inOrder]
  for (const service of services) service.answer = (_run, response) => { (left.shift() ?? (ok => ok.end('fine')))(response) }
}

function runs (): number[] {
  return services.map(service => service.runs.length).sort()
}

function request (idempotent: boolean, timeoutMilliseconds = 30_000): ServiceRequest {
  return {
    requestId: 'r' as never,
    pool: 'votes' as never,
    method: idempotent ? 'GET' : 'POST',
    path: '/x',
    headers: {},
    body: idempotent ? undefined : Buffer.from('yes'),
    deadline: host.clock.monotonic() + timeoutMilliseconds,
    idempotent
  }
}

const failures: Array<[string, (response: ServerResponse) => void]> = [
  ['a reset before the answer', response => { response.destroy() }],
  ['a reset within the answer', response => {
    response.writeHead(200, { 'content-length': '10' })
    response.write('12345', () => response.destroy())
  }]
]

describe('idempotent calls', () => {
  test.each([
    ...failures,
    ['status 503', (response: ServerResponse) => { response.writeHead(503).end('busy') }]
  ] as typeof failures)('after %s the call goes to another worker', async (_name, fail) => {
    answers(fail, fail)
    const answer = await host.requests.serviceCall(request(true)).run()
    expect(answer.isOk && Buffer.from(answer.value.body).toString()).toBe('fine')
    expect(runs()).toEqual([1, 1, 1])
  })

  test('no worker is tried twice', async () => {
    answers(...Array(9).fill(failures[0]![1]) as Array<(response: ServerResponse) => void>)
    const answer = await host.requests.serviceCall(request(true)).run()
    expect(answer.isErr && answer.error.kind).toBe('upstream_failed')
    expect(runs()).toEqual([1, 1, 1])
  })

  test('retries stay within the budget', async () => {
    const budget = new RetryBudget(new ManualClock(), { ratio: 0, slack: 1 })
    host = await testHost({ services: services.map(({ address }) => address), generation: { budget } })
    answers(...Array(9).fill(failures[0]![1]) as Array<(response: ServerResponse) => void>)
    await host.requests.serviceCall(request(true)).run()
    expect(runs()).toEqual([0, 1, 1])
  })

  test('after an attempt that ran, the call is not answered as not run', async () => {
    for (const service of services) {
      service.answer = async (_run, response) => {
        await Promise.all(services.filter(other => other !== service).map(other => other.stop()))
        response.destroy()
      }
    }
    const answer = await host.requests.serviceCall(request(true)).run()
    expect(answer.isErr && answer.error.kind).toBe('upstream_failed')
    expect(runs()).toEqual([0, 0, 1])
    services = services.filter(service => service.runs.length > 0)
  })

  test('the deadline ends the call', async () => {
    answers(() => {})
    const answer = host.requests.serviceCall(request(true, 500)).run()
    await Promise.race(services.map(service => service.untilRuns(1)))
    await (host.clock as ManualClock).advance(500)
    expect((await answer).isErr && (await answer as { error: { kind: string } }).error.kind).toBe('deadline_exceeded')
  })
})

describe('calls that must run once', () => {
  test.each([
    ...failures,
    ['an answer that is too large to keep', (response: ServerResponse) => { response.end('x'.repeat(2000)) }]
  ] as typeof failures)('after %s the outcome is unknown and nothing is sent again', async (_name, fail) => {
    answers(fail)
    const answer = await host.requests.serviceCall(request(false)).run()
    expect(answer.isErr && answer.error.kind).toBe('outcome_unknown')
    expect(runs()).toEqual([0, 0, 1])
  })

  test('the deadline makes the outcome unknown', async () => {
    answers(() => {})
    const answer = host.requests.serviceCall(request(false, 500)).run()
    await Promise.race(services.map(service => service.untilRuns(1)))
    await (host.clock as ManualClock).advance(500)
    expect((await answer).isErr && (await answer as { error: { kind: string } }).error.kind).toBe('outcome_unknown')
  })

  test('a refused connection sends nothing, so another worker gets the call', async () => {
    await Promise.all([services[0]!.stop(), services[1]!.stop()])
    const answer = await host.requests.serviceCall(request(false)).run()
    expect(answer.isOk).toBe(true)
    expect(runs()).toEqual([0, 0, 1])
  })

  test('without a worker that accepts connections the call did not run', async () => {
    await Promise.all(services.map(service => service.stop()))
    const answer = await host.requests.serviceCall(request(false)).run()
    expect(answer.isErr && answer.error.kind).toBe('not_run')
    services = []
  })

  test('an error status of the service is its answer', async () => {
    answers(response => { response.writeHead(503).end('closed') })
    const answer = await host.requests.serviceCall(request(false)).run()
    expect(answer.isOk && answer.value.status).toBe(503)
    expect(runs()).toEqual([0, 0, 1])
  })
})
