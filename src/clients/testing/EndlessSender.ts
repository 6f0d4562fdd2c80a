/**
 * Sends bytes without end on a connection, as fast as the peer reads them, until the connection closes. For tests.
 */
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'

/** Number of bytes after which the sender only keeps the connection open, so that a test cannot use up the memory. */
const maxSentBytes = 268_435_456

/**
 * Number of bytes that a peer may cause to be sent before it closes the connection: the largest response that it accepts
 * here, and what fits into the buffers of both sockets.
 */
export const maxAcceptedBytes = 16_777_216

/** Repeats a piece on one connection. */
export class EndlessSender {
  sentBytes = 0
  isClosed = false
  readonly closed: Promise<void>

  constructor (private readonly socket: Socket, head: string, piece: string) {
    this.closed = new Promise(resolve => {
      socket.once('close', () => {
        this.isClosed = true
        resolve()
      })
    })
    socket.on('error', () => {})
    const bytes = Buffer.from(piece.repeat(Math.ceil(65_536 / piece.length)), 'latin1')
    socket.write(head, 'latin1')
    this.send(bytes)
  }

  private send (bytes: Buffer): void {
    while (!this.isClosed && this.sentBytes < maxSentBytes) {
      this.sentBytes += bytes.length
      if (this.socket.write(bytes)) continue
      this.socket.once('drain', () => { this.send(bytes) })
      return
    }
  }
}

/** A server that answers the first bytes of each connection with bytes without end. */
export class EndlessServer {
  readonly senders: EndlessSender[] = []
  readonly address: string

  private constructor (private readonly server: Server) {
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
  }

  static async start (head: string, piece: string): Promise<EndlessServer> {
    const tcpServer = createServer()
    await new Promise<void>(resolve => { tcpServer.listen(0, '127.0.0.1', resolve) })
    const server = new EndlessServer(tcpServer)
    tcpServer.on('connection', socket => {
      socket.on('error', () => {})
      socket.once('data', () => { server.senders.push(new EndlessSender(socket, head, piece)) })
    })
    return server
  }

  get sentBytes (): number {
    return this.senders.reduce((sum, { sentBytes }) => sum + sentBytes, 0)
  }

  /** Resolves when all connections that received a request have been closed by the peer. */
  async closed (): Promise<void> {
    await Promise.all(this.senders.map(async ({ closed }) => { await closed }))
  }

  async stop (): Promise<void> {
    await this.closed()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }
}

/** The ways to send a response whose head, or whose framing, does not end, as the head and the piece that is repeated. */
export const endlessHeads: Array<[string, string, string]> = [
  ['empty lines before the head', '', '\r\n'],
  ['a status line without an end', 'HTTP/1.1 200 ', 'x'],
  ['header fields without an end', 'HTTP/1.1 200 OK\r\n', 'x-a: b\r\n'],
  ['a header field without an end', 'HTTP/1.1 200 OK\r\nx-a: ', 'b'],
  ['interim responses without an end', '', 'HTTP/1.1 102 X\r\n\r\n']
]
