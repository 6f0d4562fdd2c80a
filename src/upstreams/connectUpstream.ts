/**
 * Opens connections to upstreams. An answer without a length ends with its connection, so a reset has to be told from
 * an ordinary end. Two layers blur that: undici takes a reset for the end of such an answer, by the error's code; and
 * libuv shows a reset that arrives together with data as an end.
 */
import type { Socket } from 'node:net'
import { buildConnector } from 'undici'

/** Code of a reset connection, in place of the system's. */
const resetCode = 'UPSTREAM_RESET'

function resetError (message: string): Error {
  return Object.assign(new Error(message), { code: resetCode })
}

/** A connection that was reset has no peer any more; one that its peer closed still has. */
function hasNoPeer (socket: Socket): boolean {
  return socket.remoteAddress === undefined
}

/** Makes every reset of a socket an error that undici passes on. */
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

/** A connector for undici whose connections report resets. */
export function connectUpstream (timeoutMilliseconds: number): buildConnector.connector {
  const connect = buildConnector({ timeout: timeoutMilliseconds })
  return (options, callback) => {
    connect(options, (...result) => {
      if (result[0] === null) reportResets(result[1])
      callback(...result)
    })
  }
}
