/**
 * The connection of a host to a read relay. When it is closed, all open reads fail.
 */
import { connect, type Socket } from 'node:net'
import { encodeLine, LineDecoder, writeCorked } from '../../placement/index.js'
import { encodeRelayLine, maxRelayLineBytes, type RelayAnswer, relayAnswerSchema, relayService } from './relayMessages.js'

/** A read through a relay. */
export interface RelayQuestion { topic: string, from: number, wait: number, era: number }

/** An answer to a read. */
export type RelayReadAnswer = Exclude<RelayAnswer, { kind: 'relay' }>

/** Sends the reads of this host to one relay. */
export class RelayConnection {
  private readonly socket: Socket
  private readonly openReads = new Map<string, (answer: RelayReadAnswer | undefined) => void>()
  private readonly opened: Promise<void>
  private readonly closed = new AbortController()
  private reads = 0
  /** Why the connection was closed; undefined while it is open. */
  closeReason: string | undefined

  /** `address`: `ip:port` */
  constructor (readonly address: string) {
    const separator = address.lastIndexOf(':')
    const decoder = new LineDecoder<RelayAnswer>(relayAnswerSchema, maxRelayLineBytes)
    this.socket = connect({ host: address.slice(0, separator), port: Number(address.slice(separator + 1)), noDelay: true })
    this.socket.on('error', error => { this.close(error.message) })
    this.socket.on('close', () => { this.close('the connection was closed') })
    this.opened = new Promise(resolve => {
      this.closed.signal.addEventListener('abort', () => { resolve() }, { once: true })
      this.socket.on('data', bytes => {
        const answers = decoder.add(bytes)
        if (answers.isErr) return this.close(answers.error.message)
        for (const answer of answers.value) {
          if (answer.kind === 'relay') resolve()
          else this.settle(answer.id, answer)
        }
      })
    })
    writeCorked(this.socket, encodeLine({ kind: 'open', service: relayService }))
  }

  /** True if no further read can be sent. */
  get isClosed (): boolean {
    return this.closeReason !== undefined
  }

  /** Reads records. Undefined if the connection fails or the signal aborts. */
  async read (question: RelayQuestion, signal: AbortSignal): Promise<RelayReadAnswer | undefined> {
    if (this.isClosed || signal.aborted) return undefined
    this.reads += 1
    const id = String(this.reads)
    const answered = new Promise<RelayReadAnswer | undefined>(resolve => { this.openReads.set(id, resolve) })
    const cancel = (): void => { this.settle(id, undefined) }
    signal.addEventListener('abort', cancel, { once: true })
    this.opened.then(() => {
      if (this.openReads.has(id)) writeCorked(this.socket, encodeRelayLine({ kind: 'read', id, ...question }))
    }, () => {})
    const answer = await answered
    signal.removeEventListener('abort', cancel)
    return answer
  }

  /** Closes the connection; open reads fail. */
  close (reason: string): void {
    if (this.isClosed) return
    this.closeReason = reason
    this.closed.abort()
    this.socket.destroy()
    for (const id of [...this.openReads.keys()]) this.settle(id, undefined)
  }

  private settle (id: string, answer: RelayReadAnswer | undefined): void {
    const settle = this.openReads.get(id)
    this.openReads.delete(id)
    settle?.(answer)
  }
}
