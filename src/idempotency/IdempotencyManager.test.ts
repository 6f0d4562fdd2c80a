/**
 * Guards against calls that run twice under one key, which could come from concurrent or late duplicates, lost
 * responses, restarts, expiry or a full table, and against keys that callers forge.
 */
import { beforeEach, describe, expect, test } from '@jest/globals'
import fc from 'fast-check'
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, ManualClock, type Pool, type Team } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { IdempotencyManager, type IdempotencyManagerOptions } from './IdempotencyManager.js'
import { IssuerClient, type OnceAnswer, type OnceCall } from './IssuerClient.js'
import type { OnceOutcome } from './OutcomeTable.js'

const team = 'reef' as Team
const tenMinutesMilliseconds = 600_000
let clock: ManualClock
let runs: string[]
/** Returns the outcome of a run; tests replace it. */
let outcomeOf: (call: OnceCall) => Promise<OnceOutcome>

beforeEach(() => {
  clock = new ManualClock()
  runs = []
  outcomeOf = async () => createOutcome(`run ${runs.length}`)
})

function createOutcome (text: string): OnceOutcome {
  return Result.ok({ status: 200, headers: {}, body: Buffer.from(text) })
}

class LocalIssuerClient extends IssuerClient {
  constructor (private readonly managers: Map<string, IdempotencyManager>) { super() }

  async execute (hostId: HostId, incarnation: Incarnation, call: OnceCall): Promise<Result<OnceAnswer, Failure>> {
    const manager = this.managers.get(`${hostId}.${incarnation}`)
    if (manager === undefined) return Result.err(failure('outcome_unknown', 'the issuer is gone'))
    return await manager.executeIssued(call)
  }
}

function createManager (
  options: Partial<IdempotencyManagerOptions> = {},
  managers = new Map<string, IdempotencyManager>()
): IdempotencyManager {
  const complete: IdempotencyManagerOptions = {
    hostId: 'h-1' as HostId,
    incarnation: '0000000000000001' as Incarnation,
    clock,
    events: new EventLog({ timeline: new Timeline('h-1', new HybridClock(clock)), level: 'error', write: () => {} }),
    issuers: new LocalIssuerClient(managers),
    execute: async call => {
      runs.push(call.key)
      return await outcomeOf(call)
    },
    ...options
  }
  const manager = new IdempotencyManager(complete)
  managers.set(`${complete.hostId}.${complete.incarnation}`, manager)
  return manager
}

function callOf (key: string, changes: Partial<OnceCall> = {}): OnceCall {
  return {
    key,
    team,
    pool: 'votes' as Pool,
    method: 'POST',
    path: '/vote',
    headers: {},
    body: Buffer.from('yes'),
    timeoutMilliseconds: 30_000,
    ...changes
  }
}

function resultText (outcome: OnceOutcome): string {
  return outcome.isOk ? Buffer.from(outcome.value.body).toString() : outcome.error.kind
}

describe('one run per key', () => {
  test('concurrent duplicates wait for the first run and receive its response', async () => {
    let finish = (): void => {}
    outcomeOf = async () => {
      await new Promise<void>(resolve => { finish = resolve })
      return createOutcome('done')
    }
    const manager = createManager()
    const key = manager.issue(team)
    const outcomes = Array.from({ length: 50 }, () => manager.execute(callOf(key)))
    await clock.advance(0)
    finish()
    expect((await Promise.all(outcomes)).map(resultText)).toEqual(Array(50).fill('done'))
    expect(runs).toHaveLength(1)
  })

  test('a duplicate whose deadline passes during the first run fails with outcome_unknown and does not run', async () => {
    outcomeOf = () => new Promise(() => {})
    const manager = createManager()
    const key = manager.issue(team)
    manager.execute(callOf(key)).catch(() => {})
    const duplicate = manager.execute(callOf(key, { timeoutMilliseconds: 100 }))
    await clock.advance(100)
    expect(resultText(await duplicate)).toBe('outcome_unknown')
    expect(runs).toHaveLength(1)
  })

  test.each<[string, OnceOutcome | 'throws', string, number]>([
    ['a duplicate receives the stored response', createOutcome('done'), 'done', 1],
    ['a duplicate of a call with an unknown outcome fails with outcome_unknown and does not run', Result.err(failure('outcome_unknown', 'lost')), 'outcome_unknown', 1],
    ['a call that fails with an internal error ends with outcome_unknown and does not run again', 'throws', 'outcome_unknown', 1],
    ['a call that certainly did not run is run again', Result.err(failure('not_run', 'refused')), 'not_run', 2]
  ])('%s', async (_name, outcome, expected, count) => {
    outcomeOf = async () => {
      if (outcome === 'throws') throw new Error('fault')
      return outcome
    }
    const manager = createManager()
    const key = manager.issue(team)
    expect([resultText(await manager.execute(callOf(key))), resultText(await manager.execute(callOf(key)))])
      .toEqual([expected, expected])
    expect(runs).toHaveLength(count)
  })

  test('under random sequences of calls and waits, with small limits, each key runs at most once', async () => {
    const step = fc.oneof(
      fc.record({ kind: fc.constant('call' as const), key: fc.nat(4) }),
      fc.record({ kind: fc.constant('wait' as const), milliseconds: fc.constantFrom(1000, 60_000, 300_000, 700_000) })
    )
    await fc.assert(fc.asyncProperty(fc.array(step, { maxLength: 40 }), async steps => {
      runs = []
      const manager = createManager({ maxKeys: 3, maxBytes: 6 })
      const keys = Array.from({ length: 5 }, () => manager.issue(team))
      for (const current of steps) {
        if (current.kind === 'wait') await clock.advance(current.milliseconds)
        else await manager.execute(callOf(keys[current.key]!))
      }
      expect(new Set(runs).size).toBe(runs.length)
    }), { seed: 7, numRuns: 60 })
  })
})

describe('keys', () => {
  test('a different call under a used key fails with conflict', async () => {
    const manager = createManager()
    const key = manager.issue(team)
    await manager.execute(callOf(key))
    expect(resultText(await manager.execute(callOf(key, { body: Buffer.from('no') })))).toBe('conflict')
    expect(resultText(await manager.execute(callOf(key, { path: '/other' })))).toBe('conflict')
    expect(runs).toHaveLength(1)
  })

  test.each<[string, (key: string) => string, string]>([
    ['another form', () => 'mine', 'bad_request'],
    ['another message authentication code', key => key.slice(0, -32) + '0'.repeat(32), 'bad_request'],
    ['another sequence number', key => key.replace('.1.', '.2.'), 'bad_request'],
    ['another incarnation of the host', key => key.replace('0000000000000001', '0000000000000009'), 'outcome_unknown'],
    ['a host that no longer runs', key => key.replace('h-1', 'h-9'), 'outcome_unknown']
  ])('a call under a key with %s does not run', async (_name, change, kind) => {
    const manager = createManager()
    const key = change(manager.issue(team))
    expect(resultText(await manager.execute(callOf(key)))).toBe(kind)
    expect(runs).toHaveLength(0)
  })

  test('a call with a key that was issued to another team fails with bad_request', async () => {
    const manager = createManager()
    expect(resultText(await manager.execute(callOf(manager.issue('kelp' as Team))))).toBe('bad_request')
  })

  test('a call with a key from before a restart does not run, even if the new incarnation issued the same sequence number again', async () => {
    const old = createManager()
    const key = old.issue(team)
    const restarted = createManager({ incarnation: '0000000000000002' as Incarnation })
    restarted.issue(team)
    expect(resultText(await restarted.execute(callOf(key)))).toBe('outcome_unknown')
    expect(runs).toHaveLength(0)
  })

  test('a call runs once at the issuer of its key, whichever host receives it', async () => {
    const managers = new Map<string, IdempotencyManager>()
    const issuer = createManager({}, managers)
    const other = createManager({ hostId: 'h-2' as HostId, incarnation: '0000000000000002' as Incarnation }, managers)
    const key = issuer.issue(team)
    expect((await Promise.all([other.execute(callOf(key)), issuer.execute(callOf(key))])).map(resultText)).toEqual(['run 1', 'run 1'])
  })
})

describe('limits', () => {
  test('an outcome is kept for ten minutes after the run; later duplicates fail with outcome_unknown', async () => {
    const manager = createManager()
    const key = manager.issue(team)
    await clock.advance(tenMinutesMilliseconds - 1)
    expect(resultText(await manager.execute(callOf(key)))).toBe('run 1')
    await clock.advance(tenMinutesMilliseconds - 1)
    expect(resultText(await manager.execute(callOf(key)))).toBe('run 1')
    await clock.advance(20_000)
    expect(resultText(await manager.execute(callOf(key)))).toBe('outcome_unknown')
    expect(runs).toHaveLength(1)
  })

  test('a call does not run again under a used key, neither before nor after the keys of the same expiry bucket expire', async () => {
    const manager = createManager()
    const key = manager.issue(team)
    await manager.execute(callOf(key))
    await clock.advance(900)
    manager.issue(team)
    await clock.advance(tenMinutesMilliseconds - 400)
    await manager.execute(callOf(key))
    await clock.advance(20_000)
    await manager.execute(callOf(key))
    expect(runs).toHaveLength(1)
  })

  test('a call with a key that is first used after it expired fails with outcome_unknown and does not run', async () => {
    const manager = createManager()
    const key = manager.issue(team)
    await clock.advance(tenMinutesMilliseconds)
    expect(resultText(await manager.execute(callOf(key)))).toBe('outcome_unknown')
    expect(runs).toHaveLength(0)
  })

  test('new calls fail with overloaded while the table is full, and the stored outcomes are kept', async () => {
    const manager = createManager({ maxKeys: 2 })
    const keys = [manager.issue(team), manager.issue(team), manager.issue(team)]
    const outcomes = []
    for (const key of [...keys, ...keys]) outcomes.push(resultText(await manager.execute(callOf(key))))
    expect(outcomes).toEqual(['run 1', 'run 2', 'overloaded', 'run 1', 'run 2', 'overloaded'])
  })

  test('when stored responses exceed the size limit, the oldest one is evicted and the call of that response does not run again', async () => {
    outcomeOf = async () => createOutcome('x'.repeat(10))
    const manager = createManager({ maxBytes: 25 })
    const keys = [manager.issue(team), manager.issue(team), manager.issue(team)]
    for (const key of keys) await manager.execute(callOf(key))
    const duplicates = []
    for (const key of keys) duplicates.push(resultText(await manager.execute(callOf(key))))
    expect(duplicates).toEqual(['outcome_unknown', 'x'.repeat(10), 'x'.repeat(10)])
    expect(runs).toHaveLength(3)
  })
})
