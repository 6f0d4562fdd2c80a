/**
 * Guards against reports that hang on a host which is no holder any more, and against harm to a host of an earlier version,
 * which closes a connection that carries a report.
 */
import { type AddressInfo, createServer, type Server } from 'node:net'
import { afterEach, beforeEach, expect, test } from '@jest/globals'
import { type HostId, type Incarnation, ManualClock, SystemClock } from '../common/index.js'
import type { HostReport, HostReportAnswer } from '../duties/index.js'
import { type PromptScheduler, SchedulerListener } from '../placement/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { DutyReportChannel } from './DutyReportChannel.js'

const report: HostReport = {
  host: 'h1' as HostId,
  incarnation: '0123456789abcdef' as Incarnation,
  zone: 'a' as never,
  at: 1_700_000_000_000,
  windows: [{ window: 3, counts: [['reef' as never, 2]] }],
  finalWindow: 2,
  demand: [{ pool: 'llm' as never, openPrompts: 1.5, openAnswers: 4, computedPrompts: 5, refusedPrompts: 1 }]
}

let clock: ManualClock
let listener: SchedulerListener
let oldHost: Server
let received: HostReport[]
let answer: HostReportAnswer | undefined
let holder: string | undefined
let holds: boolean
let failures: number
let channel: DutyReportChannel

beforeEach(async () => {
  clock = new ManualClock()
  received = []
  answer = { settledThrough: 1 }
  holds = false
  failures = 0
  const system = new SystemClock()
  listener = new SchedulerListener({
    address: '127.0.0.1:0',
    scheduler: {} as PromptScheduler,
    schedules: () => false,
    grantsPermits: () => false,
    sharingHosts: () => 1,
    receiveReport: sent => {
      received.push(sent)
      return answer
    },
    clock: system,
    events: discardingEventLog(system)
  })
  await listener.listen()
  oldHost = createServer(socket => { socket.on('data', () => { socket.destroy() }) })
  await new Promise<void>(resolve => { oldHost.listen(0, '127.0.0.1', resolve) })
  holder = listener.address
  channel = new DutyReportChannel({
    directory: { orderHolder: () => holder, reportFailure: () => { failures += 1 } },
    isHolder: () => holds,
    receive: () => answer,
    clock
  })
})

afterEach(async () => {
  channel.close()
  await listener.stop()
  oldHost.close()
})

async function send (): Promise<HostReportAnswer | string> {
  const receiver = channel.receiver()
  if (receiver === undefined) return 'no receiver'
  const sent = await receiver.send(report, new AbortController().signal)
  return sent.isOk ? sent.value : sent.error.kind
}

test('a report reaches the holder unchanged over one connection, which does not count as a host that asks the scheduler', async () => {
  const receiver = channel.receiver()
  expect([await send(), await send()]).toEqual([{ settledThrough: 1 }, { settledThrough: 1 }])
  expect(received).toEqual([report, report])
  expect(channel.receiver()).toBe(receiver)
  expect(listener.hosts).toBe(1)
})

test('the holder itself takes its report without a connection', async () => {
  holds = true
  expect(await send()).toEqual({ settledThrough: 1 })
  expect(received).toEqual([])
})

// Guards also against a call to the store from each host before the store can name another holder.
test.each<[string, () => void, string, number[]]>([
  ['does not hold the duties', () => { answer = undefined }, 'conflict', [1, 2, 3, 4]],
  [
    'closes the connection, since it does not know reports',
    () => { holder = `127.0.0.1:${(oldHost.address() as AddressInfo).port}` },
    'not_ready',
    [0, 0, 0, 1]
  ]
])('a host that %s is asked again only after growing pauses', async (_name, arrange, kind, lookups) => {
  arrange()
  for (const [attempt, count] of lookups.entries()) {
    expect([await send(), await send()]).toEqual([kind, 'no receiver'])
    expect(failures).toBe(count)
    await clock.advance(500 * 2 ** attempt - 1)
    expect(await send()).toBe('no receiver')
    await clock.advance(1)
  }
  answer = { settledThrough: 7 }
  holder = '127.0.0.1:1'
  channel.receiver()
  holder = listener.address
  expect(await send()).toEqual({ settledThrough: 7 })
})
