/**
 * One TCP connection of a stand-in, and the control over what is still sent on it.
 */
import type { Socket } from 'node:net'

type WriteDone = (error?: Error | null) => void

/** The hooks through which Node's streams hand data to the socket. */
interface SocketHooks {
  _write: (chunk: Buffer | string, encoding: BufferEncoding, done: WriteDone) => void
  _writev: unknown
  destroySoon: () => void
}

/** What happens to a connection that may send no more. */
export type CutKind = 'mute' | 'reset'

/** A connection. */
export class Connection {
  /** Path of the latest call. */
  path = ''
  /** True once the connection stays open without sending. */
  isMuted = false

  constructor (readonly socket: Socket) {}

  /**
   * Sends this many further bytes and then no more: the connection stays open (`mute`), or is reset. Muting
   * cannot be undone, since a stream with bytes left out would be corrupt.
   */
  cutAfter (bytes: number, kind: CutKind): void {
    const hooks = this.socket as unknown as SocketHooks
    const write = hooks._write.bind(this.socket)
    let left = bytes
    hooks._writev = null
    hooks._write = (chunk, encoding, done) => {
      const data = typeof chunk === 'string' ? Buffer.from(chunk, encoding) : chunk
      const part = data.subarray(0, left)
      left -= part.length
      const finish: WriteDone = error => {
        if (part.length < data.length) this.cut(kind)
        done(error)
      }
      if (part.length === 0) finish()
      else write(part, 'buffer' as BufferEncoding, finish)
    }
    if (bytes === 0) this.cut(kind)
  }

  private cut (kind: CutKind): void {
    if (kind === 'reset') {
      this.socket.resetAndDestroy()
      return
    }
    this.isMuted = true
    // The HTTP server calls this after a last answer; the connection has to stay open.
    const hooks = this.socket as unknown as SocketHooks
    hooks.destroySoon = () => {}
  }
}
