/**
 * Guards against a response of the store that arrives a second time, in place of the response to the next call on its
 * connection.
 */
import { type AddressInfo, createServer, type Server } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import { StoreClient } from './StoreClient.js'

let server: Server
let client: StoreClient

afterEach(async () => {
  await client.close()
  await new Promise<void>(resolve => { server.close(() => { resolve() }) })
})

/** Starts a store that answers each call with the first response. */
async function startRepeating (body: Buffer): Promise<void> {
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.on('data', () => { socket.write(Buffer.concat([Buffer.from(`HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n`), body])) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  client = new StoreClient(`127.0.0.1:${(server.address() as AddressInfo).port}`)
}

// Guards against a change that a host never reads, since its position lies beyond it.
test('a copy of an earlier read does not move the position past the end of the topic', async () => {
  const record = Buffer.from([0, 0, 0, 3, 1, 0x6B, 0x76])
  const offsets = Buffer.alloc(16)
  offsets.writeBigUInt64BE(2n, 0)
  await startRepeating(Buffer.concat([offsets, record, record]))
  const first = await client.read('keyed.servers', 0, 0)
  expect(first.unwrapOr(undefined)).toMatchObject({ next: 2 })
  const second = await client.read('keyed.servers', 2, 0)
  expect(second.isErr).toBe(true)
})
