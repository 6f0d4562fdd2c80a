/**
 * The end of a connection on which the runtime could not read a request. No response is known to it, so it is answered with
 * a status alone.
 */
import type { Socket } from 'node:net'

/** Codes of the errors of the runtime that have a status of their own. */
const statuses: Record<string, string> = {
  ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
  HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
  HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large'
}

/** The code of the error for a request that took too long to arrive. */
export const timeoutCode = 'ERR_HTTP_REQUEST_TIMEOUT'

/** Closes the connection, after the status for the error if it `canAnswer`: no response is expected there for another request. */
export function answerFault (socket: Socket, code: string | undefined, canAnswer: boolean): void {
  if (!canAnswer || !socket.writable) {
    socket.destroy()
    return
  }
  socket.write(`HTTP/1.1 ${statuses[code ?? ''] ?? '400 Bad Request'}\r\nConnection: close\r\n\r\n`)
  socket.destroySoon()
}
