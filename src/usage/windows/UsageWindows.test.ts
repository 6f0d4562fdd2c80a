/**
 * Guards against requests that count twice, requests that are missing in a window that the host calls final, and counts of
 * a wrong clock that push out those of the present.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { type AccountName, ManualClock, type RequestId } from '../../common/index.js'
import { UsageWindows } from './UsageWindows.js'
import { maxKeptWindows } from './windowOf.js'

const reef = 'reef' as AccountName
let clock: ManualClock
let windows: UsageWindows
let present: number

beforeEach(() => {
  clock = new ManualClock(1_700_000_000_000)
  windows = new UsageWindows({ clock, windowMilliseconds: 5000, settleMilliseconds: 2500 })
  present = 1_700_000_000_000 / 5000
})

function record (request: string, at = clock.wall(), account = reef): void {
  windows.recordRun(account, request as RequestId, at)
}

test('requests count once for their account, in the window in which they began', () => {
  record('r1')
  record('r1')
  record('r2', clock.wall() + 5000)
  record('r1', clock.wall(), 'bay' as AccountName)
  expect(windows.open()).toEqual([
    { window: present, counts: [['reef', 1], ['bay', 1]] },
    { window: present + 1, counts: [['reef', 1]] }
  ])
})

// Guards against a window that is decided while requests that were sent in it still wait for their answers.
test('a window is final only some time after its end', async () => {
  await clock.advance(7499)
  expect(windows.finalWindow).toBe(present - 1)
  await clock.advance(1)
  expect(windows.finalWindow).toBe(present)
})

test('settled windows are dropped, and later requests of them are counted as missed', () => {
  record('r1')
  windows.settle(present)
  record('r2')
  expect(windows.open()).toEqual([])
  expect(windows.missed).toBe(1)
})

test('counts of a clock that was set ahead do not push out those of the present', () => {
  for (let window = 0; window < 2 * maxKeptWindows; window += 1) record(`ahead-${window}`, clock.wall() + 3_600_000 + window * 5000)
  record('r1')
  expect(windows.open()).toHaveLength(maxKeptWindows)
  expect(windows.open()[0]).toEqual({ window: present, counts: [['reef', 1]] })
})
