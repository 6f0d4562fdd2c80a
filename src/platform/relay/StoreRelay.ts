/**
 * Serves the reads of other hosts from the topics that this host reads itself. Connections, open reads and answers that
 * were not sent yet are bounded; a connection that sends anything but reads is closed.
 */
import type { Socket } from 'node:net'
import type { EventLog } from '../../observability/index.js'
import { LineDecoder, writeCorked } from '../../placement/index.js'
import { encodeRecordsLine, encodeRelayLine, type RelayRequest, relayRequestSchema } from './relayMessages.js'
import type { RelayedTopic } from './RelayedTopic.js'

/** Maximum number of readers; further ones choose another relay. */
const maxReaders = 96

/** Maximum number of open reads of one connection; a reader has one for each topic. */
const maxOpenReads = 16

/**
 * Maximum size of the answers to all readers that were not sent yet, in characters. The smallest hosts have 202 MB, and
 * these answers are not part of the byte budget of their requests.
 */
const maxUnsentLength = 8_388_608

/** Length from which a line is passed to the system at once, so that it does not wait with the other lines of the turn. */
const minLongLineLength = 16_384

/** Time after which a connection without reads is closed, in milliseconds; its host may be gone. */
const idleMilliseconds = 10_000

/** Options of a `StoreRelay`. */
export interface StoreRelayOptions {
  topics: ReadonlyMap<string, Pick<RelayedTopic, 'readForPeer'>>
  era: { readonly current: number }
  events: EventLog
}

/** Owns the connections of the hosts that read through this one. */
export class StoreRelay {
  private readonly sockets = new Set<Socket>()

  constructor (private readonly options: StoreRelayOptions) {}

  /** Number of hosts that read through this one. */
  get readers (): number {
    return this.sockets.size
  }

  /** Serves a connection on which another host opened the service. */
  serve (socket: Socket): void {
    if (this.sockets.size >= maxReaders) {
      socket.destroy()
      return
    }
    this.sockets.add(socket)
    const decoder = new LineDecoder(relayRequestSchema)
    const openReads = { count: 0 }
    socket.on('error', () => {})
    socket.on('close', () => { this.sockets.delete(socket) })
    socket.setTimeout(idleMilliseconds, () => { socket.destroy() })
    socket.on('data', bytes => {
      const requests = decoder.add(bytes)
      if (requests.isErr) return this.refuse(socket, requests.error.message)
      if (openReads.count + requests.value.length > maxOpenReads) return this.refuse(socket, 'too many open reads')
      for (const request of requests.value) this.answer(request, socket, openReads).catch(() => { socket.destroy() })
    })
    writeCorked(socket, encodeRelayLine({ kind: 'relay' }))
  }

  /** Closes all connections, so that the readers notice that the records were interrupted. */
  closeAll (): void {
    for (const socket of this.sockets) socket.destroy()
  }

  private refuse (socket: Socket, reason: string): void {
    this.options.events.warn('relay_reader_closed', { address: socket.remoteAddress, reason })
    this.sockets.delete(socket)
    socket.destroy()
  }

  private async answer (request: RelayRequest, socket: Socket, openReads: { count: number }): Promise<void> {
    openReads.count += 1
    const line = await this.lineFor(request)
    openReads.count -= 1
    if (socket.destroyed) return
    this.makeRoom(line.length)
    if (line.length < minLongLineLength) writeCorked(socket, line)
    else if (!socket.destroyed) socket.write(line)
  }

  /** Closes the readers with the longest unsent answers until a line fits into the bound; they read from the store. */
  private makeRoom (length: number): void {
    const readers = [...this.sockets]
    let unsent = readers.reduce((sum, { writableLength }) => sum + writableLength, length)
    if (unsent <= maxUnsentLength) return
    for (const socket of readers.sort((left, right) => right.writableLength - left.writableLength)) {
      if (unsent <= maxUnsentLength) return
      unsent -= socket.writableLength
      this.refuse(socket, 'answers are not read')
    }
  }

  private async lineFor ({ id, topic: name, from, wait, era }: RelayRequest): Promise<string> {
    const topic = this.options.topics.get(name)
    const outcome = topic === undefined ? { kind: 'stale' as const } : await topic.readForPeer(from, era, wait)
    const head = { id, era: this.options.era.current }
    if (outcome.kind !== 'records') return encodeRelayLine({ kind: outcome.kind, ...head })
    const { next, age, texts } = outcome
    return encodeRecordsLine({ ...head, next, age: Math.ceil(age) }, texts)
  }
}
