/**
 * Passes connections on to an address on this machine, and does to them what networks do: delays, resets, loses the
 * bytes of one direction or falls silent.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'

/**
 * What happens to connections: `open`, nothing; `reset`, open ones are reset and new ones too; `silent`, no byte passes
 * and nothing tells so; `requests_lost` and `answers_lost`, one direction is silent; `slow`, each piece is delayed.
 */
export const linkStates = ['open', 'reset', 'silent', 'requests_lost', 'answers_lost', 'slow'] as const
export type LinkState = typeof linkStates[number]

/** Delay of each piece on a slow link, in milliseconds: well above the few of a sound one, below the hosts' time limits. */
const slowMilliseconds = 150

/** A proxy for one address. */
export class LoopbackProxy {
  /** `ip:port` that the clients use. */
  readonly address: string
  private readonly sockets = new Set<Socket>()
  private state: LinkState = 'open'
  /** Connections of an earlier time that have fallen silent for good, although the link works again. */
  private readonly lost = new WeakSet<Socket>()

  private constructor (private readonly server: Server, private readonly target: string) {
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    server.on('connection', client => this.serve(client))
  }

  static async start (target: string): Promise<LoopbackProxy> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return new LoopbackProxy(server, target)
  }

  /** Changes the link. Connections whose bytes were lost stay silent after its return. */
  set (state: LinkState): void {
    this.state = state
    if (state === 'reset') for (const socket of this.sockets) socket.resetAndDestroy()
  }

  async stop (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private serve (client: Socket): void {
    if (this.state === 'reset') {
      client.resetAndDestroy()
      return
    }
    const [host, port] = this.target.split(':')
    const upstream = connect({ host: host!, port: Number(port) })
    this.join(client, upstream, 'requests_lost')
    this.join(upstream, client, 'answers_lost')
  }

  private join (from: Socket, to: Socket, lostBy: LinkState): void {
    this.sockets.add(from)
    from.on('data', bytes => {
      if (this.state === 'silent' || this.state === lostBy) this.lost.add(from)
      if (this.lost.has(from)) return
      if (this.state !== 'slow') to.write(bytes)
      else setTimeout(() => { to.write(bytes) }, slowMilliseconds)
    })
    from.on('end', () => { if (!this.lost.has(from)) to.end() })
    from.on('error', () => { to.resetAndDestroy() })
    from.on('close', () => {
      this.sockets.delete(from)
      if (!this.lost.has(from)) to.destroySoon()
    })
  }
}
