/**
 * Guards against counts that repeated or reordered messages change, and against windows that are decided too early or wait
 * for hosts that are gone.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { type HostId, type Incarnation, ManualClock } from '../../common/index.js'
import type { HostReport } from '../../duties/index.js'
import { UsageCollector } from './UsageCollector.js'

const present = 1_700_000_000_000 / 5000
let clock: ManualClock
let collector: UsageCollector

beforeEach(() => {
  clock = new ManualClock(1_700_000_000_000)
  collector = new UsageCollector({ clock, windowMilliseconds: 5000 })
})

function receive (host: string, count: number, fields: Partial<HostReport> = {}): void {
  collector.receive({
    host: host as HostId,
    incarnation: '1' as Incarnation,
    zone: 'a' as never,
    at: clock.wall(),
    windows: [{ window: present, counts: [['reef' as never, count]] }],
    demand: [],
    ...fields
  })
}

test.each<[string, () => void, number]>([
  ['a repeated message', () => { receive('h1', 5); receive('h1', 5) }, 5],
  ['a message that arrives after a newer one', () => { receive('h1', 7); receive('h1', 5) }, 7],
  ['two hosts', () => { receive('h1', 5); receive('h2', 2) }, 7],
  ['a restarted host', () => { receive('h1', 5); receive('h1', 2, { incarnation: '2' as Incarnation }) }, 7],
  ['a host that is silent since', () => { receive('h1', 5); receive('h2', 2, { windows: [] }) }, 5]
])('counts after %s', (_name, arrange, total) => {
  arrange()
  expect(collector.counts(present)).toEqual({ counts: { reef: total }, total })
})

test('a window is final once all hosts say so, without those that have been silent for 3 s', async () => {
  receive('h1', 1, { finalWindow: present })
  receive('killed', 1, { finalWindow: present - 1 })
  expect(collector.isFinal(present)).toBe(false)
  await clock.advance(3001)
  receive('h1', 1, { finalWindow: present })
  expect(collector.isFinal(present)).toBe(true)
  expect(collector.counts(present).total).toBe(2)
})

test('the clock is corrected only if most hosts disagree with it clearly', () => {
  receive('h1', 1, { at: clock.wall() + 3_600_000 })
  receive('h2', 1, { at: clock.wall() - 20 })
  receive('h3', 1, { at: clock.wall() - 30 })
  expect(collector.clockCorrection()).toBe(0)
  receive('h3', 1, { at: clock.wall() + 3_600_000 })
  expect(collector.clockCorrection()).toBe(3_600_000)
})

test('a clock that was set ahead and back does not hide the present window', () => {
  for (let window = 0; window < 20; window += 1) {
    const far = present + 720 + window
    receive('h1', 1, { at: far * 5000, windows: [{ window: far, counts: [['reef' as never, 1]] }] })
  }
  receive('h1', 4)
  expect(collector.counts(present).total).toBe(4)
})
