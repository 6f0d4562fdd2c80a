/**
 * Guards against usage that is counted twice or not at all because batches are repeated, reordered or lost, a sink fails,
 * or a host is draining; and against a ledger whose totals depend on anything but the records.
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

function createUsageRecord (id: string, changes: Partial<Record<keyof UsageRecord, unknown>> = {}): UsageRecord {
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

/** A sink that loses requests or responses. If a response is lost, the batch is stored, but the manager receives a failure. */
class LossySink extends UsageSink {
  readonly stored: UsageBatch[] = []
  constructor (private readonly losses: Array<'request' | 'response'> = []) { super() }

  async submit (batch: UsageBatch): Promise<Result<void, Failure>> {
    const loss = this.losses.shift()
    if (loss !== 'request') this.stored.push(usageBatchSchema.parse(JSON.parse(JSON.stringify(batch))))
    return loss === undefined ? Result.ok(undefined) : Result.err(failure('platform_unavailable', 'simulated loss'))
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
  test('each record counts once when the sink loses requests and responses', async () => {
    await fc.assert(fc.asyncProperty(
      fc.array(fc.constantFrom('request' as const, 'response' as const), { maxLength: 8 }),
      fc.array(fc.integer({ min: 0, max: 4 }), { minLength: 1, maxLength: 8 }),
      async (losses, bursts) => {
        const clock = new ManualClock()
        const sink = new LossySink(losses)
        const manager = managerOf(clock, sink, { maxBatchRecords: 2 })
        manager.start()
        let recordCount = 0
        for (const burst of bursts) {
          for (let index = 0; index < burst; index += 1) manager.record(createUsageRecord(`r-${recordCount++}`))
          await clock.advance(1000)
        }
        const flushed = manager.flush(new AbortController().signal)
        await clock.advance(20_000)
        expect(await flushed).toBe(true)
        await manager.stop()
        const ledger = new Ledger()
        for (const batch of sink.stored) ledger.apply(batch)
        expect(ledger.view()[0]?.requests ?? 0).toBe(recordCount)
        expect(manager.keptRecords).toBe(0)
      }), { seed: 3, numRuns: 40 })
  })

  test('a batch whose response was lost is submitted again with the same sequence number and records', async () => {
    const clock = new ManualClock()
    const sink = new LossySink(['response'])
    const manager = managerOf(clock, sink)
    manager.record(createUsageRecord('r-1'))
    manager.start()
    await clock.advance(1000)
    manager.record(createUsageRecord('r-2'))
    await clock.advance(2000)
    await manager.stop()
    expect(sink.stored.map(({ sequence, records }) => [sequence, records.map(({ requestId }) => requestId)]))
      .toEqual([[1, ['r-1']], [1, ['r-1']], [2, ['r-2']]])
  })

  test('records above the limit of kept records are dropped and counted as lost', () => {
    const manager = managerOf(new ManualClock(), new LossySink(), { maxKeptRecords: 2 })
    for (const id of ['r-1', 'r-2', 'r-3']) manager.record(createUsageRecord(id))
    expect([manager.keptRecords, manager.lostRecords]).toEqual([2, 1])
  })

  test('a flush returns false when its signal aborts while the sink fails every submit', async () => {
    const clock = new ManualClock()
    const manager = managerOf(clock, new LossySink(Array(99).fill('request') as Array<'request'>))
    manager.record(createUsageRecord('r-1'))
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
      createUsageRecord(`a-${sequence}`, { generatedTokens: sequence }),
      createUsageRecord(`b-${sequence}`, { owner: 'kontenerowo', team: 'plans', model: 'planner' })
    ]
  }))

  function totalsOf (appliedBatches: UsageBatch[]) {
    const ledger = new Ledger()
    for (const batch of appliedBatches) ledger.apply(batch)
    return ledger.view()
  }

  test('the ledger has one total per owner, team and model', () => {
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

  test('the totals are the same when batches are reordered or repeated and the ledger is restored from its state midway', () => {
    const deliveries = fc.array(fc.constantFrom(...batches), { maxLength: 12 })
      .chain(extra => fc.shuffledSubarray([...batches, ...extra], { minLength: batches.length + extra.length }))
    fc.assert(fc.property(deliveries, fc.nat(18), (deliveredBatches, snapshotAt) => {
      // These ledgers remember no request ids, so only the identity of a batch can prevent that it counts twice.
      const before = new Ledger(0)
      for (const batch of deliveredBatches.slice(0, snapshotAt)) before.apply(batch)
      const after = Ledger.fromState(ledgerStateSchema.parse(JSON.parse(JSON.stringify(before.state()))), 0)
      for (const batch of deliveredBatches.slice(snapshotAt)) after.apply(batch)
      expect(after.view()).toEqual(totalsOf(batches))
    }), { seed: 5, numRuns: 200 })
  })

  test('a request counts once when a neighbour submits its record again under the id of the neighbour', () => {
    const [firstBatch] = batches
    const mirrored = { ...firstBatch!, hostId: 'h-9' as HostId, records: [firstBatch!.records[0]!, createUsageRecord('open')] }
    expect(totalsOf([firstBatch!, mirrored])[0]).toMatchObject({ requests: 2 })
  })

  test('a batch with the same sequence number but another incarnation counts as another batch', () => {
    const restarted = { ...batches[0]!, incarnation: '0000000000000002' as Incarnation, records: [createUsageRecord('new' as RequestId)] }
    expect(totalsOf([batches[0]!, restarted])[0]).toMatchObject({ requests: 2 })
  })
})
