/** Guards against bodies that are read beyond the limits, or refused although they are within them. */
import { expect, test } from '@jest/globals'
import { EventEmitter } from 'node:events'
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import { PassThrough } from 'node:stream'
import { ManualClock } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import { ConnectionIntake } from './ConnectionIntake.js'
import { MemoryBudget } from './MemoryBudget.js'
import { RefusalLog } from './RefusalLog.js'
import { RequestIntake } from './RequestIntake.js'

const maxBytes = 1000

function start (headers: Record<string, string>, capacity = 1_000_000) {
  const clock = new ManualClock()
  const lines: string[] = []
  const events = new EventLog({ timeline: new Timeline('test', new HybridClock(clock)), level: 'info', write: line => { lines.push(line) } })
  const socket = Object.assign(new EventEmitter(), { pause: () => {}, resume: () => {}, destroy: () => {} }) as unknown as Socket
  const connection = new ConnectionIntake(socket, 2, 0)
  const response = Object.assign(new EventEmitter(), { setHeader: () => {}, socket: null as Socket | null })
  const message = Object.assign(new PassThrough(), { headers, rawHeaders: [] })
  const budget = new MemoryBudget(capacity, clock)
  const refusals = new RefusalLog(clock, events)
  const intake = new RequestIntake({
    message: message as unknown as IncomingMessage,
    response: response as unknown as ServerResponse,
    connection,
    budget,
    clock,
    refusals
  })
  return { clock, lines, refusals, message, response, socket, intake, budget, connection, result: intake.readBody(maxBytes) }
}

test.each<[string, Record<string, string>, string[], string | undefined]>([
  ['no body', {}, [], undefined],
  ['an empty body', { 'content-length': '0' }, [], ''],
  ['a body of the limit', { 'transfer-encoding': 'chunked' }, ['a'.repeat(600), 'b'.repeat(400)], 'a'.repeat(600) + 'b'.repeat(400)]
])('a request with %s is read', async (_name, headers, chunks, expected) => {
  const { message, result, budget, intake } = start(headers)
  for (const chunk of chunks) message.write(chunk)
  message.end()
  expect((await result).map(body => body?.toString())).toMatchObject({ value: expected })
  intake.close()
  expect(budget.usedBytes).toBe(0)
})

test.each<[string, Record<string, string>, string]>([
  ['announced', { 'content-length': '1001' }, ''],
  ['sent', { 'transfer-encoding': 'chunked' }, 'x'.repeat(1001)]
])('a body over the limit that is %s is refused, and the connection is not read any more', async (_name, headers, chunk) => {
  const { message, result, connection } = start(headers)
  if (chunk !== '') message.write(chunk)
  expect((await result).mapErr(({ kind }) => kind)).toMatchObject({ error: 'body_too_large' })
  expect(connection.gate.isHeld).toBe(true)
})

// Guards against bodies that stop just short of their end and hold their memory and connection.
test('a body that stops is refused as not run, and one that goes on is not', async () => {
  const { clock, message, intake, result } = start({ 'transfer-encoding': 'chunked' })
  message.write('x'.repeat(800))
  await new Promise(resolve => setImmediate(resolve))
  await clock.advance(900)
  intake.checkProgress(1000)
  await clock.advance(1000)
  intake.checkProgress(1000)
  expect((await result).mapErr(({ kind }) => kind)).toMatchObject({ error: 'body_timeout' })
})

test('a body that arrives slowly is refused after a minute of reading, without the time in which it is not read', async () => {
  const { clock, message, intake, connection, result } = start({ 'transfer-encoding': 'chunked' })
  let isRefused = false
  result.then(({ isErr }) => { isRefused = isErr }, () => {})
  const check = async (milliseconds: number): Promise<boolean> => {
    await clock.advance(milliseconds)
    intake.checkProgress(100_000)
    await new Promise(resolve => setImmediate(resolve))
    return isRefused
  }
  message.write('x')
  expect(await check(59_000)).toBe(false)
  connection.gate.hold('requests')
  expect(await check(60_000)).toBe(false)
  connection.gate.release('requests')
  expect(await check(999)).toBe(false)
  expect(await check(1)).toBe(true)
  expect((await result).mapErr(({ kind }) => kind)).toMatchObject({ error: 'body_timeout' })
})

test('a response counts as unread only from when it is sent on the connection', async () => {
  const { clock, message, intake, response, socket, result } = start({})
  message.end()
  await result
  intake.beginSending()
  await clock.advance(1000)
  expect(intake.waitsForClientSince).toBe(undefined)
  response.socket = socket
  intake.checkProgress(1000)
  expect(intake.waitsForClientSince).toBe(1000)
  intake.endSending()
  intake.checkProgress(1000)
  expect(intake.waitsForClientSince).toBe(undefined)
})

test('a body that the budget refuses ends as overloaded, and the log says so once a second', async () => {
  const { message, result, lines } = start({ 'transfer-encoding': 'chunked' }, 7000)
  message.write('x'.repeat(100))
  expect((await result).mapErr(({ kind }) => kind)).toMatchObject({ error: 'overloaded' })
  expect(lines.filter(line => /event=clients_refused reason=memory count=1/.test(line))).toHaveLength(1)
})

test('lines about refused requests are left out above a rate, and counted', async () => {
  const { clock, refusals } = start({})
  const lines = Array.from({ length: 150 }, () => refusals.takeLine())
  expect(lines.filter(omitted => omitted !== undefined)).toHaveLength(100)
  await clock.advance(1000)
  expect([refusals.takeLine(), refusals.takeLine()]).toEqual([50, 0])
})
