/**
 * HTTP server that knows which of its connections carry an open request.
 */
import { type IncomingMessage, Server, type ServerOptions, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'

/** Numbers of open connections. */
export interface ConnectionCounts {
  connections: number
  /** Connections without an open request, including the unused ones. */
  idle: number
  /** Connections on which no request was received yet. */
  unused: number
}

/** What is known about a connection. */
interface TrackedConnection {
  /** Responses that have not been sent completely, oldest first. */
  responses: Set<ServerResponse>
  isUnused: boolean
}

/** Tracks the connections and the requests that are open on them. */
export class GracefulServer extends Server {
  private readonly tracked = new Map<Socket, TrackedConnection>()

  constructor (options: ServerOptions, handler?: (message: IncomingMessage, response: ServerResponse) => void) {
    super(options)
    this.on('connection', socket => this.track(socket))
    this.on('request', (message, response) => this.trackRequest(message, response))
    if (handler !== undefined) this.on('request', handler)
  }

  /** Counts the open connections. */
  connectionCounts (): ConnectionCounts {
    const connections = [...this.tracked.values()]
    return {
      connections: connections.length,
      idle: connections.filter(({ responses }) => responses.size === 0).length,
      unused: connections.filter(({ isUnused }) => isUnused).length
    }
  }

  private track (socket: Socket): void {
    this.tracked.set(socket, { responses: new Set(), isUnused: true })
    socket.once('close', () => this.tracked.delete(socket))
  }

  private trackRequest ({ socket }: IncomingMessage, response: ServerResponse): void {
    const connection = this.tracked.get(socket)
    if (connection === undefined) return
    connection.isUnused = false
    connection.responses.add(response)
    response.once('close', () => connection.responses.delete(response))
  }
}
