/**
 * Guards against a window that is reported with two contents, the worst of all faults, and against windows that are missed
 * when the holder changes, responses are lost, the store comes back from an older copy, or a clock is set.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import {
  type ErrorKind, type Failure, failure, type FencingNumber, type HostId, type Incarnation, ManualClock
} from '../../common/index.js'
import type { UsageReport } from '../../duties/index.js'
import { discardingEventLog } from '../../streams/testSupport.js'
import { UsageCollector } from './UsageCollector.js'
import { type JournalContent, type JournalPosition, UsageJournal, type JournalView } from './UsageJournal.js'
import { UsageReporter } from './UsageReporter.js'

const windowMilliseconds = 5000
const lateMilliseconds = 10_000
const first = 1_700_000_000_000 / windowMilliseconds

/** What the hosts share: the appended states, in one list per restore. */
class SharedJournal {
  appends: JournalContent[] = []
  /** Number of appends that the present copy of the store has from before the latest restore. */
  restoredFrom = 0
  era = 1
  completeSince = 1_700_000_000_000
  /** How the next appends end: `lost`: executed, but without a response; `refused`: not executed. */
  nextAppends: Array<'lost' | 'refused'> = []

  /** Comes back with the first appends alone. */
  restore (kept: number, at: number): void {
    this.appends = this.appends.slice(0, kept)
    this.restoredFrom = kept
    this.era += 1
    this.completeSince = at
  }
}

class TestJournal extends UsageJournal {
  constructor (private readonly shared: SharedJournal) { super() }

  isOutdated (position: JournalPosition): boolean {
    return (position as { era: number }).era !== this.shared.era
  }

  async read (): Promise<Result<JournalView, Failure>> {
    const { appends, era, restoredFrom, completeSince } = this.shared
    const mayLackWindows = appends.length <= restoredFrom
    const completeForMilliseconds = clock.wall() - completeSince
    return Result.ok({ content: appends.at(-1), position: { end: appends.length, era }, mayLackWindows, completeForMilliseconds })
  }

  async append (content: JournalContent, position: JournalPosition): Promise<Result<JournalPosition, Failure>> {
    const { appends, era, nextAppends } = this.shared
    const { end, era: readEra } = position as { end: number, era: number }
    const outcome = end === appends.length && readEra === era ? nextAppends.shift() : 'refused'
    if (outcome !== 'refused') appends.push(structuredClone(content))
    return outcome === undefined
      ? Result.ok({ end: end + 1, era })
      : Result.err(failure('platform_unavailable', `the append was ${outcome}`))
  }
}

/** The platform: executes reports whose token is not outdated, in the order of the calls. */
class SharedPlatform {
  readonly calls: Array<{ window: number, token: number }> = []
  readonly contents = new Map<number, Set<string>>()
  /** How the next calls end; `outcome_unknown` is executed. */
  nextErrors: ErrorKind[] = []
  greatestToken = 0
  /** Window whose reports are not executed. */
  failingWindow: number | undefined

  async reportUsage ({ window, counts }: UsageReport, token: FencingNumber): Promise<Result<void, Failure>> {
    this.calls.push({ window, token })
    if (token < this.greatestToken) return Result.err(failure('lost_authority', 'outdated'))
    this.greatestToken = token
    const error = window === this.failingWindow ? 'platform_unavailable' : this.nextErrors.shift()
    if (error === undefined || error === 'outcome_unknown') {
      this.contents.set(window, (this.contents.get(window) ?? new Set()).add(JSON.stringify(counts)))
    }
    return error === undefined ? Result.ok(undefined) : Result.err(failure(error, error))
  }

  /** The contents of the windows that were reported, by their number from the first one on. */
  get reported (): Record<number, string[]> {
    return Object.fromEntries([...this.contents].map(([window, contents]) => [window - first, [...contents]]))
  }
}

/** A host that may hold the duty; `token` is its fencing number while it does. */
class Holder {
  token: number | undefined
  confirms = true
  wallOffset = 0
  readonly collector: UsageCollector
  readonly reporter: UsageReporter
  readonly refusedTokens: number[] = []

  constructor (readonly name: string) {
    const own = new OffsetClock(() => this.wallOffset)
    this.collector = new UsageCollector({ clock: own, windowMilliseconds })
    this.reporter = new UsageReporter({
      lease: {
        authority: () => this.token as FencingNumber | undefined,
        confirmedAuthority: async () => this.confirms ? this.token as FencingNumber | undefined : undefined,
        handleRefusal: token => {
          this.refusedTokens.push(token)
          this.token = undefined
        }
      },
      journal: new TestJournal(journal),
      platform,
      collector: this.collector,
      clock: own,
      events: discardingEventLog(clock),
      windowMilliseconds,
      lateMilliseconds
    })
    this.reporter.start()
    holders.push(this)
  }

  /** Takes the report of a host with its count of a window, numbered from the first one on. */
  hear (host: string, window: number, count: number, finalWindow = window): void {
    const counts: Array<[never, number]> = [['reef' as never, count]]
    this.collector.receive({
      host: host as HostId,
      incarnation: host as Incarnation,
      zone: 'a' as never,
      at: clock.wall(),
      windows: [{ window: first + window, counts }],
      finalWindow: first + finalWindow,
      demand: []
    })
  }
}

/** The clock of all hosts, on one of them with another time of day. */
class OffsetClock extends ManualClock {
  constructor (private readonly offset: () => number) { super() }
  override monotonic (): number { return clock.monotonic() }
  override wall (): number { return clock.wall() + this.offset() }
  override async sleep (milliseconds: number, signal?: AbortSignal): Promise<void> { await clock.sleep(milliseconds, signal) }
}

let clock: ManualClock
let journal: SharedJournal
let platform: SharedPlatform
let holders: Holder[]
let a: Holder
let b: Holder

beforeEach(() => {
  clock = new ManualClock()
  journal = new SharedJournal()
  platform = new SharedPlatform()
  holders = []
  a = new Holder('a')
  b = new Holder('b')
  a.token = 5
})

afterEach(async () => { await Promise.all(holders.map(async ({ reporter }) => await reporter.stop())) })

/** Passes time, in which a host repeats its report to the holder once a second. */
async function pass (milliseconds: number, report: () => void): Promise<void> {
  for (let passed = 0; passed < milliseconds; passed += 1000) {
    report()
    await clock.advance(Math.min(1000, milliseconds - passed))
  }
}

/** Gives the duty to the other host. */
function handOver (): void {
  a.token = undefined
  b.token = 6
}

const content = (count: number): string[] => [JSON.stringify({ reef: count })]

test('a window is reported once its counts are final, with the sum of all hosts', async () => {
  await pass(5000, () => { a.hear('h1', 0, 3, -1); a.hear('h2', 0, 4, -1) })
  expect(platform.calls).toEqual([])
  await pass(1000, () => { a.hear('h1', 0, 5); a.hear('h2', 0, 4) })
  expect(platform.reported).toEqual({ 0: content(9) })
  expect(a.reporter.settledThrough).toBe(first)
})

// Guards against one silent host that makes the report late, and against a report without it long before that.
test('a host that does not finish a window delays it until 6 s after its end', async () => {
  const report = (): void => { a.hear('h1', 0, 3); a.hear('frozen', 0, 4, -1) }
  await pass(10_000, report)
  expect(platform.calls).toEqual([])
  await pass(1500, report)
  expect(platform.reported).toEqual({ 0: content(7) })
})

test('after a change of the holder in the middle of a window, the new one reports it with all counts, and repeats nothing', async () => {
  await pass(6000, () => { a.hear('h1', 0, 3) })
  await pass(2000, () => { a.hear('h1', 1, 1, 0); a.hear('h2', 1, 2, 0) })
  handOver()
  await pass(4000, () => { b.hear('h1', 1, 3, 0); b.hear('h2', 1, 4, 0) })
  await pass(1000, () => { b.hear('h1', 1, 3); b.hear('h2', 1, 4) })
  expect(platform.reported).toEqual({ 0: content(3), 1: content(7) })
  expect(platform.calls.map(({ token }) => token)).toEqual([5, 6, 6])
})

// Guards against a holder that decides on the counts of the first hosts which have found it.
test('a new holder waits for hosts that the one before had heard, up to 8 s after the end of a window', async () => {
  await pass(6000, () => { for (const host of ['h1', 'h2', 'h3']) a.hear(host, 0, 1) })
  handOver()
  await pass(6000, () => { b.hear('h1', 1, 1) })
  expect(platform.reported[1]).toBeUndefined()
  await pass(1000, () => { for (const host of ['h1', 'h2', 'h3']) b.hear(host, 1, 1) })
  expect(platform.reported[1]).toEqual(content(3))
})

// Guards against a first report from the host alone that found the holder first.
test('without a window before, a new holder waits 3 s for the hosts to find it', async () => {
  a.token = undefined
  await clock.advance(5500)
  b.token = 6
  await pass(2000, () => { b.hear('h1', 0, 1) })
  expect(platform.calls).toEqual([])
  await pass(2000, () => { b.hear('h1', 0, 1); b.hear('h2', 0, 1) })
  expect(platform.reported).toEqual({ 0: content(2) })
})

describe('one content for each window', () => {
  test('an append whose response was lost is read back, and reported as it was written', async () => {
    journal.nextAppends = ['lost']
    await pass(5100, () => { a.hear('h1', 0, 3) })
    await pass(2000, () => { a.hear('h1', 0, 9) })
    expect(platform.reported).toEqual({ 0: content(3) })
  })

  test('a window that the former holder wrote but did not report is reported unchanged by the next', async () => {
    platform.nextErrors = ['platform_unavailable']
    await pass(5100, () => { a.hear('h1', 0, 3) })
    handOver()
    await pass(3000, () => { b.hear('h1', 0, 9) })
    expect(platform.reported).toEqual({ 0: content(3) })
  })

  // Guards against a host that has lost the duty without knowing it.
  test('the append of a host that has lost the duty fails, and it reports nothing', async () => {
    await pass(4000, () => { a.hear('h1', 0, 3, -1) })
    b.token = 6
    await pass(4000, () => { b.hear('h1', 0, 4) })
    a.confirms = false
    await pass(4000, () => { a.hear('h1', 0, 3); b.hear('h1', 1, 4) })
    expect(platform.reported[0]).toEqual(content(4))
    expect(platform.calls.every(({ token }) => token === 6)).toBe(true)
  })

  test('a report whose response was lost is repeated with the same content', async () => {
    platform.nextErrors = ['outcome_unknown', 'outcome_unknown']
    await pass(5100, () => { a.hear('h1', 0, 3) })
    await pass(3000, () => { a.hear('h1', 0, 9) })
    expect(platform.calls).toHaveLength(3)
    expect(platform.reported).toEqual({ 0: content(3) })
  })

  test('after the store lost a window that was reported, another host does not report it', async () => {
    await pass(6000, () => { a.hear('h1', 0, 3) })
    await pass(5000, () => { a.hear('h1', 1, 4) })
    expect(Object.keys(platform.reported)).toEqual(['0', '1'])
    journal.restore(1, clock.wall())
    handOver()
    await pass(7000, () => { b.hear('h1', 1, 9); b.hear('h1', 2, 5) })
    expect(platform.reported).toEqual({ 0: content(3), 1: content(4), 2: content(5) })
    expect(b.reporter.settledThrough).toBe(first + 2)
  })

  test('after the store lost a window that was not reported, the host that wrote it writes it again and reports it', async () => {
    await pass(6000, () => { a.hear('h1', 0, 3) })
    platform.nextErrors = Array<ErrorKind>(6).fill('platform_unavailable')
    await pass(5000, () => { a.hear('h1', 1, 4) })
    expect(platform.reported[1]).toBeUndefined()
    a.token = undefined
    await clock.advance(1000)
    journal.restore(1, clock.wall())
    platform.nextErrors = []
    a.token = 7
    await pass(2000, () => { a.hear('h1', 1, 9) })
    expect(platform.reported).toEqual({ 0: content(3), 1: content(4) })
    expect(journal.appends.at(-1)).toMatchObject({ through: first + 1, windows: [{ window: first + 1, counts: { reef: 4 } }] })
  })
})

// Guards against an older window whose report keeps failing and makes all later ones late.
test('a window whose report keeps failing does not hold up the next ones', async () => {
  platform.failingWindow = first
  await pass(9000, () => { a.hear('h1', 0, 3) })
  await pass(3000, () => { a.hear('h1', 1, 4) })
  expect(platform.reported).toEqual({ 1: content(4) })
  platform.failingWindow = undefined
  await pass(3000, () => { a.hear('h1', 1, 4) })
  expect(platform.reported).toEqual({ 0: content(3), 1: content(4) })
})

test('while the journal cannot be written no window is reported, and afterwards the newest twelve follow in order', async () => {
  journal.nextAppends = Array<'refused'>(1000).fill('refused')
  await pass(100_000, () => { a.hear('h1', 0, 1, 19) })
  expect(platform.calls).toEqual([])
  journal.nextAppends = []
  await pass(3000, () => { a.hear('h1', 19, 2) })
  expect(Object.keys(platform.reported).map(Number)).toEqual(Array.from({ length: 12 }, (_, index) => index + 8))
  expect(a.reporter.totals).toMatchObject({ reported: 12, late: 10 })
})

// Guards against a call that the platform executes after one with a greater token, when it does not check tokens.
test('after a report without a response, none with a greater token is sent for one lease', async () => {
  platform.nextErrors = ['outcome_unknown']
  await pass(5100, () => { a.hear('h1', 0, 3) })
  expect(platform.calls).toHaveLength(1)
  a.token = 6
  await pass(2800, () => { a.hear('h1', 0, 3) })
  expect(platform.calls).toHaveLength(1)
  await pass(1000, () => { a.hear('h1', 0, 3) })
  expect(platform.calls.map(({ token }) => token)).toEqual([5, 6])
})

// Guards against a holder that goes on with a token that the platform has refused.
test('a refusal for a greater token ends the duty of the holder at once', async () => {
  platform.greatestToken = 6
  await pass(8000, () => { a.hear('h1', 0, 3) })
  expect(platform.calls).toHaveLength(1)
  expect(a.refusedTokens).toEqual([5])
})

test('no report is sent while the store does not confirm the duty', async () => {
  a.confirms = false
  await pass(7000, () => { a.hear('h1', 0, 3) })
  expect(platform.calls).toEqual([])
  a.confirms = true
  await pass(3000, () => { a.hear('h1', 0, 3) })
  expect(platform.reported).toEqual({ 0: content(3) })
})

test('the counts that a killed host has reported are in the report of its last window', async () => {
  await pass(2000, () => { a.hear('killed', 0, 2, -1) })
  await pass(4000, () => { a.hear('h1', 0, 3, clock.wall() >= 1_700_000_005_000 ? 0 : -1) })
  expect(platform.reported).toEqual({ 0: content(5) })
})

// Guards against a holder that reports windows which have not begun.
test.each([['ahead', 3_600_000], ['back', -3_600_000]])('a holder whose clock was set %s reports the windows of the other hosts', async (_name, offset) => {
  a.wallOffset = offset
  await pass(6000, () => { for (const host of ['h1', 'h2']) a.hear(host, 0, 3) })
  expect(platform.reported).toEqual({ 0: content(6) })
})
