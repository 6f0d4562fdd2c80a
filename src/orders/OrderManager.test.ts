/**
 * Guards against conflicting orders to an engine and orders of a host that lost its authority: holders that
 * are paused between check and write, lost answers, engines that crash, and several of these at once.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { TokenBucket } from '../admission/index.js'
import { hasAuthority, PauseGate } from '../leases/testSupport.js'
import { advanceUntil, advanceUntilSettled, StreamFixture } from '../streams/testSupport.js'
import type { BeforeWrite } from './IntentCompleter.js'
import type { EngineOrder, OrderId } from './orderRecords.js'
import { modelName, OrderFleet, type OrderHost, plannerLease } from './testSupport.js'

const worker = 'engine-1' as never
const prefill: EngineOrder = { kind: 'change_role', role: 'prefill' }
const decode: EngineOrder = { kind: 'change_role', role: 'decode' }

let fixture: StreamFixture
let fleet: OrderFleet
/** Holds what a host does between the check of its authority and the write of an order. */
let write: PauseGate

beforeEach(() => {
  fixture = new StreamFixture()
  write = new PauseGate()
})

afterEach(async () => {
  fixture.log.setOutage(false)
  fixture.log.delayAppends(0)
  write.resume()
  for (const host of fleet.hosts) host.gate.resume()
  await advanceUntilSettled(fixture.clock, fleet.stop())
})

/** Holds orders; fence orders pass. */
const holdOrders: BeforeWrite = async (_engine, { order }) => {
  if (order.kind !== 'fence') await write.pass()
}

/** The records of the stream as `kind` or `kind:result`. */
function kinds (): string[] {
  return fixture.log.records('orders').map(({ value }) => {
    const record = JSON.parse(value) as { kind: string, result?: string }
    return record.result === undefined ? record.kind : `${record.kind}:${record.result}`
  })
}

async function holderReady (host: OrderHost): Promise<OrderHost> {
  await advanceUntil(fixture.clock, () => hasAuthority(host, plannerLease))
  return host
}

async function execute (host: OrderHost, order: EngineOrder) {
  return await advanceUntilSettled(fixture.clock, host.orders.execute(worker, order))
}

describe.each([true, false])('an engine that checks fencing numbers: %s', checksFencing => {
  beforeEach(() => { fleet = new OrderFleet(fixture, [checksFencing]) })

  test('gets an order after its intent was accepted, and the outcome is recorded', async () => {
    const host = await holderReady(fleet.startHost())
    const executed = await execute(host, prefill)
    expect(executed.isOk && executed.value.result).toBe('done')
    expect([fleet.engine.role, fleet.engine.unexpected]).toEqual(['prefill', []])
    expect(kinds()).toEqual(['takeover', 'intent', 'outcome:done'])
  })

  test('gets nothing from a host without the lease', async () => {
    const holder = await holderReady(fleet.startHost())
    const other = fleet.startHost()
    await advanceUntil(fixture.clock, () => other.group.isReady)
    const executed = await execute(other, prefill)
    expect(executed.isErr && executed.error.kind).toBe('lost_authority')
    expect([fleet.engine.accepted, hasAuthority(holder, plannerLease)]).toEqual([[], true])
  })

  test('takes an order once when the answer is lost', async () => {
    const host = await holderReady(fleet.startHost())
    fleet.engine.answersToLose = 1
    const executed = await execute(host, prefill)
    expect(executed.isOk && executed.value.result).toBe('done')
    expect(fleet.engine.accepted).toHaveLength(1)
  })

  test('that crashes in the middle of a change gets a new order for the same target', async () => {
    const host = await holderReady(fleet.startHost())
    const executed = host.orders.execute(worker, prefill)
    await advanceUntil(fixture.clock, () => fleet.engine.state().runningOrderId !== null)
    fleet.engine.crash()
    const end = await advanceUntilSettled(fixture.clock, executed)
    expect([end.isOk && end.value.result, fleet.engine.role]).toEqual(['done', 'prefill'])
    expect(kinds()).toEqual(['takeover', 'intent', 'outcome:abandoned', 'intent', 'outcome:done'])
    expect(fleet.engine.unexpected).toEqual([])
  })

  test('that ends an order short of its target is reported with its state', async () => {
    const host = await holderReady(fleet.startHost())
    fleet.engine.ordersToSpoil = 1
    const executed = await execute(host, prefill)
    expect(executed.isOk && [executed.value.result, executed.value.detail.state?.role]).toEqual(['failed', 'mixed'])
    expect(host.orders.openIntents()).toEqual([])
    expect(host.orders.engineReports()[0]?.last?.result).toBe('failed')
  })

  test('that becomes unreachable before the order was sent leaves nothing open', async () => {
    const host = await holderReady(fleet.startHost())
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

  test('that may have taken an order is asked again until the end is known', async () => {
    const host = await holderReady(fleet.startHost())
    fleet.engine.answersToLose = checksFencing ? 2 : 1
    const executed = host.orders.execute(worker, prefill)
    await advanceUntil(fixture.clock, () => fleet.engine.accepted.length === 1)
    fleet.engine.isReachable = false
    const end = await advanceUntilSettled(fixture.clock, executed)
    expect([end.isErr && end.error.kind, host.orders.openIntents().length]).toEqual(['outcome_unknown', 1])
    fleet.engine.isReachable = true
    await advanceUntil(fixture.clock, () => host.orders.openIntents().length === 0)
    expect([kinds().at(-1), fleet.engine.accepted.length]).toEqual(['outcome:done', 1])
  })

  test('gets no order from a host that lost its authority while it read the state', async () => {
    const holder = await holderReady(fleet.startHost())
    const successor = fleet.startHost()
    const state = fleet.engine.state.bind(fleet.engine)
    fleet.engine.state = () => {
      // The holder stops with the answer of the first read after its intent, which says that no order has arrived.
      if (holder.orders.openIntents().length === 1) holder.gate.pause()
      return state()
    }
    const executed = holder.orders.execute(worker, prefill)
    await holderReady(successor)
    await advanceUntil(fixture.clock, () => kinds().includes('outcome:done'))
    const receivedBefore = fleet.engine.received.length
    // Nothing of the log reaches the former holder before it goes on.
    fixture.log.setOutage(true)
    holder.gate.resume()
    const end = await advanceUntilSettled(fixture.clock, executed)
    expect([end.isErr && end.error.kind, fleet.engine.received.length]).toEqual(['lost_authority', receivedBefore])
  })

  test('that took an order before the log went out is recorded as done later, without a second order', async () => {
    const host = await holderReady(fleet.startHost())
    const executed = host.orders.execute(worker, prefill)
    await advanceUntil(fixture.clock, () => fleet.engine.state().runningOrderId !== null)
    fixture.log.setOutage(true)
    const end = await advanceUntilSettled(fixture.clock, executed)
    expect(end.isErr).toBe(true)
    expect(host.orders.openIntents()).toHaveLength(1)
    fixture.log.setOutage(false)
    await advanceUntil(fixture.clock, () => host.orders.openIntents().length === 0)
    expect([kinds().at(-1), fleet.engine.accepted.length]).toEqual(['outcome:done', 1])
  })

  test('gets the open order of a dead holder from the successor, also if it crashed too', async () => {
    const dead = await holderReady(fleet.startHost({ beforeWrite: holdOrders }))
    const successor = fleet.startHost()
    write.pause()
    dead.orders.execute(worker, prefill).catch(() => {})
    await advanceUntil(fixture.clock, () => dead.orders.openIntents().length === 1)
    dead.gate.pause()
    fleet.engine.crash()
    await holderReady(successor)
    await advanceUntil(fixture.clock, () => successor.group.isReady && successor.orders.openIntents().length === 0)
    expect(kinds().at(-1)).toBe(checksFencing ? 'outcome:abandoned' : 'outcome:done')
    expect([fleet.engine.role, fleet.engine.unexpected]).toEqual([checksFencing ? 'mixed' : 'prefill', []])
  })
})

/** A holder stopped between check and write of its first order, and a successor that holds the lease. */
async function pausedHolder (checksFencing: boolean) {
  fleet = new OrderFleet(fixture, [checksFencing])
  const holder = await holderReady(fleet.startHost({ beforeWrite: holdOrders }))
  const successor = fleet.startHost()
  write.pause()
  const first = holder.orders.execute(worker, prefill)
  await advanceUntil(fixture.clock, () => holder.orders.openIntents().length === 1)
  holder.gate.pause()
  await holderReady(successor)
  await advanceUntil(fixture.clock, () => successor.orders.openIntents().length === 0 && kinds().includes('outcome:done'))
  const resume = (): void => {
    holder.gate.resume()
    write.resume()
  }
  return { holder, successor, first, resume }
}

describe('a holder that is paused between check and write', () => {
  test('is refused by an engine that checks numbers, before and after an order of the successor', async () => {
    const { successor, first, resume } = await pausedHolder(true)
    expect(fleet.engine.role).toBe('prefill')
    const second = await execute(successor, decode)
    expect(second.isOk && second.value.result).toBe('done')
    resume()
    const late = await advanceUntilSettled(fixture.clock, first)
    expect(late.isErr && late.error.kind).toBe('lost_authority')
    expect(fleet.engine.received.at(-1)?.reception).toBe('fenced')
    expect([fleet.engine.role, fleet.engine.unexpected, fleet.engine.accepted.length]).toEqual(['decode', [], 2])
  })

  test('delays other orders to an engine that ignores numbers, and its late write changes nothing', async () => {
    const { holder, successor, first, resume } = await pausedHolder(false)
    expect(fleet.engine.role).toBe('prefill')
    const refused = await execute(successor, decode)
    expect(refused.isErr && refused.error.kind).toBe('not_ready')
    expect(successor.orders.engineReports()[0]?.formerSenders).toMatchObject([{ holder: holder.holder }])
    // The process runs again, but its order is still on its way.
    holder.gate.resume()
    const stillRefused = await execute(successor, decode)
    expect(stillRefused.isErr && stillRefused.error.kind).toBe('not_ready')
    resume()
    await advanceUntilSettled(fixture.clock, first)
    expect(fleet.engine.received.at(-1)?.reception).toBe('repeated')
    const second = await execute(successor, decode)
    expect(second.isOk && second.value.result).toBe('done')
    expect([fleet.engine.role, fleet.engine.unexpected, fleet.engine.accepted.length]).toEqual(['decode', [], 2])
  })

  test.each(['new_incarnation', 'left_list'] as const)('no longer delays them after evidence: %s', async evidence => {
    const { holder, successor } = await pausedHolder(false)
    fleet.stated.set(holder.holder.hostId, evidence)
    const second = await execute(successor, decode)
    expect(second.isOk && second.value.result).toBe('done')
  })

  test('no longer delays them after an operator confirmed that it cannot send', async () => {
    const { holder, successor } = await pausedHolder(false)
    const orderId = successor.orders.engineReports()[0]?.formerSenders[0]?.orderId as OrderId
    const wrong = await advanceUntilSettled(fixture.clock, successor.orders.confirm('other' as OrderId, 'op'))
    expect(wrong.isErr && wrong.error.kind).toBe('conflict')
    const confirmed = await advanceUntilSettled(fixture.clock, successor.orders.confirm(orderId, 'op'))
    expect(confirmed.isOk).toBe(true)
    const second = await execute(successor, decode)
    expect([second.isOk && second.value.result, holder.gate.isPaused]).toEqual(['done', true])
  })
})

test('an order with a lost answer counts as on its way until the engine shows it', async () => {
  fleet = new OrderFleet(fixture, [false])
  const host = await holderReady(fleet.startHost())
  const { fencingNumber } = host.leases.authority(plannerLease) ?? {}
  fleet.engine.answersToLose = 1
  const executed = host.orders.execute(worker, prefill)
  await advanceUntil(fixture.clock, () => fleet.engine.accepted.length === 1)
  fleet.engine.isReachable = false
  await fixture.clock.advance(2000)
  const before = await host.orders.leaseStatus(plannerLease, fencingNumber as never, worker)
  expect(before).toEqual({ knowsLeaseIsOver: false, orderInFlight: true })
  fleet.engine.isReachable = true
  const after = await host.orders.leaseStatus(plannerLease, fencingNumber as never, worker)
  expect(after.orderInFlight).toBe(false)
  await advanceUntilSettled(fixture.clock, executed)
})

test('a new holder fences every engine that checks numbers, also without an open order', async () => {
  fleet = new OrderFleet(fixture, [true, false])
  const host = await holderReady(fleet.startHost())
  await advanceUntil(fixture.clock, () => fleet.engine.received.length > 0)
  expect(fleet.engine.state().greatestFencingNumber).toBe(host.leases.authority(plannerLease)?.fencingNumber)
  expect(fleet.engines[1]?.received).toEqual([])
})

test('loads of weights are spread over time, other orders are not held up', async () => {
  fleet = new OrderFleet(fixture, [true, true, true, true])
  const host = await holderReady(fleet.startHost({ weightLoads: new TokenBucket(0.1, 1, fixture.clock.monotonic()) }))
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

  test('drains, sends and lets work return', async () => {
    const host = await holderReady(fleet.startHost())
    const changed = host.orders.changeRole(worker, 'prefill', { drainLimitMilliseconds: 5000 })
    const end = await advanceUntilSettled(fixture.clock, changed)
    expect([end.isOk, fleet.engine.role]).toEqual([true, 'prefill'])
    expect(host.drain.calls).toEqual(['stop engine-1', 'waited engine-1', 'accept engine-1'])
  })

  test.each([['give_up', 'mixed'], ['send', 'prefill']] as const)('at the limit of the drain: %s', async (atLimit, role) => {
    const host = await holderReady(fleet.startHost())
    host.drain.isIdle = false
    const changed = host.orders.changeRole(worker, 'prefill', { drainLimitMilliseconds: 5000, atLimit })
    const end = await advanceUntilSettled(fixture.clock, changed)
    expect([end.isErr && end.error.kind, fleet.engine.role]).toEqual([atLimit === 'send' ? false : 'deadline_exceeded', role])
    expect(host.drain.calls.at(-1)).toBe('accept engine-1')
  })

  test('does not drain without the lease', async () => {
    await holderReady(fleet.startHost())
    const other = fleet.startHost()
    const end = await other.orders.changeRole(worker, 'prefill', { drainLimitMilliseconds: 5000 })
    expect([end.isErr && end.error.kind, other.drain.calls]).toEqual(['lost_authority', []])
  })
})

type Action =
  | { kind: 'execute', host: number, engine: number, role: 'prefill' | 'decode' | 'mixed' }
  | { kind: 'pause' | 'stop_at_write' | 'resume', host: number }
  | { kind: 'crash' | 'lose_answer' | 'spoil' | 'unreachable' | 'reachable', engine: number }
  | { kind: 'outage' | 'recover' | 'lose_append' }
  | { kind: 'advance', milliseconds: number }

const hostIndex = fc.nat(1)
const engineIndex = fc.nat(1)
const action: fc.Arbitrary<Action> = fc.oneof(
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('execute' as const), host: hostIndex, engine: engineIndex, role: fc.constantFrom('prefill', 'decode', 'mixed') }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('pause' as const, 'stop_at_write' as const, 'resume' as const), host: hostIndex }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('crash' as const, 'lose_answer' as const, 'spoil' as const, 'unreachable' as const, 'reachable' as const), engine: engineIndex }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constantFrom('outage' as const, 'recover' as const, 'lose_append' as const) }) },
  { weight: 7, arbitrary: fc.record({ kind: fc.constant('advance' as const), milliseconds: fc.integer({ min: 10, max: 9000 }) }) }
)

/** Hosts that are paused between check and write of their next order. */
const stopAtWrite = new Set<number>()

function startStoppableHost (index: number): void {
  fleet.startHost({
    beforeWrite: async (_engine, { order }) => {
      if (order.kind !== 'fence' && stopAtWrite.delete(index)) fleet.hosts[index]?.gate.pause()
    }
  })
}

async function perform (step: Action): Promise<void> {
  if (step.kind === 'advance') return await fixture.clock.advance(step.milliseconds)
  const host = 'host' in step ? fleet.hosts[step.host] : undefined
  const engine = 'engine' in step ? fleet.engines[step.engine] : undefined
  if (step.kind === 'execute') host?.orders.execute(engine?.target.worker as never, { kind: 'change_role', role: step.role }).catch(() => {})
  if (step.kind === 'pause') host?.gate.pause()
  if (step.kind === 'stop_at_write') stopAtWrite.add(step.host)
  if (step.kind === 'resume') host?.gate.resume()
  if (step.kind === 'crash') engine?.crash()
  if (engine !== undefined && step.kind === 'lose_answer') engine.answersToLose = 1
  if (engine !== undefined && step.kind === 'spoil') engine.ordersToSpoil = 1
  if (engine !== undefined && (step.kind === 'unreachable' || step.kind === 'reachable')) engine.isReachable = step.kind === 'reachable'
  if (step.kind === 'outage' || step.kind === 'recover') fixture.log.setOutage(step.kind === 'outage')
  if (step.kind === 'lose_append') fixture.log.loseAppendAnswers(1)
}

/** Both engines get an order of a holder that stops before it writes, and then one of its successor. */
const stoppedHolder: Action[] = [
  { kind: 'advance', milliseconds: 1000 },
  ...[0, 1].map((host): Action => ({ kind: 'stop_at_write', host })),
  ...[0, 1].flatMap(host => [0, 1].map((engine): Action => ({ kind: 'execute', host, engine, role: 'prefill' }))),
  { kind: 'advance', milliseconds: 9000 },
  ...[0, 1].flatMap(host => [0, 1].map((engine): Action => ({ kind: 'execute', host, engine, role: 'decode' }))),
  { kind: 'advance', milliseconds: 3000 },
  ...[0, 1].map((host): Action => ({ kind: 'resume', host })),
  { kind: 'advance', milliseconds: 3000 }
]

/** Random sequences, half of them inserted step by step into the one above. */
const sequence: fc.Arbitrary<Action[]> = fc.oneof(
  fc.array(action, { maxLength: 40 }),
  fc.array(fc.tuple(fc.nat(stoppedHolder.length), action), { maxLength: 8 }).map(inserted =>
    [...stoppedHolder, undefined].flatMap((step, index) => [
      ...inserted.filter(([position]) => position === index).map(([, extra]) => extra),
      ...(step === undefined ? [] : [step])
    ]))
)

test('whatever fails together, engines only carry out open orders, and every order ends in a known state', async () => {
  await fc.assert(fc.asyncProperty(sequence, async steps => {
    fixture = new StreamFixture()
    fleet = new OrderFleet(fixture, [true, false])
    stopAtWrite.clear()
    startStoppableHost(0)
    startStoppableHost(1)
    for (const step of steps) await perform(step)
    fixture.log.setOutage(false)
    stopAtWrite.clear()
    for (const host of fleet.hosts) host.gate.resume()
    for (const engine of fleet.engines) engine.isReachable = true
    const isSettled = (host: OrderHost): boolean =>
      hasAuthority(host, plannerLease) && host.orders.openIntents().length === 0
    await advanceUntil(fixture.clock, () => fleet.hosts.some(isSettled), 120_000)
    expect(fleet.engines.map(engine => engine.unexpected)).toEqual([[], []])
    await advanceUntilSettled(fixture.clock, fleet.stop())
  }), { seed: 43, numRuns: 150 })
})
