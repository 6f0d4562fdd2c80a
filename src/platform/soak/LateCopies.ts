/**
 * Second copies of responses that a worker of a soak writes late: when the connection may be idle, may have carried the
 * next request, or expects the next response. A copy never interrupts a response.
 */
import type { Socket } from 'node:net'
import type { SeededRandom } from '../../common/index.js'

/** Share of responses that are written once more while the worker repeats responses. */
const copyRatio = 0.6

/** Maximum time after a response until its copy, in milliseconds. */
const maxDelayMilliseconds = 300

/**
 * When a copy is written: after some time, when the next request arrives, when the next call without an id arrives, whose
 * response nothing distinguishes from the copy, or together with the next response.
 */
const copyTimes = ['later', 'on_request', 'on_call_without_id', 'with_response'] as const

interface Copy { at: typeof copyTimes[number], text: string }

/** Writes the copies of the responses of one worker. */
export class LateCopies {
  /** Monotonic time in milliseconds until which the worker repeats responses. */
  activeUntil = 0
  /** Number of copies that were written. */
  count = 0
  private readonly copies = new WeakMap<Socket, Copy>()
  /** Copies that wait for a call without an id. */
  private readonly copiesForCalls = new WeakMap<Socket, Copy>()
  private readonly openResponses = new WeakSet<Socket>()

  constructor (private readonly random: SeededRandom) {}

  /** Writes the copy that is due when a request arrives. */
  requestArrived (socket: Socket, hasId: boolean): void {
    if (!hasId) this.write(socket, this.copiesForCalls)
    if (this.copies.get(socket)?.at === 'on_request') this.write(socket)
  }

  /** Writes a response in one piece, once or several times. */
  respond (socket: Socket, text: string, times = 1): void {
    this.begin(socket)
    if (!socket.destroyed) socket.write(text.repeat(times))
    this.end(socket, text)
  }

  /** Writes the copy that is due before a response. No copy is written until `end`. */
  begin (socket: Socket): void {
    this.write(socket)
    this.openResponses.add(socket)
  }

  /** Plans the copy of a response that has been written. */
  end (socket: Socket, text: string): void {
    this.openResponses.delete(socket)
    if (performance.now() >= this.activeUntil || this.random.fraction() >= copyRatio) return
    const at = this.random.pick(copyTimes)
    const copies = at === 'on_call_without_id' ? this.copiesForCalls : this.copies
    copies.set(socket, { at, text })
    if (at === 'later') setTimeout(() => { this.write(socket) }, this.random.integer(0, maxDelayMilliseconds))
  }

  private write (socket: Socket, copies = this.copies): void {
    const copy = copies.get(socket)
    if (copy === undefined || this.openResponses.has(socket)) return
    copies.delete(socket)
    if (socket.destroyed) return
    this.count += 1
    socket.write(copy.text)
  }
}
