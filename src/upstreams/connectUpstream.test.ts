/**
 * Guards against an answer without a length that is reset on its way and taken for whole. The reset is given to the
 * caller's socket, since a kernel may show a reset that meets unread bytes as an ordinary end.
 */
import { expect, test } from '@jest/globals'
import { createServer, type AddressInfo, type Socket } from 'node:net'
import { type buildConnector, Client } from 'undici'
import { connectUpstream } from './connectUpstream.js'

const head = 'HTTP/1.1 200 OK\r\nserver: x\r\n\r\n'

async function readAnswer (end: (callerSocket: Socket, workerSocket: Socket) => void): Promise<string> {
  let workerSocket: Socket | undefined
  const server = createServer(socket => {
    workerSocket = socket
    socket.on('error', () => {})
    socket.once('data', () => { socket.write(`${head}part`) })
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  let callerSocket: Socket | undefined
  const connect = connectUpstream(1000)
  const noting: buildConnector.connector = (options, callback) => {
    connect(options, (...result) => {
      if (result[1] !== null) callerSocket = result[1]
      callback(...result)
    })
  }
  const client = new Client(`http://127.0.0.1:${(server.address() as AddressInfo).port}`, { connect: noting })
  try {
    const answer = await client.request({ method: 'GET', path: '/' })
    let text = ''
    for await (const piece of answer.body) {
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

test('an answer without a length ends with its connection', async () => {
  expect(await readAnswer((_caller, worker) => { worker.end() })).toBe('part')
})

test('an answer without a length that is reset is an error', async () => {
  const reset = (caller: Socket): void => { caller.destroy(Object.assign(new Error('read ECONNRESET'), { code: 'ECONNRESET' })) }
  await expect(readAnswer(reset)).rejects.toThrow('ECONNRESET')
})
