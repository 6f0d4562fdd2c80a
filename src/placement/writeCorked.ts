/**
 * Writes to a socket so that all writes of one turn of the event loop leave in one system call.
 */
import type { Socket } from 'node:net'

/** Writes the text; the socket may already be closed. */
export function writeCorked (socket: Socket, text: string): void {
  if (socket.destroyed) return
  if (socket.writableCorked === 0) {
    socket.cork()
    setImmediate(() => { socket.uncork() })
  }
  socket.write(text)
}
