/**
 * Guards against connections that take up the memory or the process of a relay, or hide from a reader that its relay is
 * none. The connections are real.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { SystemClock } from '../../common/index.js'
import { SchedulerListener, type SchedulerListenerOptions } from '../../placement/index.js'
import { discardingEventLog } from '../../streams/testSupport.js'
import { RelayConnection, type RelayReadAnswer } from './RelayConnection.js'
import type { PeerReadOutcome } from './RelayedTopic.js'
import { encodeRecord, maxRelayLineBytes, relayService } from './relayMessages.js'
import { StoreRelay } from './StoreRelay.js'

const clock = new SystemClock()
const events = discardingEventLog(clock)
const question = { topic: 'keyed.op', from: 0, wait: 0, era: 1 }

let listener: SchedulerListener
let relay: StoreRelay
let outcome: PeerReadOutcome | 'never'
let connections: RelayConnection[]

beforeEach(async () => {
  outcome = { kind: 'records', next: 1, age: 7.5, texts: [encodeRecord({ key: 'config', value: Buffer.from('"é\n') })] }
  const readForPeer = async (): Promise<PeerReadOutcome> => outcome === 'never' ? await new Promise(() => {}) : outcome
  relay = new StoreRelay({ topics: new Map([['keyed.op', { readForPeer }]]), era: { current: 1 }, events })
  const services = new Map([[relayService, (socket: Socket) => { relay.serve(socket) }]])
  listener = new SchedulerListener({
    address: '127.0.0.1:0', sharingHosts: () => 1, services, clock, events
  } as unknown as SchedulerListenerOptions)
  await listener.listen()
  connections = []
})

afterEach(async () => {
  for (const connection of connections) connection.close('the test ended')
  await listener.stop()
})

async function read (address = listener.address, topic = question.topic): Promise<RelayReadAnswer | undefined> {
  const connection = new RelayConnection(address)
  connections.push(connection)
  return await connection.read({ ...question, topic }, new AbortController().signal)
}

describe('a read of another host', () => {
  test('gets the records as they are, and does not count as a host that asks the scheduler', async () => {
    expect(await read()).toEqual({ kind: 'records', id: '1', era: 1, next: 1, age: 8, records: [['config', '"é\n']] })
    expect([relay.readers, listener.hosts]).toEqual([1, 1])
  })

  test.each<[string, Buffer | undefined, unknown[]]>([
    ['is no text', Buffer.from([0xFF, 0x00]), ['key', '/wA=', 'base64']],
    ['was deleted', undefined, ['key', null]]
  ])('gets a value that %s', async (_name, value, expected) => {
    outcome = { kind: 'records', next: 1, age: 0, texts: [encodeRecord({ key: 'key', value })] }
    expect(await read()).toMatchObject({ records: [expected] })
  })

  test('of a topic that is not relayed is refused', async () => {
    expect(await read(listener.address, 'keyed.other')).toMatchObject({ kind: 'stale' })
  })

  test('fails when the relay closes its connections', async () => {
    outcome = 'never'
    const answer = read()
    while (relay.readers === 0) await new Promise(resolve => setTimeout(resolve, 5))
    relay.closeAll()
    expect(await answer).toBeUndefined()
  })

  test('is refused beyond the number of readers', async () => {
    const answers = await Promise.all(Array.from({ length: 97 }, async () => await read()))
    expect(answers.filter(answer => answer === undefined)).toHaveLength(1)
  })
})

const opening = `{"kind":"open","service":"${relayService}"}\n`
const readLine = `${JSON.stringify({ kind: 'read', id: 'a', ...question })}\n`

/** Opens the service on a connection that does not read the answers to its reads. */
async function openSilent (reads: number): Promise<Socket> {
  const [host, port] = listener.address.split(':')
  const socket = connect(Number(port), host)
  socket.on('error', () => {}).write(opening)
  await new Promise(resolve => { socket.once('data', resolve) })
  socket.pause()
  socket.write(readLine.repeat(reads))
  return socket
}

// 96 readers with some unsent pages each would take up more memory than small hosts have.
test('the readers that do not read are closed beyond a bound over all readers, and others are served', async () => {
  const served = new Set<Socket>()
  const serve = relay.serve.bind(relay)
  relay.serve = socket => { served.add(socket); serve(socket) }
  outcome = { kind: 'records', next: 1, age: 0, texts: [encodeRecord({ key: 'key', value: Buffer.alloc(1_000_000, 'v') })] }
  const silent: Socket[] = []
  for (let count = 0; count < 12; count += 1) silent.push(await openSilent(4))
  expect(await read()).toMatchObject({ kind: 'records' })
  const unsent = [...served].filter(socket => !socket.destroyed).reduce((sum, { writableLength }) => sum + writableLength, 0)
  for (const socket of silent) socket.destroy()
  expect(unsent).toBeLessThanOrEqual(8_388_608)
  expect(relay.readers).toBeLessThan(13)
})

// Two pages may be under way on a slow network when the reader, which has read another answer, asks on.
test('a reader that asks on while long answers are under way is not closed', async () => {
  let served: Socket | undefined
  const serve = relay.serve.bind(relay)
  relay.serve = socket => { served = socket; serve(socket) }
  outcome = { kind: 'records', next: 1, age: 0, texts: [encodeRecord({ key: 'key', value: Buffer.alloc(1_000_000, 'v') })] }
  const reader = await openSilent(7)
  while (served!.writableLength <= 1_048_576) await new Promise(resolve => setTimeout(resolve, 5))
  const { bytesRead } = served!
  reader.write(readLine)
  while (served!.bytesRead === bytesRead) await new Promise(resolve => setTimeout(resolve, 5))
  let lines = 0
  const ended = new Promise<void>(resolve => {
    reader.on('close', () => { resolve() }).on('data', bytes => {
      lines += bytes.toString('latin1').split('\n').length - 1
      if (lines === 8) resolve()
    })
  })
  reader.resume()
  await ended
  reader.destroy()
  expect(lines).toBe(8)
})

describe('a connection that sends', () => {
  test.each([
    ['the name of no service', '{"kind":"open","service":"other"}\n'],
    ['a message of the scheduler to the relay', `${opening}{"kind":"end","pool":"p","id":"a","outcome":"computed"}\n`],
    ['a line without end to the relay', `${opening}${'x'.repeat(70_000)}`],
    ['a read from a negative offset', `${opening}${readLine.replace('"from":0', '"from":-1')}`],
    ['more reads than are allowed at once', `${opening}${readLine.repeat(17)}`]
  ])('%s is closed, and other readers are served', async (_name, text) => {
    const [host, port] = listener.address.split(':')
    const socket = connect(Number(port), host)
    const closed = new Promise<void>(resolve => { socket.on('error', () => {}).on('close', () => { resolve() }) })
    const [first, ...rest] = text.split(/(?<=\n)/)
    socket.write(first!)
    if (rest.length > 0) {
      await new Promise(resolve => { socket.once('data', resolve) })
      socket.write(rest.join(''))
    }
    await closed
    expect(await read()).toMatchObject({ kind: 'records' })
  })
})

describe('a relay that misbehaves', () => {
  let server: Server

  afterEach(async () => { await new Promise<void>(resolve => { server.close(() => { resolve() }) }) })

  test.each<[string, (socket: Socket) => void]>([
    ['is a host of an earlier build, which closes the connection', socket => { socket.destroy() }],
    ['sends a line that is no answer', socket => { socket.write('{"kind":"records"}\n') }],
    ['sends a line without end', socket => { socket.write('x'.repeat(maxRelayLineBytes + 1)) }]
  ])('and %s fails the read', async (_name, misbehave) => {
    server = createServer(socket => { socket.on('error', () => {}).once('data', () => { misbehave(socket) }) })
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    const { port } = server.address() as AddressInfo
    expect(await read(`127.0.0.1:${port}`)).toBeUndefined()
  })

  test('and refuses the connection fails the read', async () => {
    server = createServer()
    const { address } = listener
    await listener.stop()
    expect(await read(address)).toBeUndefined()
    await listener.listen()
  })
})
