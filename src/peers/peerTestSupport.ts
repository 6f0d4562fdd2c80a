/**
 * What the tests of connections between hosts share: a growing record source, a TCP forwarder that can go
 * silent, and pools and servers with quiet logs.
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

/** Makes the identity of a test host; the digit tells incarnations apart. */
export function identityOf (hostId: string, digit = '1'): PeerIdentity {
  return { hostId: hostId as HostId, incarnation: digit.repeat(16) as Incarnation }
}

/** An event log that keeps its lines. */
export function recordedLog (hostId: string): { log: EventLog, lines: string[], hybridClock: HybridClock } {
  const hybridClock = new HybridClock(new SystemClock())
  const lines: string[] = []
  const timeline = new Timeline(hostId, hybridClock)
  return { log: new EventLog({ timeline, level: 'debug', write: line => { lines.push(line) } }), lines, hybridClock }
}

/** A source with the records that `append` gave it. */
export class GrowingSource extends RecordSource {
  private readonly records: LogRecord[] = []
  private readonly wakers = new Set<() => void>()

  constructor (readonly name = 'growing') {
    super()
  }

  append (count: number): void {
    for (let index = 0; index < count; index += 1) {
      const offset = toOffset(this.records.length + 1)
      this.records.push({ offset, at: 0, value: `value ${offset}` })
    }
    for (const wake of this.wakers) wake()
  }

  async * follow (_stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    let next: number = from
    while (!signal.aborted) {
      const records = this.records.slice(next - 1)
      const nextOffset = toOffset(this.records.length + 1)
      if (records.length === 0) {
        yield { kind: 'heartbeat', nextOffset }
        await this.grown(signal)
        continue
      }
      next = nextOffset
      yield { kind: 'records', startOffset: toOffset(1), nextOffset, records }
    }
  }

  private grown (signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const wake = (): void => {
        this.wakers.delete(wake)
        signal.removeEventListener('abort', wake)
        resolve()
      }
      this.wakers.add(wake)
      signal.addEventListener('abort', wake)
      if (signal.aborted) wake()
    })
  }
}

/** Forwards TCP connections. Those open at `silence` stay open and carry nothing more; later ones work. */
export class TcpForwarder {
  private readonly pairs = new Set<[Socket, Socket]>()
  /** Number of connections accepted so far. */
  accepted = 0

  private constructor (private readonly server: Server) {}

  static async start (targetAddress: string): Promise<TcpForwarder> {
    const [ip, port] = targetAddress.split(':')
    const server = createServer()
    const forwarder = new TcpForwarder(server)
    server.on('connection', near => forwarder.forward(near, connect(Number(port), ip)))
    server.listen(0, '127.0.0.1')
    await once(server, 'listening')
    return forwarder
  }

  get address (): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`
  }

  silence (): void {
    for (const [near, far] of this.pairs) {
      near.unpipe(far).resume()
      far.unpipe(near).resume()
    }
  }

  /** Breaks the open connections. */
  reset (): void {
    for (const pair of this.pairs) for (const socket of pair) socket.destroy()
    this.pairs.clear()
  }

  async stop (): Promise<void> {
    this.reset()
    this.server.close()
    await once(this.server, 'close')
  }

  private forward (near: Socket, far: Socket): void {
    this.accepted += 1
    this.pairs.add([near, far])
    near.on('error', () => far.destroy()).on('close', () => far.destroy())
    far.on('error', () => near.destroy()).on('close', () => near.destroy())
    near.pipe(far)
    far.pipe(near)
  }
}

/** Collects what a test opened, and closes it after the test. */
export class Cleanup {
  private readonly steps: Array<() => unknown> = []

  add (step: () => unknown): void {
    this.steps.unshift(step)
  }

  async run (): Promise<void> {
    for (const step of this.steps.splice(0)) await step()
  }
}

/** Starts a server on a free port of the loopback address. */
export async function startServer (
  cleanup: Cleanup, options: Partial<PeerServerOptions> & Pick<PeerServerOptions, 'handlers' | 'identity'>
): Promise<PeerServer> {
  const { log, hybridClock } = recordedLog(options.identity.hostId)
  const started = await PeerServer.start({ address: '127.0.0.1:0', log, hybridClock, ...options })
  const server = started.unwrapOrElse(failed => { throw new Error(failed.message) })
  cleanup.add(() => server.stop(100))
  return server
}

/** Makes a pool that closes after the test. */
export function makePool (cleanup: Cleanup, hostId: string, options: Partial<PeerPoolOptions> = {}): PeerPool {
  const { log, hybridClock } = recordedLog(hostId)
  const pool = new PeerPool({ identity: identityOf(hostId), hybridClock, log, ...options })
  cleanup.add(() => pool.close())
  return pool
}
