/**
 * Helpers for tests of connections between hosts: a record source that tests append to, a TCP forwarder that can break
 * or silence connections, and pools and servers that write their logs to memory.
 */
import { once } from 'node:events'
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'
import { type HostId, type Incarnation, SystemClock, toOffset, type Offset } from '../common/index.js'
import { EventLog, HybridClock, Timeline } from '../observability/index.js'
import type { LogRecord, StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from '../streams/RecordSource.js'
import { PeerPool, type PeerPoolOptions } from './PeerPool.js'
import { PeerServer, type PeerServerOptions } from './PeerServer.js'
import type { PeerIdentity } from './PeerIdentity.js'

/** Creates the identity of a test host. The incarnation is the given digit, repeated 16 times. */
export function identityOf (hostId: string, incarnationDigit = '1'): PeerIdentity {
  return { hostId: hostId as HostId, incarnation: incarnationDigit.repeat(16) as Incarnation }
}

/** Creates an event log that keeps its lines in memory. */
export function createRecordingLog (hostId: string): { events: EventLog, lines: string[], hybridClock: HybridClock } {
  const hybridClock = new HybridClock(new SystemClock())
  const lines: string[] = []
  const timeline = new Timeline(hostId, hybridClock)
  return { events: new EventLog({ timeline, level: 'debug', write: line => { lines.push(line) } }), lines, hybridClock }
}

/** A record source whose records the test adds with `append`. */
export class GrowingSource extends RecordSource {
  private readonly records: LogRecord[] = []
  private readonly appendWaiters = new Set<() => void>()

  constructor (readonly name = 'growing') {
    super()
  }

  append (count: number): void {
    for (let index = 0; index < count; index += 1) {
      const offset = toOffset(this.records.length + 1)
      this.records.push({ offset, at: 0, value: `value ${offset}` })
    }
    for (const resume of this.appendWaiters) resume()
  }

  async * follow (_stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    let next: number = from
    while (!signal.aborted) {
      const records = this.records.slice(next - 1)
      const nextOffset = toOffset(this.records.length + 1)
      if (records.length === 0) {
        yield { kind: 'heartbeat', nextOffset }
        await this.waitForAppend(signal)
        continue
      }
      next = nextOffset
      yield { kind: 'records', startOffset: toOffset(1), nextOffset, records }
    }
  }

  private waitForAppend (signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const resume = (): void => {
        this.appendWaiters.delete(resume)
        signal.removeEventListener('abort', resume)
        resolve()
      }
      this.appendWaiters.add(resume)
      signal.addEventListener('abort', resume)
      if (signal.aborted) resume()
    })
  }
}

/** Forwards TCP connections to the target address, and can silence or break the open ones. */
export class TcpForwarder {
  private readonly connections = new Set<[Socket, Socket]>()
  /** Number of connections accepted so far. */
  accepted = 0

  private constructor (private readonly server: Server) {}

  static async start (targetAddress: string): Promise<TcpForwarder> {
    const [ip, port] = targetAddress.split(':')
    const server = createServer()
    const forwarder = new TcpForwarder(server)
    server.on('connection', clientSocket => forwarder.forward(clientSocket, connect(Number(port), ip)))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return forwarder
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  /** Stops forwarding on the open connections but keeps them open; later connections are forwarded. */
  silence (): void {
    for (const [clientSocket, serverSocket] of this.connections) {
      clientSocket.unpipe(serverSocket).resume()
      serverSocket.unpipe(clientSocket).resume()
    }
  }

  /** Closes the open connections. */
  reset (): void {
    for (const connection of this.connections) for (const socket of connection) socket.destroy()
    this.connections.clear()
  }

  async stop (): Promise<void> {
    this.reset()
    this.server.close()
    await once(this.server, 'close')
  }

  private forward (clientSocket: Socket, serverSocket: Socket): void {
    this.accepted += 1
    this.connections.add([clientSocket, serverSocket])
    clientSocket.on('error', () => serverSocket.destroy()).on('close', () => serverSocket.destroy())
    serverSocket.on('error', () => clientSocket.destroy()).on('close', () => clientSocket.destroy())
    clientSocket.pipe(serverSocket)
    serverSocket.pipe(clientSocket)
  }
}

/** Collects the cleanup steps of a test and runs them in reverse order after it. */
export class Cleanup {
  private readonly steps: Array<() => unknown> = []

  add (step: () => unknown): void {
    this.steps.unshift(step)
  }

  async run (): Promise<void> {
    for (const step of this.steps.splice(0)) await step()
  }
}

/** Starts a server on a free port of the loopback address; it is stopped after the test. */
export async function startServer (
  cleanup: Cleanup, options: Partial<PeerServerOptions> & Pick<PeerServerOptions, 'handlers' | 'identity'>
): Promise<PeerServer> {
  const { events, hybridClock } = createRecordingLog(options.identity.hostId)
  const started = await PeerServer.start({ address: '127.0.0.1:0', events, hybridClock, ...options })
  const server = started.unwrapOrElse(failed => { throw new Error(failed.message) })
  cleanup.add(() => server.stop(100))
  return server
}

/** Creates a pool that is closed after the test. */
export function createPeerPool (cleanup: Cleanup, hostId: string, options: Partial<PeerPoolOptions> = {}): PeerPool {
  const { events, hybridClock } = createRecordingLog(hostId)
  const pool = new PeerPool({ identity: identityOf(hostId), hybridClock, events, ...options })
  cleanup.add(() => pool.close())
  return pool
}
