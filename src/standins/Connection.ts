/**
 * One TCP connection of a stand-in, which a fault can silence or reset after a number of bytes.
 */
import type { Socket } from 'node:net'

type WriteCallback = (error?: Error | null) => void

/** The internal methods through which Node's streams pass data to a socket and close it. */
interface SocketInternals {
  _write: (chunk: Buffer | string, encoding: BufferEncoding, done: WriteCallback) => void
  _writev: unknown
  destroySoon: () => void
}

/** What happens when a connection stops sending: it stays open without sending, or it is reset. */
export type StopMode = 'silent' | 'reset'

/** A TCP connection and the state that faults need. */
export class Connection {
  /** Path of the latest call. */
  path = ''
  /** True once the connection is kept open without sending. */
  isSilent = false

  constructor (readonly socket: Socket) {}

  /**
   * Stops sending after `bytes` further bytes: the connection then stays open (`silent`) or is reset (`reset`). Silence
   * cannot be undone, since a stream with bytes missing would be corrupt.
   */
  stopSendingAfter (bytes: number, mode: StopMode): void {
    const internals = this.socket as unknown as SocketInternals
    const write = internals._write.bind(this.socket)
    let remainingBytes = bytes
    internals._writev = null
    internals._write = (chunk, encoding, done) => {
      const data = typeof chunk === 'string' ? Buffer.from(chunk, encoding) : chunk
      const allowed = data.subarray(0, remainingBytes)
      remainingBytes -= allowed.length
      const finish: WriteCallback = error => {
        if (allowed.length < data.length) this.stopSending(mode)
        done(error)
      }
      if (allowed.length === 0) finish()
      else write(allowed, 'buffer' as BufferEncoding, finish)
    }
    if (bytes === 0) this.stopSending(mode)
  }

  private stopSending (mode: StopMode): void {
    if (mode === 'reset') {
      this.socket.resetAndDestroy()
      return
    }
    this.isSilent = true
    // The HTTP server calls `destroySoon` after the last response; the connection has to stay open.
    const internals = this.socket as unknown as SocketInternals
    internals.destroySoon = () => {}
  }
}
