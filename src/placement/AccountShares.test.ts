/**
 * Guards against accounts that starve others, or that are starved themselves once they have used more than their share, and
 * against an order of prompts that changes although there are no accounts.
 */
import { describe, expect, test } from '@jest/globals'
import { ManualClock, SeededRandom, type WorkerId, type Zone } from '../common/index.js'
import { PermitQueue } from '../limits/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { AccountShares } from './AccountShares.js'
import { HeldParts } from './HeldParts.js'
import { PromptSchedule } from './PromptSchedule.js'
import { simulatedBaseMilliseconds, SimulatedFleet, simulatedTokensPerMillisecond } from './testing/SimulatedFleet.js'

const taskOf = (id: string, account?: string) => ({ id, account, parts: [id], partTokens: [1], dueAt: 0, lostAt: 0 })

/** Prompts by urgency, named `account/number`, or just by a number without an account; `late` follows those that are late. */
function ranked (names: string[]) {
  return names.map((name, order) => {
    const [account, id] = name.includes('/') ? name.split('/') : [undefined, name]
    return { entry: { task: taskOf(id!, account) }, rank: { isLate: name.endsWith('late'), order }, name }
  })
}

describe('the order of prompts', () => {
  test.each([
    ['without accounts', ['1', '2', '3', '4late'], ['1', '2', '3', '4late']],
    ['of one account', ['heavy/1', 'heavy/2', 'heavy/3'], ['heavy/1', 'heavy/2', 'heavy/3']],
    ['of an account over its share and others', ['heavy/1', 'heavy/2', 'light/3', 'other/4', 'light/5'], ['light/3', 'other/4', 'heavy/1', 'light/5', 'heavy/2']],
    ['of an account over its share and prompts without one', ['heavy/1', 'heavy/2', '3'], ['3', 'heavy/1', 'heavy/2']],
    ['keeps late ones behind', ['heavy/1', 'light/2late', 'heavy/3late'], ['heavy/1', 'light/2late', 'heavy/3late']]
  ])('%s: %j becomes %j', (_name, names, expected) => {
    const shares = new AccountShares()
    shares.recordSent(taskOf('0', 'heavy'), 100, 0)
    shares.recordSent(taskOf('0', 'light'), 10, 0)
    shares.recordSent(taskOf('0', 'other'), 10, 0)
    expect(shares.arrange(ranked(names), 0).map(({ name }) => name)).toEqual(expected)
  })

  test('follows recent use: an account that used much a minute ago precedes one that has used little since', () => {
    const shares = new AccountShares()
    const [earlier, recent] = [taskOf('1', 'earlier'), taskOf('2', 'recent')]
    shares.recordSent(earlier, 1000, 0)
    const precedes = (now: number): boolean => shares.precedes(earlier, [earlier, recent], now)(recent)
    shares.recordSent(recent, 10, 0)
    expect(precedes(0)).toBe(false)
    shares.recordSent(recent, 10, 60_000)
    expect(precedes(60_000)).toBe(true)
  })

  test('forgets an account that was served least recently when there are more than 1,024', () => {
    const shares = new AccountShares()
    shares.recordSent(taskOf('0', 'heavy'), 100, 0)
    const precedes = () => shares.precedes(taskOf('1', 'light'), [taskOf('1', 'light'), taskOf('2', 'heavy')], 0)(taskOf('2', 'heavy'))
    for (let number = 0; number < 1023; number += 1) shares.recordSent(taskOf('0', `account-${number}`), 1, 0)
    expect(precedes()).toBe(true)
    shares.recordSent(taskOf('0', 'last'), 1, 0)
    expect(precedes()).toBe(false)
  })
})

/** A schedule of two workers, which compute 100 tokens a millisecond together. */
function startSchedule (): { clock: ManualClock, fleet: SimulatedFleet, schedule: PromptSchedule } {
  const clock = new ManualClock()
  const events = discardingEventLog(clock)
  const fleet = new SimulatedFleet(clock, 2)
  const workers = (): Array<{ id: WorkerId, zone: Zone }> => fleet.ids
  const schedule = new PromptSchedule({
    cell: 'llm',
    clock,
    events,
    held: new HeldParts(),
    permits: new PermitQueue({ clock, events }),
    workers,
    holders: workers,
    answerWorkers: () => [],
    costs: {
      tokensPerMillisecond: simulatedTokensPerMillisecond,
      baseMilliseconds: simulatedBaseMilliseconds,
      fetchedTokensPerMillisecond: 1000
    }
  })
  return { clock, fleet, schedule }
}

test('a prompt is not refused because of more urgent prompts that it precedes', async () => {
  const { clock, schedule } = startSchedule()
  const kinds: string[] = []
  // The other account's prompts take 1.2 s, longer than the caller of the last prompt waits.
  for (let number = 0; number < 24; number += 1) {
    schedule.place({ ...taskOf(`p${number}`, 'heavy'), partTokens: [5000], dueAt: 1500, lostAt: 3000 }).catch(() => {})
    await clock.advance(0)
  }
  schedule.place({ ...taskOf('last', 'light'), partTokens: [300], dueAt: 1550, lostAt: 1000 })
    .then(({ kind }) => { kinds.push(kind) }, () => {})
  await clock.advance(200)
  expect(kinds).toEqual(['placed'])
})

describe('a schedule serves', () => {
  interface Load { account: string, perSecond: number, tokens: number }
  const others = (count: number, perSecond: number, tokens: number): Load[] =>
    Array.from({ length: count }, (_, number) => ({ account: `other-${number}`, perSecond, tokens }))

  /** Plays the load for 8 s; returns the share served of the prompts of 4 s, in which the load is steady, by account. */
  async function play (loads: Load[]): Promise<{ byAccount: Map<string, number>, all: number }> {
    const { clock, fleet, schedule } = startSchedule()
    const random = new SeededRandom(5)
    const [sent, served] = [new Map<string, number>(), new Map<string, number>()]
    const count = (counts: Map<string, number>, account: string, sentAt: number): void => {
      if (sentAt >= 2000 && sentAt < 6000) counts.set(account, (counts.get(account) ?? 0) + 1)
    }
    const serve = async (id: string, { account, tokens }: Load): Promise<void> => {
      const now = clock.monotonic()
      count(sent, account, now)
      const prompt = { id, parts: [id], partTokens: [tokens], targetMilliseconds: 300 }
      const decision = await schedule.place({ ...prompt, account, dueAt: now + random.integer(290, 310), lostAt: now + 2000 })
      if (decision.kind !== 'placed') return
      if (await fleet.compute(prompt, decision.worker, decision.partsSource) <= now + 2000) count(served, account, now)
      schedule.end(id, 'computed')
    }
    const pending: Array<Promise<void>> = []
    for (let millisecond = 0; millisecond < 8000; millisecond += 10) {
      for (const load of loads) {
        for (let due = load.perSecond / 100; random.fraction() < due; due -= 1) pending.push(serve(`p${pending.length}`, load))
      }
      await clock.advance(10)
    }
    await clock.advance(5000)
    await Promise.all(pending)
    const sum = (counts: Map<string, number>): number => [...counts.values()].reduce((total, value) => total + value, 0)
    const byAccount = new Map([...sent].map(([account, total]) => [account, (served.get(account) ?? 0) / total]))
    return { byAccount, all: sum(served) / sum(sent) }
  }

  // Capacity: 333 prompts of 300 tokens a second. Of four others, each sends 20 a second; of forty others, 10 a second.
  test.each([
    ['four accounts beside one that sends half more than the capacity', [{ account: 'heavy', perSecond: 500, tokens: 300 }, ...others(4, 20, 300)], 0.9],
    ['four accounts beside one with long prompts for twice the capacity', [{ account: 'heavy', perSecond: 60, tokens: 3000 }, ...others(4, 20, 300)], 0.6],
    ['forty accounts that need more than the capacity beside one that sends three times the capacity', [{ account: 'heavy', perSecond: 1000, tokens: 300 }, ...others(40, 10, 300)], 0.35]
  ])('%s, and each account at least a quarter as often as all', async (_name, loads, minOthers) => {
    const { byAccount, all } = await play(loads)
    expect(Math.min(...byAccount.values())).toBeGreaterThan(all / 4)
    byAccount.delete('heavy')
    expect(Math.min(...byAccount.values())).toBeGreaterThan(minOthers)
  })
})
