/**
 * Guards against responses of the store that fill the memory of a host.
 */
import { afterEach, describe, expect, test } from '@jest/globals'
import { createServer as createHttpServer } from 'node:http'
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { maxResponseBytes, StoreClient } from './StoreClient.js'

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
