/**
 * HTTP server that closes gracefully: each connection closes as soon as it carries no open request. Node alone keeps a
 * connection that is new, or whose response announced `keep-alive`, for its whole keep-alive timeout.
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
  /** The response that announces the close of the connection; no later one can be sent. */
  lastResponse?: ServerResponse
}

/** Tracks the connections and the requests that are open on them. */
export class GracefulServer extends Server {
  private readonly tracked = new Map<Socket, TrackedConnection>()
  private closing: Promise<void> | undefined
  private closesIdleConnections = false

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

  /**
   * Announces in the head of a response that its connection closes, unless a later request is open on the connection:
   * that one's response can only be sent if the connection stays open.
   */
  announceClose (response: ServerResponse): void {
    const connection = this.connectionOf(response)
    if (connection === undefined || [...connection.responses].at(-1) !== response) return
    connection.lastResponse = response
    response.setHeader('connection', 'close')
  }

  /** False if the connection closes after an earlier response, so that this response can never be sent. */
  canRespond (response: ServerResponse): boolean {
    const last = this.connectionOf(response)?.lastResponse
    return last === undefined || last === response
  }

  /** Resolves when no earlier response on the connection is being streamed, or when the connection has closed. */
  async whenNoEarlierStream (response: ServerResponse): Promise<void> {
    const responses = [...this.connectionOf(response)?.responses ?? []]
    const earlier = responses.slice(0, Math.max(0, responses.indexOf(response)))
    const streams = earlier.filter(({ headersSent, writableEnded }) => headersSent && !writableEnded)
    if (streams.length === 0) return
    const { socket } = response.req
    const sent = Promise.all(streams.map(async stream => await new Promise(resolve => stream.once('close', resolve))))
    await Promise.race([sent, new Promise(resolve => socket.once('close', resolve))])
  }

  /**
   * Stops accepting connections, closes the idle ones now and each other one after its open requests, and resolves when
   * all have closed.
   */
  closeGracefully (): Promise<void> {
    this.closing ??= this.closeOnce()
    return this.closing
  }

  /**
   * Does nothing: `close` calls it, and Node's method would destroy connections whose response has been ended but not
   * sent completely.
   */
  override closeIdleConnections (): void {}

  private async closeOnce (): Promise<void> {
    const closed = new Promise<void>(resolve => this.close(() => resolve()))
    // Requests that have already arrived are read in the next turn of the event loop.
    await new Promise(resolve => setImmediate(resolve))
    await new Promise(resolve => setImmediate(resolve))
    this.closesIdleConnections = true
    for (const socket of this.tracked.keys()) this.closeIfIdle(socket)
    await closed
  }

  private closeIfIdle (socket: Socket): void {
    if (this.closesIdleConnections && this.tracked.get(socket)?.responses.size === 0) socket.destroySoon()
  }

  private connectionOf ({ req: { socket } }: ServerResponse): TrackedConnection | undefined {
    return this.tracked.get(socket)
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
    response.once('close', () => {
      connection.responses.delete(response)
      this.closeIfIdle(socket)
    })
  }
}
