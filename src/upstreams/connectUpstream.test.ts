/**
 * Guards against accepting a response without a length as complete when its connection was reset. The test destroys the
 * caller's socket with the error of a reset, since a kernel may report a reset that meets unread bytes as a regular
 * close.
 */
import { expect, test } from '@jest/globals'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { type buildConnector, Client } from 'undici'
import { connectUpstream } from './connectUpstream.js'

const head = 'HTTP/1.1 200 OK\r\nserver: x\r\n\r\n'

async function readResponse (end: (callerSocket: Socket, workerSocket: Socket) => void): Promise<string> {
  let workerSocket: Socket | undefined
  const server = createServer(socket => {
    workerSocket = socket
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(`${head}part`) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  let callerSocket: Socket | undefined
  const connect = connectUpstream(1000)
  const capturingConnect: buildConnector.connector = (options, callback) => {
    connect(options, (...result) => {
      if (result[1] !== null) callerSocket = result[1]
      callback(...result)
    })
  }
  const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connect: capturingConnect })
  try {
    const response = await client.request({ method: 'GET', path: '/' })
    let text = ''
    for await (const piece of response.body) {
      text += String(piece)
      end(callerSocket!, workerSocket!)
    }
    return text
  } finally {
    await client.destroy()
    workerSocket?.destroy()
    server.close()
  }
}

test('a response without a length is complete when the worker closes the connection', async () => {
  expect(await readResponse((_caller, worker) => { worker.end() })).toBe('part')
})

test('reading a response without a length fails when the connection is reset', async () => {
  const reset = (caller: Socket): void => { caller.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' })) }
  await expect(readResponse(reset)).rejects.toThrow('ECONNRESET')
})
