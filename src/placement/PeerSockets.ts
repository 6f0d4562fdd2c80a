/**
 * Bounds the connections of other hosts, and of whoever else reaches the port: their number, and what waits to be read by
 * the other end.
 */
import type { Socket } from 'node:net'
import type { EventLog } from '../observability/index.js'

/** Default maximum number of connections. Each holds up to one unfinished line and one read, 128 KiB together. */
const defaultMaxSockets = 2048

/** Maximum number of bytes that the other end has not read when it sends more; an answer takes a few kilobytes. */
const maxUnreadBytes = 1_048_576

const lineFeed = 0x0A

/** The open connections of a listener. */
export class PeerSockets {
  /** Connections by age, with whether a complete line has arrived and whether a service took the connection over. */
  private readonly sockets = new Map<Socket, { hasSentLine: boolean, isOfService: boolean }>()

  constructor (private readonly events: EventLog, private readonly maxSockets = defaultMaxSockets) {}

  /**
   * Takes on a connection. At the limit, the oldest one that has not sent a complete line is closed for it. Returns false if
   * there is none; the new connection is closed then.
   */
  accept (socket: Socket): boolean {
    if (this.sockets.size >= this.maxSockets && !this.closeUnused()) {
      this.close(socket, 'too many connections')
      return false
    }
    const state = { hasSentLine: false, isOfService: false }
    this.sockets.set(socket, state)
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.on('data', bytes => {
      state.hasSentLine ||= bytes.includes(lineFeed)
      if (!state.isOfService && socket.writableLength > maxUnreadBytes) this.close(socket, 'the other host does not read')
    })
    return true
  }

  /**
   * Leaves the bound of what the other end has not read to the service that took the connection over; one answer of a
   * relay may be longer than the answers of the scheduler may be together.
   */
  passToService (socket: Socket): void {
    const state = this.sockets.get(socket)
    if (state !== undefined) state.isOfService = true
  }

  private closeUnused (): boolean {
    for (const [socket, { hasSentLine }] of this.sockets) {
      if (hasSentLine) continue
      this.close(socket, 'unused, and there are too many connections')
      return true
    }
    return false
  }

  private close (socket: Socket, reason: string): void {
    this.sockets.delete(socket)
    this.events.warn('scheduler_connection_closed', { address: socket.remoteAddress, reason })
    socket.destroy()
  }
}
