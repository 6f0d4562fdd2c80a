/**
 * Guards against orders without authority, orders that a restarted worker could accept, and orders that are sent twice
 * because their response was lost.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { EndlessSender, maxAcceptedBytes } from '../clients/testing/EndlessSender.js'
import { type Failure, type FencingNumber, type HostId, ManualClock, type WorkerId } from '../common/index.js'
import type { EngineRole } from '../configuration/index.js'
import { DutyGroup, GroupLease, type GroupMembership } from '../leases/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'
import { FakeWorker, type ReceivedRequest } from './testing/FakeWorker.js'
import { waitUntil } from './testing/platformTestSupport.js'
import { WorkerOrders } from './WorkerOrders.js'

/** Duty group whose only member holds the duty; `confirms` is the result of each confirmation. */
class ConfirmingGroup extends DutyGroup {
  confirms = true

  async join (): Promise<Result<GroupMembership, Failure>> {
    return Result.ok({ fencingNumber: 7 as FencingNumber, holdsDuty: true })
  }

  async confirm (): Promise<Result<boolean, Failure>> { return Result.ok(this.confirms) }
  isOutdated (): boolean { return false }
  describe (): Record<string, number> { return {} }
  async leave (): Promise<void> {}
}

let clock: ManualClock
let group: ConfirmingGroup
let lease: GroupLease
let worker: FakeWorker
let upstream: { id: WorkerId, origin: string, role: EngineRole, removed: boolean }
let orders: WorkerOrders
let busy: boolean
let onOrder: (request: ReceivedRequest) => void

beforeEach(async () => {
  clock = new ManualClock()
  group = new ConfirmingGroup()
  const events = new EventLog({ timeline: new Timeline('host-1', new HybridClock(clock)), level: 'error', write: () => {} })
  lease = new GroupLease({
    group, clock, events, durationMilliseconds: 3000, renewMilliseconds: 1000, handoverMilliseconds: 0
  })
  lease.start()
  await clock.advance(0)
  worker = await FakeWorker.start('llm-1')
  busy = false
  onOrder = request => { request.socket.write(worker.responseTo(request, '{}', { status: 202 })) }
  worker.onRequest = request => {
    if (request.path === '/v1/order') onOrder(request)
    else request.socket.write(worker.responseTo(request, JSON.stringify({ sequence: 4, busy })))
  }
  upstream = { id: 'llm-1' as WorkerId, origin: `http://${worker.address}`, role: 'decode', removed: false }
  const upstreams = { worker: () => upstream as Upstream } as unknown as UpstreamManager
  orders = new WorkerOrders({ lease, upstreams, hostId: 'host-1' as HostId, clock, events })
})

afterEach(async () => {
  await lease.stop()
  await worker.stop()
})

function sentOrders (): ReceivedRequest[] {
  return worker.requests.filter(({ path }) => path === '/v1/order')
}

async function changeRole (): Promise<Result<{ result: string }, Failure>> {
  return await orders.changeRole('llm-1' as WorkerId, 'prefill')
}

test('an order carries the id of the worker, the number of orders that the worker has accepted, and the fencing number', async () => {
  upstream.role = 'decode'
  onOrder = request => {
    upstream.role = 'prefill'
    request.socket.write(worker.responseTo(request, '{}', { status: 202 }))
  }
  expect((await changeRole()).isOk).toBe(true)
  expect(sentOrders()).toHaveLength(1)
  expect(sentOrders()[0]!.headers['dogwooddale-expect-instance']).toBe('llm-1')
  expect(JSON.parse(sentOrders()[0]!.body)).toEqual({
    operation: 'stage', stage: 'prefill', holder: 'host-1', 'fencing-token': 7, expect: 4
  })
})

describe('no order is sent', () => {
  test.each([
    ['when the store does not confirm the duty', () => { group.confirms = false }, 'lost_authority'],
    ['while the worker carries out another order', () => { busy = true }, 'conflict'],
    ['after the host lost the duty', () => { lease.handleRefusal(lease.authority()!) }, 'lost_authority']
  ])('%s', async (_name, arrange, kind) => {
    arrange()
    const changed = await changeRole()
    expect(changed.isErr && changed.error.kind).toBe(kind)
    expect(sentOrders()).toHaveLength(0)
  })
})

test('status 412 from a worker, which has accepted a greater fencing number, ends the authority of the host', async () => {
  onOrder = request => { request.socket.write(worker.responseTo(request, '{}', { status: 412 })) }
  expect((await changeRole()).isErr).toBe(true)
  expect(lease.authority()).toBeUndefined()
})

// Guards against a host that keeps its authority, or takes a refused order for an accepted one.
test('a late copy of the report that arrives in place of the response to an order is not taken for it', async () => {
  const copies = new Map<unknown, string>()
  worker.onRequest = request => {
    const report = worker.responseTo(request, JSON.stringify({ sequence: 4, busy }))
    if (request.path === '/v1/order') request.socket.write(copies.get(request.socket) ?? worker.responseTo(request, '{}', { status: 412 }))
    else request.socket.write(report)
    copies.set(request.socket, report)
  }
  const settled = changeRole().then(result => result.isErr && result.error.kind)
  while (await Promise.race([settled, Promise.resolve('pending')]) === 'pending') await clock.advance(250)
  expect(await settled).toBe('conflict')
  expect(lease.authority()).toBeUndefined()
})

test('an order without a response is not sent again and succeeds once the worker has the new role', async () => {
  onOrder = request => { request.socket.destroy() }
  const changing = changeRole()
  await waitUntil(() => sentOrders().length === 1)
  await clock.advance(1000)
  upstream.role = 'prefill'
  const settled = changing.then(result => result.isOk)
  while (await Promise.race([settled, Promise.resolve('pending')]) === 'pending') await clock.advance(250)
  expect(await settled).toBe(true)
  expect(sentOrders()).toHaveLength(1)
})

// Guards against a host that reads what such a worker sends for as long as it sends.
test.each([
  ['report', 'not_run', 0],
  ['response to an order', 'outcome_unknown', 1]
] as Array<[string, string, number]>)('a worker whose %s has no end is disconnected, and the order is not sent again', async (_name, kind, orderCount) => {
  const senders: EndlessSender[] = []
  const head = 'HTTP/1.1 200 OK\r\n\r\n'
  const { onRequest } = worker
  onOrder = request => { senders.push(new EndlessSender(request.socket, head, ' ')) }
  worker.onRequest = request => (orderCount === 0 ? onOrder : onRequest)(request)
  const changing = changeRole()
  await waitUntil(() => senders.length > 0)
  await senders[0]!.closed
  expect(senders[0]!.sentBytes).toBeLessThan(maxAcceptedBytes)
  const settled = changing.then(result => result.isErr && result.error.kind)
  while (await Promise.race([settled, Promise.resolve('pending')]) === 'pending') await clock.advance(250)
  expect(await settled).toBe(kind)
  expect(sentOrders()).toHaveLength(orderCount)
})
