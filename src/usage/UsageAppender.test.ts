/**
 * Guards against use that is lost or counted twice when the log is out, refuses, or loses an answer.
 */
import { describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, ManualClock, type Offset, toOffset } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { LogClient, type LogPage } from '../clients/index.js'
import { Ledger } from './Ledger.js'
import { UsageAppender } from './UsageAppender.js'
import { type UsageBatch, usageBatchSchema } from './UsageRecord.js'

type Step = 'store' | 'lose_answer' | 'refuse'

class ScriptedLog extends LogClient {
  readonly values: string[] = []

  constructor (private readonly steps: Step[]) {
    super()
  }

  async append (_stream: unknown, values: string[]): Promise<Result<Offset, Failure>> {
    const step = this.steps.shift() ?? 'store'
    if (step === 'refuse') return Result.err(failure('platform_unavailable', 'out'))
    this.values.push(...values)
    if (step === 'lose_answer') return Result.err(failure('outcome_unknown', 'lost'))
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
  test.each<[string, Step[]]>([
    ['a log that works', []],
    ['an outage', ['refuse', 'refuse']],
    ['a lost answer', ['lose_answer']],
    ['a lost answer and an outage', ['lose_answer', 'refuse', 'lose_answer']]
  ])('counts each batch once with %s', async (_name, steps) => {
    const log = new ScriptedLog([...steps])
    const { appender, clock } = appenderFor(log)
    appender.start()
    const stored = [appender.add(batchOf(1)), appender.add(batchOf(2))]
    for (let second = 0; second <= steps.length; second += 1) await clock.advance(1000)
    expect((await Promise.all(stored)).every(result => result.isOk)).toBe(true)
    expect(generatedTokensIn(log)).toBe(20)
    await appender.stop()
  })

  test('writes the batches of many hosts in one append', async () => {
    const log = new ScriptedLog([])
    const { appender, clock } = appenderFor(log)
    appender.start()
    for (let sequence = 1; sequence <= 50; sequence += 1) appender.takeCustody(batchOf(sequence))
    await clock.advance(1000)
    expect(log.values.length).toBe(1)
    await appender.stop()
  })

  test('appends more than fits into one append in the same round, so that a busy zone does not fall behind', async () => {
    const log = new ScriptedLog([])
    const { appender, clock } = appenderFor(log, { maxRecordsPerAppend: 10 })
    appender.start()
    for (let sequence = 1; sequence <= 35; sequence += 1) appender.takeCustody(batchOf(sequence))
    await clock.advance(1000)
    expect([log.values.length, appender.waitingBatches]).toEqual([4, 0])
    await appender.stop()
  })

  test('refuses batches beyond its limit instead of growing without bound', async () => {
    const { appender } = appenderFor(new ScriptedLog(['refuse']), { maxKeptRecords: 1 })
    expect(appender.takeCustody(batchOf(1)).isOk).toBe(true)
    const refused = appender.takeCustody(batchOf(2))
    expect(refused.isErr && refused.error.kind).toBe('overloaded')
  })

  test('tells waiting hosts that their batch is not stored when it stops', async () => {
    const { appender } = appenderFor(new ScriptedLog([]))
    const stored = appender.add(batchOf(1))
    await appender.stop()
    expect((await stored).isErr).toBe(true)
  })
})
