/**
 * Guards against usage that is lost or counted twice when appends to the log fail or their responses are lost.
 */
import { describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, ManualClock, type Offset, toOffset } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { LogClient, type LogPage } from '../clients/index.js'
import { Ledger } from './Ledger.js'
import { UsageAppender } from './UsageAppender.js'
import { type UsageBatch, usageBatchSchema } from './UsageRecord.js'

type AppendBehaviour = 'store' | 'lose_answer' | 'refuse'

/** A log whose appends behave as listed, one entry per append, and then store all values. */
class ScriptedLog extends LogClient {
  readonly values: string[] = []

  constructor (private readonly behaviours: AppendBehaviour[]) {
    super()
  }

  async append (_stream: unknown, values: string[]): Promise<Result<Offset, Failure>> {
    const behaviour = this.behaviours.shift() ?? 'store'
    if (behaviour === 'refuse') return Result.err(failure('platform_unavailable', 'simulated outage'))
    this.values.push(...values)
    if (behaviour === 'lose_answer') return Result.err(failure('outcome_unknown', 'simulated loss of the response'))
    return Result.ok(toOffset(this.values.length))
  }

  async read (): Promise<Result<LogPage, Failure>> {
    return Result.err(failure('platform_unavailable', 'not used'))
  }
}

function batchOf (sequence: number): UsageBatch {
  return usageBatchSchema.parse({
    hostId: 'h1',
    incarnation: '0123456789abcdef',
    sequence,
    records: [{
      requestId: `r${sequence}`, team: 't', owner: 'o', model: 'm', promptTokens: 1, cachedPromptTokens: 0, generatedTokens: 10, engineMilliseconds: 5, calls: 1
    }]
  })
}

function appenderFor (
  log: LogClient,
  options: { maxKeptRecords?: number, maxRecordsPerAppend?: number } = {}
): { appender: UsageAppender, clock: ManualClock } {
  const clock = new ManualClock()
  const events = new EventLog({ timeline: new Timeline('test', new HybridClock(clock)), level: 'error', write: () => {} })
  return { appender: new UsageAppender({ log, clock, events, ...options }), clock }
}

function generatedTokensIn (log: ScriptedLog): number {
  const ledger = new Ledger()
  for (const value of log.values) {
    for (const batch of (JSON.parse(value) as { batches: UsageBatch[] }).batches) ledger.apply(batch)
  }
  return ledger.view().reduce((sum, total) => sum + total.generatedTokens, 0)
}

describe('UsageAppender', () => {
  test.each<[string, AppendBehaviour[]]>([
    ['a log that stores each append', []],
    ['an outage during the first two appends', ['refuse', 'refuse']],
    ['a lost response to the first append', ['lose_answer']],
    ['lost responses before and after an outage', ['lose_answer', 'refuse', 'lose_answer']]
  ])('each batch counts once with %s', async (_name, behaviours) => {
    const log = new ScriptedLog([...behaviours])
    const { appender, clock } = appenderFor(log)
    appender.start()
    const storedResults = [appender.add(batchOf(1)), appender.add(batchOf(2))]
    for (let second = 0; second <= behaviours.length; second += 1) await clock.advance(1000)
    expect((await Promise.all(storedResults)).every(result => result.isOk)).toBe(true)
    expect(generatedTokensIn(log)).toBe(20)
    await appender.stop()
  })

  test('50 waiting batches are appended as one log record', async () => {
    const log = new ScriptedLog([])
    const { appender, clock } = appenderFor(log)
    appender.start()
    for (let sequence = 1; sequence <= 50; sequence += 1) appender.enqueue(batchOf(sequence))
    await clock.advance(1000)
    expect(log.values.length).toBe(1)
    await appender.stop()
  })

  test('batches that exceed the limit of one append are all appended in the same round, so that no backlog grows', async () => {
    const log = new ScriptedLog([])
    const { appender, clock } = appenderFor(log, { maxRecordsPerAppend: 10 })
    appender.start()
    for (let sequence = 1; sequence <= 35; sequence += 1) appender.enqueue(batchOf(sequence))
    await clock.advance(1000)
    expect([log.values.length, appender.waitingBatchCount]).toEqual([4, 0])
    await appender.stop()
  })

  test('a batch that exceeds the limit of waiting records fails with overloaded', async () => {
    const { appender } = appenderFor(new ScriptedLog(['refuse']), { maxKeptRecords: 1 })
    expect(appender.enqueue(batchOf(1)).isOk).toBe(true)
    const secondResult = appender.enqueue(batchOf(2))
    expect(secondResult.isErr && secondResult.error.kind).toBe('overloaded')
  })

  test('stopping the appender ends the add call of a waiting batch with an error', async () => {
    const { appender } = appenderFor(new ScriptedLog([]))
    const stored = appender.add(batchOf(1))
    await appender.stop()
    expect((await stored).isErr).toBe(true)
  })
})
