/**
 * Guards against two processes that act for one duty around a restore of the store from an older copy: with one fencing
 * number, with a lower number after a greater one, or in turns within the duration of the lease.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type Failure, failure, type FencingNumber, ManualClock } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { DutyGroup, GroupLease, type GroupMembership, maxConfirmationMilliseconds } from './GroupLease.js'

const durationMilliseconds = 3000
const renewMilliseconds = 1000

/** Numbers of one era of the fake store. */
const numbersPerEra = 1000

/** An action of a process, as the target saw it. */
interface Action { holder: string, fencingNumber: number, at: number }

/** State of a store with one duty; `restore` brings an earlier one back. */
class FakeGroupStore {
  era = 1
  generation = 1
  holder = 'a'
  isAway = false

  assign (holder: string): void {
    this.holder = holder
    this.generation += 1
  }

  /** Comes back with the given holder and the generation of the copy. */
  restore (holder: string, generation: number): void {
    this.era += 1
    this.holder = holder
    this.generation = generation
    this.isAway = false
  }
}

/** A process with its own clock, its own knowledge of the era, and its own link to the store. */
class Member extends DutyGroup {
  readonly clock: MemberClock
  readonly lease: GroupLease
  readonly lines: string[] = []
  era = 0
  isCutOff = false
  /** Time that each call to the store takes to the store and back, in milliseconds. */
  delays = { request: 0, response: 0 }

  constructor (readonly name: string, private readonly store: FakeGroupStore, readonly time: ManualClock) {
    super()
    this.clock = new MemberClock(time)
    const events = new EventLog({ timeline: new Timeline(name, new HybridClock(this.clock)), level: 'info', write: line => { this.lines.push(line) } })
    this.lease = new GroupLease({
      group: this,
      clock: this.clock,
      events,
      durationMilliseconds,
      renewMilliseconds,
      handoverMilliseconds: durationMilliseconds + maxConfirmationMilliseconds
    })
  }

  async join (): Promise<Result<GroupMembership, Failure>> {
    return await this.call(({ era, generation, holder }) =>
      ({ fencingNumber: era * numbersPerEra + generation as FencingNumber, holdsDuty: holder === this.name }))
  }

  async confirm (fencingNumber: FencingNumber): Promise<Result<boolean, Failure>> {
    const confirmed = await this.call(({ generation, holder }) =>
      holder === this.name && generation === fencingNumber % numbersPerEra)
    return confirmed.map(isHolder => isHolder && !this.isOutdated(fencingNumber))
  }

  isOutdated (fencingNumber: FencingNumber): boolean { return Math.floor(fencingNumber / numbersPerEra) !== this.era }
  describe (): Record<string, number> { return {} }
  async leave (): Promise<void> {}

  /** Answers from the state in which the store is when the request arrives. */
  private async call<Answer> (answer: (store: FakeGroupStore) => Answer): Promise<Result<Answer, Failure>> {
    await this.pass(this.delays.request)
    const isLost = this.isCutOff || this.store.isAway
    const { era } = this.store
    const answered = answer(this.store)
    await this.pass(this.delays.response)
    if (isLost || this.isCutOff || era < this.era) return Result.err(failure('platform_unavailable', 'no response'))
    this.era = era
    return Result.ok(answered)
  }

  private async pass (milliseconds: number): Promise<void> {
    if (milliseconds > 0) await this.time.sleep(milliseconds)
  }
}

/** Clock of one process, which can be suspended and set. */
class MemberClock extends ManualClock {
  wallOffset = 0

  constructor (private readonly time: ManualClock) { super() }

  override monotonic (): number { return this.time.monotonic() }
  override wall (): number { return this.time.wall() + this.wallOffset }
  override async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> { await this.time.sleep(milliseconds, signal) }
}

let time: ManualClock
let store: FakeGroupStore
let members: Member[]
let actions: Action[]

beforeEach(() => {
  time = new ManualClock()
  store = new FakeGroupStore()
  members = ['a', 'b'].map(name => new Member(name, store, time))
  actions = []
})

/** Lets each member act as often as it may, also in the middle of other steps. */
async function advance (milliseconds: number): Promise<void> {
  for (let elapsed = 0; elapsed < milliseconds; elapsed += 50) {
    for (const member of members) {
      member.lease.confirmedAuthority().then(fencingNumber => {
        if (fencingNumber !== undefined) actions.push({ holder: member.name, fencingNumber, at: time.monotonic() })
      }, () => {})
    }
    await time.advance(50)
  }
}

/** What the target objects to, as `ONE` has it. */
function violations (): string[] {
  return actions.slice(1).flatMap((action, index) => {
    const before = actions[index]!
    const text = `${before.holder} ${before.fencingNumber} at ${before.at}, ${action.holder} ${action.fencingNumber} at ${action.at}`
    if (action.fencingNumber < before.fencingNumber) return [`lower: ${text}`]
    if (action.holder === before.holder) return []
    if (action.fencingNumber === before.fencingNumber) return [`same: ${text}`]
    return action.at - before.at < durationMilliseconds ? [`turns: ${text}`] : []
  })
}

type Restore = [string, (a: Member, b: Member) => Promise<void>]

const restores: Restore[] = [
  ['the store is away for longer than a lease', async () => {
    store.isAway = true
    await advance(4000)
    store.restore('b', 1)
  }],
  ['the store is away for less than a renewal, so that no call fails', async () => { store.restore('b', 1) }],
  ['the other holder has the same generation', async () => { store.restore('b', store.generation) }],
  ['the holder stays the same, and another takes over at once', async () => {
    store.restore('a', 1)
    await advance(1200)
    store.assign('b')
  }],
  ['the holder is cut off from the store at the restore', async a => {
    a.isCutOff = true
    store.restore('b', store.generation)
    await advance(8000)
    a.isCutOff = false
  }],
  ['the holder is cut off while another acts, and a second restore brings it back', async a => {
    a.isCutOff = true
    store.restore('b', store.generation)
    await advance(7000)
    store.restore('a', 1)
    a.isCutOff = false
  }],
  ['the holder is cut off while another acts in one era, and gets the duty back', async a => {
    a.isCutOff = true
    await advance(3500)
    store.assign('b')
    await advance(6000)
    store.assign('a')
    a.isCutOff = false
  }],
  ['the wall clock of the holder is set at the restore', async a => {
    a.clock.wallOffset = 5000
    store.restore('b', 1)
    await advance(1000)
    a.clock.wallOffset = -5000
  }],
  ['the holder changes twice: to the other with the first restore, back with a second one from an older copy', async () => {
    store.restore('b', 2)
    await advance(4000)
    store.restore('a', 1)
  }],
  ['a second restore follows at once and brings the holder back', async () => {
    store.restore('b', store.generation)
    await advance(200)
    store.restore('a', store.generation)
  }],
  ['the duty moves on in the lost seconds and moves again in the same way', async () => {
    store.assign('b')
    await advance(500)
    store.restore('a', 1)
    await advance(5000)
    store.assign('b')
  }],
  ['responses take long', async a => {
    a.delays = { request: 0, response: 650 }
    await advance(2500)
    store.restore('b', store.generation)
  }],
  ['a response to the holder and requests of the next one take long', async (a, b) => {
    a.delays = { request: 0, response: 650 }
    b.delays = { request: 690, response: 0 }
    await advance(4000)
    store.restore('b', store.generation)
    await advance(100)
    b.delays = { request: 0, response: 0 }
  }],
  ['requests of the next holder take long', async (_a, b) => {
    b.delays = { request: 690, response: 0 }
    await advance(2500)
    store.restore('b', store.generation)
  }]
]

// Workers that do not check fencing numbers obey whoever orders.
test.each(restores)('no two processes act around a restore when %s', async (_name, restore) => {
  for (const { lease } of members) lease.start()
  store.generation = 5
  await advance(7000)
  expect(actions.length).toBeGreaterThan(0)
  await restore(members[0]!, members[1]!)
  await advance(12_000)
  expect(violations()).toEqual([])
  // The duty does not stay without a holder.
  expect(actions.filter(({ at }) => at > time.monotonic() - 1000)).not.toEqual([])
  const stopped = Promise.all(members.map(async ({ lease }) => { await lease.stop() }))
  await time.advance(2000)
  await stopped
})
