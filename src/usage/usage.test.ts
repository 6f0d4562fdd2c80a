/**
 * Guards against use that is counted twice or not at all: by repeated, reordered or lost batches, a sink that
 * fails, a drain, and a ledger that depends on anything but the records.
 */
import { describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, ManualClock, type RequestId } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { Ledger, ledgerStateSchema } from './Ledger.js'
import { UsageManager, type UsageManagerOptions } from './UsageManager.js'
import { type UsageBatch, usageBatchSchema, type UsageRecord, usageRecordSchema } from './UsageRecord.js'
import { UsageSink } from './UsageSink.js'

function record (id: string, changes: Partial<Record<keyof UsageRecord, unknown>> = {}): UsageRecord {
  return usageRecordSchema.parse({
    requestId: id,
    team: 'reef',
    owner: 'acuarios',
    model: 'carassius',
    promptTokens: 10,
    cachedPromptTokens: 4,
    generatedTokens: 5,
    engineMilliseconds: 100,
    calls: 1,
    ...changes
  })
}

/** A sink that loses answers: the batch is stored, yet the manager hears of a failure. */
class LossySink extends UsageSink {
  readonly stored: UsageBatch[] = []
  constructor (private readonly losses: Array<'request' | 'answer'> = []) { super() }

  async submit (batch: UsageBatch): Promise<Result<void, Failure>> {
    const loss = this.losses.shift()
    if (loss !== 'request') this.stored.push(usageBatchSchema.parse(JSON.parse(JSON.stringify(batch))))
    return loss === undefined ? Result.ok(undefined) : Result.err(failure('platform_unavailable', 'lost'))
  }
}

function managerOf (clock: ManualClock, sink: UsageSink, options: Partial<UsageManagerOptions> = {}): UsageManager {
  return new UsageManager({
    hostId: 'h-1' as HostId,
    incarnation: '0000000000000001' as Incarnation,
    sink,
    clock,
    events: new EventLog({ timeline: new Timeline('h-1', new HybridClock(clock)), level: 'error', write: () => {} }),
    ...options
  })
}

describe('UsageManager', () => {
  test('each record counts once, whatever the sink loses', async () => {
    await fc.assert(fc.asyncProperty(
      fc.array(fc.constantFrom('request' as const, 'answer' as const), { maxLength: 8 }),
      fc.array(fc.integer({ min: 0, max: 4 }), { minLength: 1, maxLength: 8 }),
      async (losses, bursts) => {
        const clock = new ManualClock()
        const sink = new LossySink(losses)
        const manager = managerOf(clock, sink, { maxBatchRecords: 2 })
        manager.start()
        let made = 0
        for (const burst of bursts) {
          for (let index = 0; index < burst; index += 1) manager.record(record(`r-${made++}`))
          await clock.advance(1000)
        }
        const flushed = manager.flush(new AbortController().signal)
        await clock.advance(20_000)
        expect(await flushed).toBe(true)
        await manager.stop()
        const ledger = new Ledger()
        for (const batch of sink.stored) ledger.apply(batch)
        expect(ledger.view()[0]?.requests ?? 0).toBe(made)
        expect(manager.keptRecords).toBe(0)
      }), { seed: 3, numRuns: 40 })
  })

  test('a batch that is handed over again is the same', async () => {
    const clock = new ManualClock()
    const sink = new LossySink(['answer'])
    const manager = managerOf(clock, sink)
    manager.record(record('r-1'))
    manager.start()
    await clock.advance(1000)
    manager.record(record('r-2'))
    await clock.advance(2000)
    await manager.stop()
    expect(sink.stored.map(({ sequence, records }) => [sequence, records.map(({ requestId }) => requestId)]))
      .toEqual([[1, ['r-1']], [1, ['r-1']], [2, ['r-2']]])
  })

  test('records that wait are bounded, and lost ones are counted', () => {
    const manager = managerOf(new ManualClock(), new LossySink(), { maxKeptRecords: 2 })
    for (const id of ['r-1', 'r-2', 'r-3']) manager.record(record(id))
    expect([manager.keptRecords, manager.lostRecords]).toEqual([2, 1])
  })

  test('a flush ends with its signal when the sink never stores anything', async () => {
    const clock = new ManualClock()
    const manager = managerOf(clock, new LossySink(Array(99).fill('request') as Array<'request'>))
    manager.record(record('r-1'))
    const controller = new AbortController()
    const flushed = manager.flush(controller.signal)
    await clock.advance(5000)
    controller.abort()
    expect(await flushed).toBe(false)
  })
})

describe('Ledger', () => {
  const batches: UsageBatch[] = [1, 2, 3, 4, 5, 6].map(sequence => ({
    hostId: (sequence % 2 === 0 ? 'h-1' : 'h-2') as HostId,
    incarnation: '0000000000000001' as Incarnation,
    sequence: Math.ceil(sequence / 2),
    records: [
      record(`a-${sequence}`, { generatedTokens: sequence }),
      record(`b-${sequence}`, { owner: 'kontenerowo', team: 'plans', model: 'planner' })
    ]
  }))

  function totalsOf (applied: UsageBatch[]) {
    const ledger = new Ledger()
    for (const batch of applied) ledger.apply(batch)
    return ledger.view()
  }

  test('totals are per owner, team and model', () => {
    expect(totalsOf(batches)).toEqual([
      {
        owner: 'acuarios',
        team: 'reef',
        model: 'carassius',
        requests: 6,
        calls: 6,
        promptTokens: 60,
        cachedPromptTokens: 24,
        generatedTokens: 21,
        engineMilliseconds: 600
      },
      expect.objectContaining({ owner: 'kontenerowo', team: 'plans', model: 'planner', requests: 6 })
    ])
  })

  test('order, repetition and a snapshot in between change nothing', () => {
    const applied = fc.array(fc.constantFrom(...batches), { maxLength: 12 })
      .chain(extra => fc.shuffledSubarray([...batches, ...extra], { minLength: batches.length + extra.length }))
    fc.assert(fc.property(applied, fc.nat(18), (order, cut) => {
      // Without remembered request ids, so that only the identity of the batches tells them apart.
      const before = new Ledger(0)
      for (const batch of order.slice(0, cut)) before.apply(batch)
      const after = Ledger.fromState(ledgerStateSchema.parse(JSON.parse(JSON.stringify(before.state()))), 0)
      for (const batch of order.slice(cut)) after.apply(batch)
      expect(after.view()).toEqual(totalsOf(batches))
    }), { seed: 5, numRuns: 200 })
  })

  test('a request that a neighbour submits for a dead host counts once', () => {
    const [first] = batches
    const mirrored = { ...first!, hostId: 'h-9' as HostId, records: [first!.records[0]!, record('open')] }
    expect(totalsOf([first!, mirrored])[0]).toMatchObject({ requests: 2 })
  })

  test('a writer that starts anew is another writer', () => {
    const again = { ...batches[0]!, incarnation: '0000000000000002' as Incarnation, records: [record('new' as RequestId)] }
    expect(totalsOf([batches[0]!, again])[0]).toMatchObject({ requests: 2 })
  })
})
