/**
 * Stops and continues the reading of a connection. The HTTP server of Node itself continues reading at several points,
 * so that a plain pause would not last.
 */
import type { Socket } from 'node:net'

/** Why reading stops: too many requests, a refused body, or memory for the given request. */
export type HoldReason = 'requests' | 'refused' | object

/** Keeps a socket paused while there is a reason. */
export class ReadingGate {
  private readonly reasons = new Set<HoldReason>()

  constructor (private readonly socket: Pick<Socket, 'on' | 'pause' | 'resume' | 'emit'>) {
    socket.on('resume', () => {
      if (!this.isHeld) return
      this.socket.pause()
      // A resume of before the hold begins to read only now. The stream counts as paused already, so that `pause` does not
      // emit the event at which the HTTP server stops reading.
      this.socket.emit('pause')
    })
  }

  get isHeld (): boolean {
    return this.reasons.size > 0
  }

  hold (reason: HoldReason): void {
    this.reasons.add(reason)
    this.socket.pause()
  }

  release (reason: HoldReason): void {
    if (this.reasons.delete(reason) && !this.isHeld) this.socket.resume()
  }
}
