/**
 * Guards against counts that a new holder never learns, reports that do not fit into a line, and reports that repeat at each
 * second what the holder knows.
 */
import { beforeEach, expect, test } from '@jest/globals'
import { Result } from 'true-myth'
import { type AccountName, failure, type Failure, type HostId, type Incarnation, ManualClock, type RequestId } from '../common/index.js'
import { encodeLine, maxLineBytes } from '../placement/schedulerMessages.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { UsageWindows } from '../usage/windows/index.js'
import type { HostReport, HostReportAnswer } from './HostReport.js'
import { HostReportChannel, HostReporter, type HostReportReceiver } from './HostReporter.js'

const present = 1_700_000_000_000 / 5000

class Receiver implements HostReportReceiver {
  readonly reports: HostReport[] = []
  answer: Result<HostReportAnswer, Failure> = Result.ok({ settledThrough: undefined })

  async send (report: HostReport): Promise<Result<HostReportAnswer, Failure>> {
    this.reports.push(report)
    return this.answer
  }
}

class Channel extends HostReportChannel {
  current: Receiver | undefined = new Receiver()
  receiver (): Receiver | undefined { return this.current }
}

class JumpingClock extends ManualClock {
  jump = 0
  override wall (): number { return super.wall() + this.jump }
}

let clock: JumpingClock
let channel: Channel
let windows: UsageWindows
let reporter: HostReporter

beforeEach(() => {
  clock = new JumpingClock()
  channel = new Channel()
  windows = new UsageWindows({ clock, windowMilliseconds: 5000, settleMilliseconds: 2500 })
  reporter = new HostReporter({
    hostId: 'h1' as HostId,
    incarnation: '0123456789abcdef' as Incarnation,
    zone: 'a' as never,
    use: windows,
    demand: () => [],
    channel,
    clock,
    events: discardingEventLog(clock),
    phase: 0
  })
})

function run (request: string, account = 'reef'): void {
  windows.recordRun(account as AccountName, request as RequestId, clock.wall())
}

/** Makes a report; returns the windows that the receiver got, with their sums. */
async function report (receiver = channel.current!): Promise<Array<[number, number]>> {
  receiver.reports.length = 0
  await reporter.report(new AbortController().signal)
  return receiver.reports.flatMap(part => part.windows.map(({ window, counts }): [number, number] =>
    [window - present, counts.reduce((sum, [, count]) => sum + count, 0)]))
}

test('a window is sent when its counts have grown, and no longer once it is settled', async () => {
  run('r1')
  expect(await report()).toEqual([[0, 1]])
  expect(await report()).toEqual([])
  run('r2')
  channel.current!.answer = Result.ok({ settledThrough: present })
  expect(await report()).toEqual([[0, 2]])
  expect(windows.open()).toEqual([])
})

test.each<[string, () => void]>([
  ['another holder', () => { channel.current = new Receiver() }],
  ['a time without a holder', () => { channel.current = undefined }]
])('after %s all windows that are not settled are sent again', async (_name, change) => {
  run('r1')
  await clock.advance(5000)
  run('r2')
  await report()
  change()
  if (channel.current === undefined) await reporter.report(new AbortController().signal)
  channel.current ??= new Receiver()
  expect(await report()).toEqual([[0, 1], [1, 1]])
})

test('after a lost answer the same counts are sent again', async () => {
  run('r1')
  channel.current!.answer = Result.err(failure('not_ready', 'silent'))
  await report()
  channel.current!.answer = Result.ok({ settledThrough: undefined })
  expect(await report()).toEqual([[0, 1]])
})

test('a report of many accounts is split into lines, of which the last says that the windows are final', async () => {
  for (let index = 0; index < 2000; index += 1) run('r', `account-${String(index).padStart(200, '0')}`)
  expect((await report()).reduce((sum, [, count]) => sum + count, 0)).toBe(2000)
  const { reports } = channel.current!
  const longest = Math.max(...reports.map(part => Buffer.byteLength(encodeLine({ kind: 'report', id: '1', ...part }))))
  expect(longest).toBeLessThan(maxLineBytes)
  expect(reports.filter(({ finalWindow }) => finalWindow !== undefined)).toEqual([reports.at(-1)])
  expect(await report()).toEqual([])
})

test('a clock that was set is stated once', async () => {
  await report()
  clock.jump = -2000
  await report()
  expect(channel.current!.reports[0]!.clockSetMilliseconds).toBe(-2000)
  await report()
  expect(channel.current!.reports[0]!.clockSetMilliseconds).toBeUndefined()
})
