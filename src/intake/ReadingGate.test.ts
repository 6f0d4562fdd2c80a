/** Guards against connections that are read although the gate is held, so that more than the allowed requests start. */
import { afterEach, expect, test } from '@jest/globals'
import { once } from 'node:events'
import { createServer, type IncomingMessage, type Server } from 'node:http'
import { type AddressInfo, connect } from 'node:net'
import { ReadingGate } from './ReadingGate.js'

let server: Server

afterEach(() => {
  server.closeAllConnections()
  server.close()
})

test('a connection that is held again in the same tick is not read until it is released', async () => {
  server = createServer((_message, response) => { response.end() })
  let gate: ReadingGate | undefined
  // The first connection is the one under test.
  server.on('connection', socket => { gate ??= new ReadingGate(socket) })
  server.listen(0, '127.0.0.1')
  await once(server, 'listening')
  const open = () => connect((server.address() as AddressInfo).port, '127.0.0.1')
  const client = open()
  const targets: string[] = []
  server.on('request', ({ url }: IncomingMessage) => { targets.push(url!) })
  const sendFrom = async (socket: typeof client, target: string): Promise<void> => {
    socket.write(`GET ${target} HTTP/1.1\r\nhost: a\r\n\r\n`)
    await once(socket, 'data')
  }
  await sendFrom(client, '/first')
  gate!.hold('requests')
  await new Promise(resolve => setImmediate(resolve))
  gate!.release('requests')
  gate!.hold('requests')
  const answered = sendFrom(client, '/held')
  const other = open()
  // What arrived before the requests of another connection would have been read before them.
  for (const target of ['/1', '/2', '/3']) await sendFrom(other, target)
  expect(targets).toEqual(['/first', '/1', '/2', '/3'])
  gate!.release('requests')
  await answered
  expect(targets.at(-1)).toBe('/held')
})
