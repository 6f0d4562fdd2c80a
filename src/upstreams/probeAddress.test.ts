/**
 * Guards against a running worker that is taken for one that has ended, and the reverse. The test uses real sockets.
 */
import { expect, test } from '@jest/globals'
import { type AddressInfo, createServer, type Socket } from 'node:net'
import { acceptsConnections, type AddressState, probeAddress } from './probeAddress.js'

// Guards against a process that is taken for a running one since the operating system still opened a connection for it.
test('an address whose listener closes right after a connection was opened refuses connections', async () => {
  const server = createServer(socket => {
    server.close()
    socket.resetAndDestroy()
  })
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  expect(await probeAddress(`127.0.0.1:${port}`)).toBe('refuses')
})

test.each<[string, (socket: Socket) => void, boolean, AddressState]>([
  ['a listener that keeps connections', () => {}, false, 'accepts'],
  ['a listener that resets connections at once, as a full worker does', socket => { socket.resetAndDestroy() }, false, 'accepts'],
  ['an address without a listener', () => {}, true, 'refuses']
])('%s', async (_name, handle, isClosed, expected) => {
  const server = createServer(handle)
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  const close = async (): Promise<void> => { await new Promise<void>(resolve => { server.close(() => { resolve() }) }) }
  if (isClosed) await close()
  expect(await probeAddress(`127.0.0.1:${port}`)).toBe(expected)
  expect(await acceptsConnections(`127.0.0.1:${port}`)).toBe(expected === 'accepts')
  expect(await probeAddress(`127.0.0.1:${port}`, AbortSignal.abort())).toBe('silent')
  if (!isClosed) await close()
})
