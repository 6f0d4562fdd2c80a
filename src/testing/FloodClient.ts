/**
 * A client outside the limits: sends bytes as fast as the host takes them and keeps its connection open. It does not
 * read responses unless it has to know that the host has refused it.
 */
import { connect, type Socket } from 'node:net'

/** Options of a `FloodClient`. */
export interface FloodClientOptions {
  /** `ip:port` of the host. */
  address: string
  /** Pieces to send, one after the other. */
  pieces: Iterable<Buffer | string>
  /** True if the client reads what the host sends. */
  reads: boolean
}

/** One such client. */
export class FloodClient {
  /** Resolves when all pieces have been passed to the operating system or the connection has closed. */
  readonly ended: Promise<void>
  /** Most bytes that were received, for messages of failed tests. */
  received = ''
  private readonly socket: Socket
  private isClosed = false

  constructor ({ address, pieces, reads }: FloodClientOptions) {
    const separator = address.lastIndexOf(':')
    this.socket = connect(Number(address.slice(separator + 1)), address.slice(0, separator))
    this.socket.on('error', () => {})
    const closed = new Promise<void>(resolve => {
      this.socket.once('close', () => {
        this.isClosed = true
        resolve()
      })
    })
    if (reads) this.socket.on('data', bytes => { if (this.received.length < 100) this.received += bytes.toString('latin1') })
    this.ended = Promise.race([this.send(pieces), closed])
  }

  /** True if the host has closed the connection. */
  get isRefused (): boolean {
    return this.isClosed
  }

  close (): void {
    this.socket.destroy()
  }

  private async send (pieces: Iterable<Buffer | string>): Promise<void> {
    for (const piece of pieces) {
      if (this.isClosed) return
      await new Promise<void>(resolve => { this.socket.write(piece, () => { resolve() }) })
    }
  }
}
