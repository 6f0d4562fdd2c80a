/**
 * Guards against responses of the store that fill the memory of a host, against calls to a silent store that never end, and
 * against appends that the store refuses as a whole because they exceed its limits.
 */
import { afterEach, beforeEach, describe, expect, test } from '@jest/globals'
import { createServer as createHttpServer } from 'node:http'
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { collectGarbage } from '../common/testing/collectGarbage.js'
import { maxResponseBytes, StoreClient } from './StoreClient.js'
import { FakeStore } from './testing/FakeStore.js'
import { waitUntil } from './testing/platformTestSupport.js'

const topic = 'keyed.test'

/** Wait of reads in milliseconds; longer than a test may take, so that no time limit ends them. */
const waitMilliseconds = 60_000

/** Maximum number of bytes that the buffers of both ends of a connection hold. */
const maxSocketBufferBytes = 16_777_216

async function listen (server: Server): Promise<string> {
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return `127.0.0.1:${(server.address() as AddressInfo).port}`
}

/** Writes chunks of a response until the connection is closed. Returns the number of bytes that were written. */
async function writeWithoutEnd (socket: Socket): Promise<number> {
  const chunk = Buffer.alloc(65_536, 'x')
  const head = Buffer.from('10000\r\n')
  const end = Buffer.from('\r\n')
  const closed = new Promise(resolve => { socket.once('close', resolve) })
  socket.on('error', () => {})
  socket.write('HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n')
  while (!socket.destroyed) {
    const isDrained = socket.write(Buffer.concat([head, chunk, end]))
    if (!isDrained) await Promise.race([closed, new Promise(resolve => { socket.once('drain', resolve) })])
  }
  return socket.bytesWritten
}

// A timeout that only a combined signal refers to is dropped with the garbage, and the follower of a topic then stays silent.
test('a read of a silent store ends although garbage was collected meanwhile', async () => {
  const store = await FakeStore.start()
  store.mode = 'silent'
  const client = new StoreClient(store.address)
  const read = client.read(topic, 0, 0, new AbortController().signal)
  await waitUntil(() => store.calls.length === 1)
  await collectGarbage()
  expect(await read).toMatchObject({ isErr: true })
  await client.close()
  await store.stop()
})

describe('responses without end', () => {
  let server: Server
  let client: StoreClient

  afterEach(async () => {
    await client.close()
    await new Promise<void>(resolve => { server.close(() => { resolve() }) })
  })

  // Without a limit, the buffered response grows until the host runs out of memory.
  test('a response without end is abandoned and its connection closed', async () => {
    const written: Array<Promise<number>> = []
    server = createServer(socket => socket.once('data', () => { written.push(writeWithoutEnd(socket)) }))
    client = new StoreClient(await listen(server))
    const read = await client.read(topic, 0, waitMilliseconds)
    expect(read.isErr && read.error).toMatchObject({ kind: 'platform_unavailable', message: expect.stringContaining('exceeded max size') })
    expect(written).toHaveLength(1)
    expect(await written[0]).toBeGreaterThan(maxResponseBytes)
    expect(await written[0]).toBeLessThan(maxResponseBytes + maxSocketBufferBytes)
  })

  // Without a limit, pages that always announce another one keep the host reading for ever.
  test('a read of the newest records ends although the store always announces another page', async () => {
    const item = { key: 'k', value: Buffer.alloc(1_000_000).toString('base64') }
    const body = JSON.stringify({ items: [item], truncated: true, end: 1 })
    let calls = 0
    const pages = createHttpServer((_request, response) => {
      calls += 1
      response.end(body)
    })
    server = pages
    client = new StoreClient(await listen(server))
    const newest = await client.newest(topic)
    expect(newest.isErr && newest.error).toMatchObject({ kind: 'platform_unavailable', message: expect.stringContaining('exceed') })
    expect(calls).toBeLessThan(20)
    pages.closeAllConnections()
  })
})

describe('appends', () => {
  let store: FakeStore
  let client: StoreClient

  beforeEach(async () => {
    store = await FakeStore.start()
    client = new StoreClient(store.address)
  })

  afterEach(async () => {
    await client.close()
    await store.stop()
  })

  // A wrong length of a key or value shifts all later records.
  test('records of all kinds are read back as they were appended', async () => {
    const records = [
      { key: 'm/part', value: Buffer.from('{"losses":[]}') },
      { key: 'é'.repeat(127), value: Buffer.from('ü') },
      { key: 'k'.repeat(255), value: Buffer.from('v') },
      { key: 'm/part', value: undefined }
    ]
    expect((await client.append(topic, records)).unwrapOr(undefined)).toEqual({ offset: 0, end: 4 })
    expect((await client.read(topic, 0, 0)).unwrapOr(undefined)).toEqual({ records, next: 4, era: 1 })
  })

  // The store refuses a call as a whole if its records exceed the limit.
  test.each([
    [1, 262_000, 1],
    [8, 262_000, 1],
    [9, 262_000, 2],
    [17, 262_000, 3],
    [500, 100, 1]
  ])('%d records of %d bytes are appended with %d calls', async (count, bytes, calls) => {
    const records = Array.from({ length: count }, (_, number) => ({ key: `k${number}`, value: Buffer.alloc(bytes, 'v') }))
    expect((await client.append(topic, records)).unwrapOr(undefined)).toEqual({ offset: 0, end: count })
    expect(store.calls).toHaveLength(calls)
  })

  // A record beyond the limits would be refused at each repetition, and each call is priced.
  test.each([
    ['a key of 256 bytes', 'k'.repeat(256), 1],
    ['a key of 128 characters of two bytes', 'é'.repeat(128), 1],
    ['a value of 262,144 bytes', 'k', 262_144]
  ])('a record with %s is not sent', async (_name, key, bytes) => {
    const appended = await client.append(topic, [{ key, value: Buffer.alloc(bytes) }])
    expect(appended.isErr && appended.error.kind).toBe('bad_request')
    expect(store.calls).toHaveLength(0)
  })

  // A condition that is not passed on deletes records that this host has not read yet.
  test.each([[1, true], [0, false], [2, false]])('an append at the offset %d of a topic with one record succeeds: %s', async (at, isOk) => {
    store.write(topic, 'a', 'first')
    const appended = await client.append(topic, [{ key: 'a', value: undefined }], { at })
    expect(appended.isOk).toBe(isOk)
    expect((await client.newest(topic)).unwrapOr(undefined)?.records).toHaveLength(isOk ? 0 : 1)
  })

  // An append that is taken for a success although the store refused it loses its records.
  test.each(['keyed.op', 'keyed.servers'])('an append to %s fails', async readOnly => {
    const appended = await client.append(readOnly, [{ key: 'a', value: Buffer.from('v') }])
    expect(appended.isErr && appended.error.kind).toBe('platform_unavailable')
  })
})
