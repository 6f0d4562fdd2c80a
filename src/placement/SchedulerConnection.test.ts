/**
 * Guards against questions that hang on a scheduler that is frozen, gone or no scheduler any more, against prompts that
 * stay in its queue after their host has left, and against input that is no message taking up memory or the process.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { type Clock, ManualClock, type Pool, SystemClock, type WorkerId } from '../common/index.js'
import { discardingEventLog } from '../streams/testSupport.js'
import { HeldParts } from './HeldParts.js'
import { type PlacementCell, PromptScheduler } from './PromptScheduler.js'
import type { PromptTask } from './PromptTask.js'
import { SchedulerConnection } from './SchedulerConnection.js'
import { SchedulerListener } from './SchedulerListener.js'
import { encodeLine, maxLineBytes } from './schedulerMessages.js'

const clock = new SystemClock()
const cell: PlacementCell = { pool: 'llm' as Pool, zone: undefined }
const otherCell: PlacementCell = { pool: 'other' as Pool, zone: undefined }

let scheduler: PromptScheduler
let listener: SchedulerListener
let connections: SchedulerConnection[]
let workers: Array<{ id: WorkerId, zone: never }>

function createScheduler (clock: Clock): PromptScheduler {
  workers = [{ id: 'w0' as WorkerId, zone: 'a' as never }]
  return new PromptScheduler({
    clock,
    events: discardingEventLog(clock),
    held: new HeldParts(),
    workers: () => workers,
    holders: () => workers,
    answerWorkers: () => [],
    costs: { tokensPerMillisecond: 50, baseMilliseconds: 70, fetchedTokensPerMillisecond: 1000 }
  })
}

beforeEach(async () => {
  const events = discardingEventLog(clock)
  scheduler = createScheduler(clock)
  listener = new SchedulerListener({
    address: '127.0.0.1:0', scheduler, schedules: ({ pool }) => pool === cell.pool, grantsPermits: ({ pool }) => pool === cell.pool, sharingHosts: () => 1, clock, events
  })
  await listener.listen()
  connections = []
})

afterEach(async () => {
  for (const connection of connections) connection.close('the test ended')
  await listener.stop()
})

function open (address = listener.address): SchedulerConnection {
  const connection = new SchedulerConnection(address, clock)
  connections.push(connection)
  return connection
}

function taskOf (id: string, tokens = 500): PromptTask {
  const now = clock.monotonic()
  return { id, parts: [id], partTokens: [tokens], dueAt: now + 30_000, lostAt: now + 60_000 }
}

const never = new AbortController().signal

async function waitUntil (condition: () => boolean): Promise<void> {
  while (!condition()) await new Promise(resolve => setTimeout(resolve, 5))
}

describe('a question', () => {
  test('is answered with the worker, and the next one waits until the end of the first was reported', async () => {
    const connection = open()
    expect((await connection.place(cell, taskOf('a', 1_000_000), never)).unwrapOr(undefined)).toMatchObject({ kind: 'placed', worker: 'w0' })
    const second = connection.place(cell, taskOf('b'), never)
    await waitUntil(() => scheduler.waitingCount === 1)
    connection.end(cell, 'a', 'computed')
    expect((await second).unwrapOr(undefined)).toMatchObject({ kind: 'placed', worker: 'w0' })
  })

  // Guards against prompts whose account is lost on the way, so that all of them share one account's part of the workers.
  test.each(['kiosk', undefined])('states the account %s of its prompt', async account => {
    const tasks: PromptTask[] = []
    const { place } = scheduler
    scheduler.place = async (cell, task, limits) => {
      tasks.push(task)
      return await place.call(scheduler, cell, task, limits)
    }
    expect((await open().place(cell, { ...taskOf('a'), account }, never)).isOk).toBe(true)
    expect(tasks.map(task => task.account)).toEqual([account])
  })

  test('about a cell that the host does not schedule fails with not_ready', async () => {
    const answer = await open().place(otherCell, taskOf('a'), never)
    expect(answer.isErr && answer.error.kind).toBe('not_ready')
  })

  test.each([
    ['its caller leaves', (_connection: SchedulerConnection, caller: AbortController) => caller.abort()],
    ['its connection closes', (connection: SchedulerConnection) => connection.close('test')]
  ])('leaves the queue of the scheduler when %s', async (_name, leave) => {
    const connection = open()
    await connection.place(cell, taskOf('a', 1_000_000), never)
    const caller = new AbortController()
    const waiting = connection.place(cell, taskOf('b'), caller.signal)
    await waitUntil(() => scheduler.waitingCount === 1)
    leave(connection, caller)
    expect((await waiting).isErr).toBe(true)
    await waitUntil(() => scheduler.waitingCount === 0)
  })

  test('fails with not_ready when the scheduler refuses the connection', async () => {
    const { address } = listener
    await listener.stop()
    const answer = await open(address).place(cell, taskOf('a'), never)
    expect(answer.isErr && answer.error.kind).toBe('not_ready')
    await listener.listen()
  })
})

describe('a scheduler that misbehaves', () => {
  let server: Server
  let sockets: Socket[]

  afterEach(async () => {
    for (const socket of sockets) socket.destroy()
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  })

  test.each([
    ['accepts the connection and falls silent', () => {}],
    ['sends bytes without end that are no line', (socket: Socket) => {
      const flood = (): void => { if (!socket.destroyed) socket.write('x'.repeat(65_536), () => { setImmediate(flood) }) }
      flood()
    }],
    ['sends a line that is no message', (socket: Socket) => { socket.write('{"kind":"placed"}\n') }],
    ['closes the connection', (socket: Socket) => { socket.end() }]
  ] as Array<[string, (socket: Socket) => void]>)('and %s fails the question with not_ready', async (_name, answer) => {
    sockets = []
    server = createServer(socket => {
      sockets.push(socket)
      socket.on('error', () => {}).on('data', () => {}).once('data', () => answer(socket))
    })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    const result = await open(`127.0.0.1:${port}`).place(cell, taskOf('a'), never)
    expect(result.isErr && result.error.kind).toBe('not_ready')
  })
})

describe('a connection that sends', () => {
  test.each([
    ['text that is no message', 'GET / HTTP/1.1\r\n\r\n'],
    ['a message of an unknown kind', '{"kind":"stop"}\n'],
    ['a prompt with a negative size', encodeLine({ kind: 'place', pool: cell.pool, id: 'a', parts: [['a', 1]], due: 1, lost: 1 }).replace('["a",1]', '["a",-1]')],
    ['a line without end', 'x'.repeat(maxLineBytes + 1)]
  ])('%s is closed, and the others are still served', async (_name, bytes) => {
    const [host, port] = listener.address.split(':')
    const socket = connect(Number(port), host)
    const closed = new Promise<void>(resolve => { socket.on('error', () => {}).on('close', () => { resolve() }) })
    socket.write(bytes)
    await closed
    expect((await open().place(cell, taskOf('a'), never)).isOk).toBe(true)
  })
})

// Guards against a caller with a long prompt who ends the connection that all prompts of a host share.
test('a question that is longer than a line may be fails alone, and the connection stays open', async () => {
  const connection = open()
  const task = taskOf('a')
  const parts = Array.from({ length: 2000 }, (_, index) => `${'m'.repeat(40)}/${index}`)
  const answer = await connection.place(cell, { ...task, parts, partTokens: parts.map(() => 1) }, never)
  expect(answer.isErr && answer.error.kind).toBe('body_too_large')
  expect((await connection.place(cell, taskOf('b'), never)).isOk).toBe(true)
})

describe('connections outside the limits', () => {
  let bounded: SchedulerListener
  let sockets: Socket[]

  beforeEach(async () => {
    sockets = []
    bounded = new SchedulerListener({
      address: '127.0.0.1:0', scheduler, schedules: () => false, grantsPermits: () => false, sharingHosts: () => 1, maxConnections: 4, clock, events: discardingEventLog(clock)
    })
    await bounded.listen()
  })

  afterEach(async () => {
    for (const socket of sockets) socket.destroy()
    await bounded.stop()
  })

  async function openSocket (): Promise<Socket> {
    const { port } = new URL(`tcp://${bounded.address}`)
    const socket = connect(Number(port), '127.0.0.1')
    socket.on('error', () => {})
    sockets.push(socket)
    await new Promise(resolve => socket.once('connect', resolve))
    return socket
  }

  // Guards against idle or half-open connections that take all descriptors, so that no host is answered any more.
  test('give way to a host that asks, even if each has sent a part of a line', async () => {
    for (let count = 0; count < 12; count += 1) (await openSocket()).write('{"kind":')
    expect((await open(bounded.address).place(cell, taskOf('a'), never)).mapErr(({ message }) => message)).toMatchObject({ error: expect.stringMatching(/schedule/) })
  })

  // Guards against answers that fill the memory since the other end does not read them.
  test('are closed if they ask on without reading the answers', async () => {
    const socket = await openSocket()
    socket.pause()
    const question = encodeLine({ kind: 'place', pool: cell.pool, id: 'q'.repeat(100), parts: [], due: 1, lost: 1 })
    // A socket that is paused reports its close with the error of a write.
    while (!socket.destroyed) await new Promise<void>(resolve => { socket.write(question.repeat(200), () => { resolve() }) })
    expect((await open(bounded.address).place(cell, taskOf('a'), never)).isErr).toBe(true)
  })
})

// Guards against prompts of one connection, each of many parts, that fill the memory of the scheduler.
test('prompts that wait are refused above a number of bytes, and others for cells beyond a number of them', async () => {
  const scheduler = createScheduler(new ManualClock())
  const part = 'p'.repeat(60_000)
  const waiting = Array.from({ length: 400 }, async (_, index) => await scheduler.place(cell, { ...taskOf(`large-${index}`, 1_000_000), parts: [part] }))
  const refused = await Promise.any(waiting.map(async decision => (await decision).kind === 'refused' ? true : await Promise.reject(new Error('not refused'))))
  expect(refused).toBe(true)
  for (let index = 0; index < 1100; index += 1) scheduler.place({ pool: `pool-${index}` as Pool, zone: undefined }, taskOf(`cell-${index}`)).catch(() => {})
  expect(scheduler.cells).toHaveLength(1024)
})
