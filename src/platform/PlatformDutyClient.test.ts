/**
 * Guards against calls to the platform that are repeated by themselves, a refused holder that goes on, and a lack of
 * workers that ends the duty.
 */
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { type FencingNumber, type HostId, ManualClock } from '../common/index.js'
import { PlatformDutyClient } from './PlatformDutyClient.js'
import { FakeDutyApi } from './testing/FakeDutyApi.js'

const token = 7 as FencingNumber
const report = { window: 12, counts: { reef: 3 } as Record<never, number> }
const order = { pool: 'llm' as never, zone: 'a' as never, desired: 4, kind: 'spot' as const }

let api: FakeDutyApi
let clock: ManualClock
let client: PlatformDutyClient

beforeEach(async () => {
  api = await FakeDutyApi.start()
  clock = new ManualClock()
  client = new PlatformDutyClient({ address: api.address, hostId: 'host-1' as HostId, callsPerSecond: 5, clock })
})

afterEach(async () => { await api.stop() })

test('calls carry the holder, the fencing number and their content', async () => {
  expect((await client.reportUsage(report, token)).isOk).toBe(true)
  expect((await client.orderWorkers(order, token)).isOk).toBe(true)
  expect((await client.orderWorkers({ ...order, kind: 'standard' }, token)).isOk).toBe(true)
  expect(api.calls).toEqual([
    { path: 'POST /usage-reports', holder: 'host-1', token: 7, body: { 'window-id': 12, counts: { reef: 3 } } },
    { path: 'POST /replicas', holder: 'host-1', token: 7, body: { service: 'llm', zone: 'a', desired: 4, spot: true } },
    { path: 'POST /replicas', holder: 'host-1', token: 7, body: { service: 'llm', zone: 'a', desired: 4 } }
  ])
})

const unavailable = { isUnavailable: true }

test.each([
  ['reportUsage', { status: 409 }, 'lost_authority', undefined],
  ['reportUsage', { status: 429 }, 'overloaded', undefined],
  ['reportUsage', { status: 503 }, 'platform_unavailable', undefined],
  ['reportUsage', { status: 400 }, 'bad_request', undefined],
  ['reportUsage', 'lost', 'outcome_unknown', undefined],
  ['orderWorkers', { status: 409 }, 'conflict', undefined],
  ['orderWorkers', { status: 409, body: '{"error":"none available"}' }, 'conflict', unavailable],
  ['orderWorkers', { status: 409, body: '{"error":"stale fence token"}' }, 'conflict', undefined],
  ['orderWorkers', { status: 409, body: '{"fence-token":9}' }, 'lost_authority', undefined],
  ['orderWorkers', { status: 409, body: '{"fence-token":7,"error":"none available"}' }, 'conflict', unavailable]
] as Array<['reportUsage' | 'orderWorkers', FakeDutyApi['answer'], string, unknown]>)('%s answered with %j fails with %s after one call', async (call, answer, kind, detail) => {
  api.answer = answer
  const result = call === 'reportUsage' ? await client.reportUsage(report, token) : await client.orderWorkers(order, token)
  expect(result.isErr && [result.error.kind, result.error.detail]).toEqual([kind, detail])
  expect(api.calls).toHaveLength(1)
})

test('an address that nobody listens on fails with platform_unavailable', async () => {
  await api.stop()
  const result = await client.reportUsage(report, token)
  expect(result.isErr && result.error.kind).toBe('platform_unavailable')
  api = await FakeDutyApi.start()
})

// Guards against a burst after an outage, for which the platform refuses the calls of all duties.
test('calls beyond the permitted rate are refused without a call until a second has passed', async () => {
  const kinds = async (): Promise<string[]> => {
    const results = await Promise.all(Array.from({ length: 5 }, async () => await client.reportUsage(report, token)))
    return results.map(result => result.isOk ? 'ok' : result.error.kind)
  }
  expect(await kinds()).toEqual(['ok', 'ok', 'ok', 'ok', 'overloaded'])
  await clock.advance(1000)
  expect((await kinds()).slice(0, 4)).toEqual(['ok', 'ok', 'ok', 'ok'])
  expect(api.calls).toHaveLength(8)
})
