/**
 * Guards against a host that sends without permits while the host that grants them does not answer, and against one that
 * sends a request to a worker which left while the request waited for its permit.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { failure, type Failure, ManualClock, type Pool, type WorkerId } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import type { Upstream } from '../upstreams/index.js'
import type { PermitDecision } from './PermitQueue.js'
import { PermitClient, RequestPermits } from './RequestPermits.js'

const never = new AbortController().signal
const silent = Result.err<PermitDecision, Failure>(failure('not_ready', 'no host grants permits'))

class FakeClient extends PermitClient {
  sharingHosts: number | undefined
  answer: () => Result<PermitDecision, Failure> = () => silent

  async request (): Promise<Result<PermitDecision, Failure>> {
    return this.answer()
  }
}

let clock: ManualClock
let client: FakeClient
let permits: RequestPermits
let candidates: Upstream[]

beforeEach(() => {
  clock = new ManualClock()
  client = new FakeClient()
  permits = new RequestPermits({ client, clock, events: discardingEventLog(clock) })
  candidates = [upstream('w0', 8), upstream('w1', 8)]
})

function upstream (id: string, perSecond: number | undefined): Upstream {
  return { id: id as WorkerId, limit: { perSecond } } as Upstream
}

/** The worker to which a request is sent; undefined if it is refused. */
async function choose (): Promise<string | undefined> {
  const now = clock.monotonic()
  const use = { requestId: 'r', pool: 'p' as Pool, urgency: 0, dueAt: now + 100, lostAt: now + 1000 }
  const chosen = await permits.choose({ ...use, candidates: () => candidates, choose: ([first]) => first }, candidates[0]!, never)
  return chosen.unwrapOr(undefined)?.id
}

describe('while no host grants permits', () => {
  test.each([
    ['4 hosts share the limits', 4, 2 * 8 / 4],
    ['their number is unknown', undefined, 2 / 16]
  ])('a host sends no more than its share if %s', async (_name, sharingHosts, perSecond) => {
    client.sharingHosts = sharingHosts
    let sent = 0
    for (let time = 0; time < 60_000; time += 20) {
      if (await choose() !== undefined) sent += 1
      await clock.advance(20)
    }
    expect(sent).toBeLessThanOrEqual(perSecond * 60)
    expect(sent).toBeGreaterThanOrEqual(perSecond * 60 - 3)
  })
})

// Guards against a limit that no request can find ended, and against `retry-after: Infinity`.
describe('while no host grants permits, a worker that states no requests at all', () => {
  test.each([
    ['1 host shares', 1, 4000],
    ['4 hosts share', 4, 16_000],
    ['an unknown number of hosts share', undefined, 16_000]
  ])('is sent one request at times if %s the limit', async (_name, sharingHosts, interval) => {
    client.sharingHosts = sharingHosts
    candidates = [upstream('w0', 0)]
    const sent: number[] = []
    for (let time = 0; time < 5.5 * interval; time += 100) {
      if (await choose() !== undefined) sent.push(time)
      await clock.advance(100)
    }
    expect(sent).toHaveLength(5)
    for (const [index, time] of sent.entries()) {
      expect(time).toBeGreaterThanOrEqual((index + 1) * interval)
      expect(time).toBeLessThan((index + 1) * interval + 1000)
    }
  })

  test('refuses with the time until then', async () => {
    client.sharingHosts = 4
    candidates = [upstream('w0', 0)]
    const use = { requestId: 'r', pool: 'p' as Pool, urgency: 0, dueAt: 100, lostAt: 1000, candidates: () => candidates }
    const chosen = await permits.choose({ ...use, choose: ([first]) => first }, candidates[0]!, never)
    expect(chosen.isErr && chosen.error.detail).toEqual({ retryAfterMilliseconds: 16_000 })
  })
})

describe('a request', () => {
  test('to a worker without a limit needs no permit', async () => {
    candidates = [upstream('w0', undefined)]
    expect(await choose()).toBe('w0')
  })

  test('goes to a worker without a limit if no permit is available', async () => {
    client.answer = () => Result.ok({ kind: 'refused', retryAfterMilliseconds: 500 })
    candidates.push(upstream('w2', undefined))
    expect(await choose()).toBe('w2')
  })

  test('whose worker left while it waited for its permit goes to another', async () => {
    let asked = 0
    client.answer = () => {
      asked += 1
      if (asked === 1) candidates = [upstream('w1', 8)]
      return Result.ok({ kind: 'granted', worker: (asked === 1 ? 'w0' : 'w1') as WorkerId })
    }
    expect(await choose()).toBe('w1')
  })
})
