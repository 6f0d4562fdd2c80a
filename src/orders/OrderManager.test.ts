/**
 * Guards against conflicting orders to an engine and against orders of a host that lost its authority. They could come
 * from holders that are paused between authority check and send, lost responses, engines that crash, and combinations
 * of these.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { TokenBucket } from '../admission/index.js'
import { hasAuthority, PauseGate } from '../leases/testSupport.js'
import { advanceUntil, advanceUntilSettled, StreamFixture } from '../streams/testSupport.js'
import type { BeforeSend } from './IntentCompleter.js'
import type { EngineOrder, OrderId } from './orderRecords.js'
import { modelName, OrderFleet, type OrderHost, plannerLease } from './testSupport.js'

const worker = 'engine-1' as never
const prefill: EngineOrder = { kind: 'change_role', role: 'prefill' }
const decode: EngineOrder = { kind: 'change_role', role: 'decode' }

let fixture: StreamFixture
let fleet: OrderFleet
/** Pauses a host between the check of its authority and the sending of an order. */
let sendGate: PauseGate

beforeEach(() => {
  fixture = new StreamFixture()
  sendGate = new PauseGate()
})

afterEach(async () => {
  fixture.log.setOutage(false)
  fixture.log.delayAppends(0)
  sendGate.resume()
  for (const host of fleet.hosts) host.gate.resume()
  await advanceUntilSettled(fixture.clock, fleet.stop())
})

/** Waits at `sendGate` before each order except fence orders. */
const holdOrderSends: BeforeSend = async (_engine, { order }) => {
  if (order.kind !== 'fence') await sendGate.waitWhilePaused()
}

/** The records of the stream as `kind` or `kind:result`. */
function recordKinds (): string[] {
  return fixture.log.records('orders').map(({ value }) => {
    const record = JSON.parse(value) as { kind: string, result?: string }
    return record.result === undefined ? record.kind : `${record.kind}:${record.result}`
  })
}

async function waitUntilHolder (host: OrderHost): Promise<OrderHost> {
  await advanceUntil(fixture.clock, () => hasAuthority(host, plannerLease))
  return host
}

async function execute (host: OrderHost, order: EngineOrder) {
  return await advanceUntilSettled(fixture.clock, host.orders.execute(worker, order))
}

describe.each([true, false])('an engine with checksFencing=%s', checksFencing => {
  beforeEach(() => { fleet = new OrderFleet(fixture, [checksFencing]) })

  test('receives an order only after the intent was accepted, and the outcome of the order is recorded', async () => {
    const host = await waitUntilHolder(fleet.startHost())
    const executed = await execute(host, prefill)
    expect(executed.isOk && executed.value.result).toBe('done')
    expect([fleet.engine.role, fleet.engine.unexpectedOrderIds]).toEqual(['prefill', []])
    expect(recordKinds()).toEqual(['takeover', 'intent', 'outcome:done'])
  })

  test('is sent no order by a host that does not hold the lease', async () => {
    const holder = await waitUntilHolder(fleet.startHost())
    const other = fleet.startHost()
    await advanceUntil(fixture.clock, () => other.group.isReady)
    const executed = await execute(other, prefill)
    expect(executed.isErr && executed.error.kind).toBe('lost_authority')
    expect([fleet.engine.acceptedOrderIds, hasAuthority(holder, plannerLease)]).toEqual([[], true])
  })

  test('carries out an order only once when the response is lost', async () => {
    const host = await waitUntilHolder(fleet.startHost())
    fleet.engine.responsesToLose = 1
    const executed = await execute(host, prefill)
    expect(executed.isOk && executed.value.result).toBe('done')
    expect(fleet.engine.acceptedOrderIds).toHaveLength(1)
  })

  test('is sent a new order for the same target if it crashes while carrying out the first one', async () => {
    const host = await waitUntilHolder(fleet.startHost())
    const executed = host.orders.execute(worker, prefill)
    await advanceUntil(fixture.clock, () => fleet.engine.state().runningOrderId !== null)
    fleet.engine.crash()
    const end = await advanceUntilSettled(fixture.clock, executed)
    expect([end.isOk && end.value.result, fleet.engine.role]).toEqual(['done', 'prefill'])
    expect(recordKinds()).toEqual(['takeover', 'intent', 'outcome:abandoned', 'intent', 'outcome:done'])
    expect(fleet.engine.unexpectedOrderIds).toEqual([])
  })

  test('is reported with its state if it ends an order without reaching the target', async () => {
    const host = await waitUntilHolder(fleet.startHost())
    fleet.engine.ordersToFail = 1
    const executed = await execute(host, prefill)
    expect(executed.isOk && [executed.value.result, executed.value.detail.state?.role]).toEqual(['failed', 'mixed'])
    expect(host.orders.openIntents()).toEqual([])
    expect(host.orders.engineReports()[0]?.last?.result).toBe('failed')
  })

  test('has no open intent if it becomes unreachable before the order is sent', async () => {
    const host = await waitUntilHolder(fleet.startHost())
    const submit = host.group.submit.bind(host.group)
    host.group.submit = async (stream, record) => {
      const submitted = await submit(stream, record)
      if (record.kind === 'intent') fleet.engine.isReachable = false
      return submitted
    }
    const executed = await execute(host, prefill)
    expect(executed.isOk && executed.value.result).toBe('not_sent')
    expect(host.orders.openIntents()).toEqual([])
  })

  test('has an open intent until the outcome is known, if it may have received the order', async () => {
    const host = await waitUntilHolder(fleet.startHost())
    fleet.engine.responsesToLose = checksFencing ? 2 : 1
    const executed = host.orders.execute(worker, prefill)
    await advanceUntil(fixture.clock, () => fleet.engine.acceptedOrderIds.length === 1)
    fleet.engine.isReachable = false
    const end = await advanceUntilSettled(fixture.clock, executed)
    expect([end.isErr && end.error.kind, host.orders.openIntents().length]).toEqual(['outcome_unknown', 1])
    fleet.engine.isReachable = true
    await advanceUntil(fixture.clock, () => host.orders.openIntents().length === 0)
    expect([recordKinds().at(-1), fleet.engine.acceptedOrderIds.length]).toEqual(['outcome:done', 1])
  })

  test('is sent no order by a host that lost its authority while reading the engine\'s state', async () => {
    const holder = await waitUntilHolder(fleet.startHost())
    const successor = fleet.startHost()
    const state = fleet.engine.state.bind(fleet.engine)
    fleet.engine.state = () => {
      // Pauses the holder at the first read after its intent; the state says that the engine received no order.
      if (holder.orders.openIntents().length === 1) holder.gate.pause()
      return state()
    }
    const executed = holder.orders.execute(worker, prefill)
    await waitUntilHolder(successor)
    await advanceUntil(fixture.clock, () => recordKinds().includes('outcome:done'))
    const receivedBefore = fleet.engine.received.length
    // The outage keeps the former holder from reading new records before it continues.
    fixture.log.setOutage(true)
    holder.gate.resume()
    const end = await advanceUntilSettled(fixture.clock, executed)
    expect([end.isErr && end.error.kind, fleet.engine.received.length]).toEqual(['lost_authority', receivedBefore])
  })

  test('is sent no second order after a log outage that begins during the first order, and the outcome is recorded', async () => {
    const host = await waitUntilHolder(fleet.startHost())
    const executed = host.orders.execute(worker, prefill)
    await advanceUntil(fixture.clock, () => fleet.engine.state().runningOrderId !== null)
    fixture.log.setOutage(true)
    const end = await advanceUntilSettled(fixture.clock, executed)
    expect(end.isErr).toBe(true)
    expect(host.orders.openIntents()).toHaveLength(1)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => host.orders.openIntents().length === 0)
    expect([recordKinds().at(-1), fleet.engine.acceptedOrderIds.length]).toEqual(['outcome:done', 1])
  })

  test('has the open order of a stopped holder ended by the successor, even if the engine crashed as well', async () => {
    const formerHolder = await waitUntilHolder(fleet.startHost({ beforeSend: holdOrderSends }))
    const successor = fleet.startHost()
    sendGate.pause()
    formerHolder.orders.execute(worker, prefill).catch(() => {})
    await advanceUntil(fixture.clock, () => formerHolder.orders.openIntents().length === 1)
    formerHolder.gate.pause()
    fleet.engine.crash()
    await waitUntilHolder(successor)
    await advanceUntil(fixture.clock, () => successor.group.isReady && successor.orders.openIntents().length === 0)
    expect(recordKinds().at(-1)).toBe(checksFencing ? 'outcome:abandoned' : 'outcome:done')
    expect([fleet.engine.role, fleet.engine.unexpectedOrderIds]).toEqual([checksFencing ? 'mixed' : 'prefill', []])
  })
})

/**
 * Starts a holder that is paused between the authority check and the send of its first order, and a successor that
 * holds the lease and has completed that order.
 */
async function startPausedHolder (checksFencing: boolean) {
  fleet = new OrderFleet(fixture, [checksFencing])
  const holder = await waitUntilHolder(fleet.startHost({ beforeSend: holdOrderSends }))
  const successor = fleet.startHost()
  sendGate.pause()
  const firstExecution = holder.orders.execute(worker, prefill)
  await advanceUntil(fixture.clock, () => holder.orders.openIntents().length === 1)
  holder.gate.pause()
  await waitUntilHolder(successor)
  await advanceUntil(fixture.clock, () => successor.orders.openIntents().length === 0 && recordKinds().includes('outcome:done'))
  const resume = (): void => {
    holder.gate.resume()
    sendGate.resume()
  }
  return { holder, successor, firstExecution, resume }
}

describe('a holder that is paused between authority check and send', () => {
  test('fails with lost_authority at an engine that checks fencing numbers after the successor completed orders', async () => {
    const { successor, firstExecution, resume } = await startPausedHolder(true)
    expect(fleet.engine.role).toBe('prefill')
    const second = await execute(successor, decode)
    expect(second.isOk && second.value.result).toBe('done')
    resume()
    const late = await advanceUntilSettled(fixture.clock, firstExecution)
    expect(late.isErr && late.error.kind).toBe('lost_authority')
    expect(fleet.engine.received.at(-1)?.outcome).toBe('fenced')
    expect([fleet.engine.role, fleet.engine.unexpectedOrderIds, fleet.engine.acceptedOrderIds.length]).toEqual(['decode', [], 2])
  })

  test('blocks other orders to an engine that ignores fencing numbers until its late send, which changes nothing', async () => {
    const { holder, successor, firstExecution, resume } = await startPausedHolder(false)
    expect(fleet.engine.role).toBe('prefill')
    const blocked = await execute(successor, decode)
    expect(blocked.isErr && blocked.error.kind).toBe('not_ready')
    expect(successor.orders.engineReports()[0]?.formerSenders).toMatchObject([{ holder: holder.holder }])
    // The process runs again, but its order is still in flight.
    holder.gate.resume()
    const stillBlocked = await execute(successor, decode)
    expect(stillBlocked.isErr && stillBlocked.error.kind).toBe('not_ready')
    resume()
    await advanceUntilSettled(fixture.clock, firstExecution)
    expect(fleet.engine.received.at(-1)?.outcome).toBe('repeated')
    const second = await execute(successor, decode)
    expect(second.isOk && second.value.result).toBe('done')
    expect([fleet.engine.role, fleet.engine.unexpectedOrderIds, fleet.engine.acceptedOrderIds.length]).toEqual(['decode', [], 2])
  })

  test.each(['new_incarnation', 'left_list'] as const)('no longer blocks orders to an engine that ignores fencing numbers after evidence of kind %s', async evidence => {
    const { holder, successor } = await startPausedHolder(false)
    fleet.statedEvidence.set(holder.holder.hostId, evidence)
    const second = await execute(successor, decode)
    expect(second.isOk && second.value.result).toBe('done')
  })

  test('no longer blocks orders after an operator confirmed that it can no longer send', async () => {
    const { holder, successor } = await startPausedHolder(false)
    const orderId = successor.orders.engineReports()[0]?.formerSenders[0]?.orderId as OrderId
    const wrong = await advanceUntilSettled(fixture.clock, successor.orders.confirm('other' as OrderId, 'op'))
    expect(wrong.isErr && wrong.error.kind).toBe('conflict')
    const confirmed = await advanceUntilSettled(fixture.clock, successor.orders.confirm(orderId, 'op'))
    expect(confirmed.isOk).toBe(true)
    const second = await execute(successor, decode)
    expect([second.isOk && second.value.result, holder.gate.isPaused]).toEqual(['done', true])
  })
})

test('an order whose response was lost counts as in flight until the engine reports the order as received', async () => {
  fleet = new OrderFleet(fixture, [false])
  const host = await waitUntilHolder(fleet.startHost())
  const { fencingNumber } = host.leases.authority(plannerLease) ?? {}
  fleet.engine.responsesToLose = 1
  const executed = host.orders.execute(worker, prefill)
  await advanceUntil(fixture.clock, () => fleet.engine.acceptedOrderIds.length === 1)
  fleet.engine.isReachable = false
  await fixture.clock.advance(2000)
  const before = await host.orders.leaseStatus(plannerLease, fencingNumber as never, worker)
  expect(before).toEqual({ knowsLeaseIsOver: false, orderInFlight: true })
  fleet.engine.isReachable = true
  const after = await host.orders.leaseStatus(plannerLease, fencingNumber as never, worker)
  expect(after.orderInFlight).toBe(false)
  await advanceUntilSettled(fixture.clock, executed)
})

test('a new holder fences every engine that checks fencing numbers, even without an open order', async () => {
  fleet = new OrderFleet(fixture, [true, false])
  const host = await waitUntilHolder(fleet.startHost())
  await advanceUntil(fixture.clock, () => fleet.engine.received.length > 0)
  expect(fleet.engine.state().greatestFencingNumber).toBe(host.leases.authority(plannerLease)?.fencingNumber)
  expect(fleet.engines[1]?.received).toEqual([])
})

test('loads of weights are rate-limited, and other orders are not delayed', async () => {
  fleet = new OrderFleet(fixture, [true, true, true, true])
  const host = await waitUntilHolder(fleet.startHost({ weightLoads: new TokenBucket(0.1, 1, fixture.clock.monotonic()) }))
  const load: EngineOrder = { kind: 'load_model', model: modelName, version: '1' }
  const workers = fleet.engines.map(engine => engine.target.worker)
  const loads = workers.slice(0, 3).map(loader => host.orders.execute(loader, load))
  const role = host.orders.execute(workers[3] as never, prefill)
  const startedAt = fixture.clock.monotonic()
  await advanceUntilSettled(fixture.clock, role)
  expect(fixture.clock.monotonic() - startedAt).toBeLessThan(5000)
  await advanceUntilSettled(fixture.clock, Promise.all(loads))
  expect(fixture.clock.monotonic() - startedAt).toBeGreaterThanOrEqual(20_000)
})

describe('changeRole', () => {
  beforeEach(() => { fleet = new OrderFleet(fixture, [true]) })

  test('drains the engine, sends the order and lets the engine accept work again', async () => {
    const host = await waitUntilHolder(fleet.startHost())
    const changed = host.orders.changeRole(worker, 'prefill', { drainLimitMilliseconds: 5000 })
    const end = await advanceUntilSettled(fixture.clock, changed)
    expect([end.isOk, fleet.engine.role]).toEqual([true, 'prefill'])
    expect(host.drain.calls).toEqual(['stop engine-1', 'waited engine-1', 'accept engine-1'])
  })

  test.each([['give_up', 'mixed'], ['send', 'prefill']] as const)('with atLimit=%s the role is %s if streams still run at the drain limit', async (atLimit, role) => {
    const host = await waitUntilHolder(fleet.startHost())
    host.drain.isIdle = false
    const changed = host.orders.changeRole(worker, 'prefill', { drainLimitMilliseconds: 5000, atLimit })
    const end = await advanceUntilSettled(fixture.clock, changed)
    expect([end.isErr && end.error.kind, fleet.engine.role]).toEqual([atLimit === 'send' ? false : 'deadline_exceeded', role])
    expect(host.drain.calls.at(-1)).toBe('accept engine-1')
  })

  test('fails with lost_authority and does not drain on a host without the lease', async () => {
    await waitUntilHolder(fleet.startHost())
    const other = fleet.startHost()
    const end = await other.orders.changeRole(worker, 'prefill', { drainLimitMilliseconds: 5000 })
    expect([end.isErr && end.error.kind, other.drain.calls]).toEqual(['lost_authority', []])
  })
})

type Action =
  | { kind: 'execute', host: number, engine: number, role: 'prefill' | 'decode' | 'mixed' }
  | { kind: 'pause' | 'pause_before_send' | 'resume', host: number }
  | { kind: 'crash' | 'lose_answer' | 'fail_order' | 'unreachable' | 'reachable', engine: number }
  | { kind: 'outage' | 'recover' | 'lose_append_answer' }
  | { kind: 'advance', milliseconds: number }

const hostIndex = fc.nat(1)
const engineIndex = fc.nat(1)
const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('execute' as const), host: hostIndex, engine: engineIndex, role: fc.constantFrom('prefill', 'decode', 'mixed') }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('pause' as const, 'pause_before_send' as const, 'resume' as const), host: hostIndex }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('crash' as const, 'lose_answer' as const, 'fail_order' as const, 'unreachable' as const, 'reachable' as const), engine: engineIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('outage' as const, 'recover' as const, 'lose_append_answer' as const) }) },
  { weight: 7, arbitrary: fc.record({ kind: fc.constant('advance' as const), milliseconds: fc.integer({ min: 10, max: 9000 }) }) }
)

/** Indexes of the hosts that pause between authority check and send of their next order. */
const pauseBeforeSend = new Set<number>()

function startPausableHost (index: number): void {
  fleet.startHost({
    beforeSend: async (_engine, { order }) => {
      if (order.kind !== 'fence' && pauseBeforeSend.delete(index)) fleet.hosts[index]?.gate.pause()
    }
  })
}

async function perform (step: Action): Promise<void> {
  if (step.kind === 'advance') return await fixture.clock.advance(step.milliseconds)
  const host = 'host' in step ? fleet.hosts[step.host] : undefined
  const engine = 'engine' in step ? fleet.engines[step.engine] : undefined
  if (step.kind === 'execute') host?.orders.execute(engine?.target.worker as never, { kind: 'change_role', role: step.role }).catch(() => {})
  if (step.kind === 'pause') host?.gate.pause()
  if (step.kind === 'pause_before_send') pauseBeforeSend.add(step.host)
  if (step.kind === 'resume') host?.gate.resume()
  if (step.kind === 'crash') engine?.crash()
  if (engine !== undefined && step.kind === 'lose_answer') engine.responsesToLose = 1
  if (engine !== undefined && step.kind === 'fail_order') engine.ordersToFail = 1
  if (engine !== undefined && (step.kind === 'unreachable' || step.kind === 'reachable')) engine.isReachable = step.kind === 'reachable'
  if (step.kind === 'outage' || step.kind === 'recover') fixture.log.setOutage(step.kind === 'outage')
  if (step.kind === 'lose_append_answer') fixture.log.loseAppendResponses(1)
}

/** Each engine is sent an order by a holder that pauses before the send, and then an order by the holder's successor. */
const pausedHolderActions: Action[] = [
  { kind: 'advance', milliseconds: 1000 },
  ...[0, 1].map((host): Action => ({ kind: 'pause_before_send', host })),
  ...[0, 1].flatMap(host => [0, 1].map((engine): Action => ({ kind: 'execute', host, engine, role: 'prefill' }))),
  { kind: 'advance', milliseconds: 9000 },
  ...[0, 1].flatMap(host => [0, 1].map((engine): Action => ({ kind: 'execute', host, engine, role: 'decode' }))),
  { kind: 'advance', milliseconds: 3000 },
  ...[0, 1].map((host): Action => ({ kind: 'resume', host })),
  { kind: 'advance', milliseconds: 3000 }
]

/** Random actions: in half of the cases on their own, otherwise inserted at random places of `pausedHolderActions`. */
const actionSequence: fc.Arbitrary<Action[]> = fc.oneof(
  fc.array(actionArbitrary, { maxLength: 40 }),
  fc.array(fc.tuple(fc.nat(pausedHolderActions.length), actionArbitrary), { maxLength: 8 }).map(inserted =>
    [...pausedHolderActions, undefined].flatMap((step, index) => [
      ...inserted.filter(([position]) => position === index).map(([, extra]) => extra),
      ...(step === undefined ? [] : [step])
    ]))
)

test('under random combinations of faults engines carry out only open orders, and after recovery a holder ends all open orders', async () => {
  await fc.assert(fc.asyncProperty(actionSequence, async steps => {
    fixture = new StreamFixture()
    fleet = new OrderFleet(fixture, [true, false])
    pauseBeforeSend.clear()
    startPausableHost(0)
    startPausableHost(1)
    for (const step of steps) await perform(step)
    fixture.log.setOutage(false)
    pauseBeforeSend.clear()
    for (const host of fleet.hosts) host.gate.resume()
    for (const engine of fleet.engines) engine.isReachable = true
    const isSettled = (host: OrderHost): boolean =>
      hasAuthority(host, plannerLease) && host.orders.openIntents().length === 0
    await advanceUntil(fixture.clock, () => fleet.hosts.some(isSettled), 120_000)
    expect(fleet.engines.map(engine => engine.unexpectedOrderIds)).toEqual([[], []])
    await advanceUntilSettled(fixture.clock, fleet.stop())
  }), { seed: 43, numRuns: 150 })
})
