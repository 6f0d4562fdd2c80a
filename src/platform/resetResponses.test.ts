/**
 * Guards against a part of a response that its caller takes for all of it, since the worker reset the connection while the
 * request was still being written, and against a response whose status no worker can mean.
 */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { afterEach, expect, test } from '@jest/globals'
import {
  configurationDocument, type PlatformTest, RawCaller, requestHeaders, startPlatform, waitUntil
} from './testing/platformTestSupport.js'

/** Size of an upload that no socket buffer takes as a whole, in bytes. */
const uploadBytes = 8_000_000

let platform: PlatformTest | undefined
let server: Server | undefined

afterEach(async () => {
  await platform?.stop()
  server?.close()
  platform = undefined
})

/** Starts a host whose only worker of a service answers each connection in the given way. */
async function start (answer: (socket: Socket, id: string) => void): Promise<RawCaller> {
  const { routes, ...document } = configurationDocument(1, { limits: { 'max-body-bytes': 2 * uploadBytes } })
  const configuration = { ...document, routes: routes.map(route => Object.assign({}, route, { service: 'app' })) }
  platform = await startPlatform({ appWorkers: 0, configuration })
  server = createServer(socket => {
    socket.on('error', () => {})
    socket.once('data', bytes => { answer(socket, /dogwooddale-request-id: (\S+)/i.exec(bytes.toString('latin1'))?.[1] ?? '') })
  })
  await new Promise<void>(resolve => { server!.listen(0, '127.0.0.1', resolve) })
  const address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  const entry = { service: 'app', address, zone: 'zone-a', version: 'v1', slots: 8, state: 'ready', sequence: 1 }
  platform.store.write('keyed.servers', 'odd', entry)
  await waitUntil(() => platform!.host.workers().some(({ id }) => id === 'odd'))
  return await RawCaller.connect(platform.host.addresses.callers)
}

function headOf (id: string, status: string, fields = ''): string {
  return `HTTP/1.1 ${status}\r\ndogwooddale-request-id: ${id}\r\ndogwooddale-server-stamp: signed\r\n${fields}\r\n`
}

test.each([
  ['reads', 'at once', 0, ''],
  ['reads', 'after a moment', 30, ''],
  ['reads', 'at once, and announces the close', 0, 'connection: close\r\n'],
  ['reads', 'after a moment, and announces the close', 30, 'connection: close\r\n'],
  ['votes', 'at once', 0, ''],
  ['votes', 'after a moment', 30, ''],
  ['votes', 'at once, and announces the close', 0, 'connection: close\r\n'],
  ['votes', 'after a moment, and announces the close', 30, 'connection: close\r\n'],
  ['tags', 'after a moment', 30, '']
])('a response to an upload to %s whose worker resets the connection %s is not passed on as complete', async (route, _name, wait, fields) => {
  const caller = await start((socket, id) => {
    socket.pause()
    const reset = (): void => { setTimeout(() => { socket.resetAndDestroy() }, wait) }
    socket.write(`${headOf(id, '200 OK', fields)}a part of the body`, reset)
  })
  caller.send('POST', `/${route}/1`, requestHeaders('upload'), 'x'.repeat(uploadBytes))
  const response = await caller.readResponse().catch(() => undefined)
  expect(response?.status === 200).toBe(false)
})

test.each(['000 X', '000', '099 X', '600 X', '999 X', '0 X'])('a response with the status %s is not passed on', async status => {
  const caller = await start((socket, id) => { socket.write(`${headOf(id, status, 'content-length: 4\r\n')}fine`) })
  for (const route of ['reads', 'votes']) {
    caller.send('POST', `/${route}/1`, requestHeaders(`odd-${route}`), 'text')
    const response = await caller.readResponse().catch(() => undefined)
    expect([502, 503, 504, undefined]).toContain(response?.status)
  }
})
