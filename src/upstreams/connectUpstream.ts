/**
 * Opens connections to upstreams. A response without a length ends with its connection, so a reset has to be
 * distinguished from a regular close. Two layers hide the difference: undici treats an error with the code of a reset
 * as the end of such a response, and libuv reports a reset that arrives together with data as a regular close.
 */
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

/** Error code of a reset connection, in place of the system's `ECONNRESET`. */
const resetCode = 'UPSTREAM_RESET'

/** Error codes of a connection that ended while a call on it was open. */
const connectionLostCodes: ReadonlySet<string> = new Set(['UND_ERR_SOCKET', 'EPIPE', resetCode])

/** True if the connection to the upstream ended while a call on it was open. */
export function isConnectionLost (caught: unknown): boolean {
  const code = (caught as { code?: string } | null)?.code
  return code !== undefined && connectionLostCodes.has(code)
}

function resetError (message: string): Error {
  return Object.assign(new Error(message), { code: resetCode })
}

/** True if the socket has no peer address: a reset removes the address, while a regular close by the peer keeps it. */
function hasNoPeer (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

/** Turns every reset of a socket into an error that undici passes on. */
function reportResets (socket: Socket): void {
  socket.prependListener('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') error.code = resetCode
  })
  const emit = socket.emit.bind(socket)
  socket.emit = (event: string | symbol, ...values: unknown[]): boolean => {
    if (event !== 'end' || !hasNoPeer(socket)) return emit(event, ...values)
    socket.destroy(resetError('the connection was reset'))
    return true
  }
}

/** Returns a connector for undici whose connections report resets as errors. */
export function connectUpstream (timeoutMilliseconds: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMilliseconds })
  return (options, callback) => {
    connect(options, (...result) => {
      if (result[0] === null) reportResets(result[1])
      callback(...result)
    })
  }
}
