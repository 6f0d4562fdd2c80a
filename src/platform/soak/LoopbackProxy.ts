/**
 * TCP proxy for an address on this machine that injects network faults: delays, resets, and the loss of bytes in one or
 * both directions.
 */
import { type AddressInfo, connect, createServer, type Server, type Socket } from 'node:net'

/**
 * States of the link: `open`, no fault; `reset`, open and new connections are reset; `silent`, bytes are lost in both
 * directions without an error; `requests_lost` and `answers_lost`, bytes are lost in one direction; `slow`, each chunk
 * is delayed.
 */
export const linkStates = ['open', 'reset', 'silent', 'requests_lost', 'answers_lost', 'slow'] as const
export type LinkState = typeof linkStates[number]

/**
 * Delay of each chunk on a slow link, in milliseconds: far above the few of a normal link, below the hosts' time
 * limits.
 */
const slowLinkDelayMilliseconds = 150

/** Forwards connections to one address, subject to the state of the link. */
export class LoopbackProxy {
  /** `ip:port` that the clients use. */
  readonly address: string
  private readonly sockets = new Set<Socket>()
  private state: LinkState = 'open'
  /** Sockets that lost bytes; they stay silent even after the link works again. */
  private readonly silencedSockets = new WeakSet<Socket>()
  /** Local ports of the connections to the target on which bytes were lost. */
  private readonly silencedPorts = new Set<number>()

  private constructor (private readonly server: Server, private readonly target: string) {
    this.address = `127.0.0.1:${(server.address() as AddressInfo).port}`
    server.on('connection', client => this.handleConnection(client))
  }

  static async start (target: string): Promise<LoopbackProxy> {
    const server = createServer()
    await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
    return new LoopbackProxy(server, target)
  }

  /** Changes the state of the link. Connections that lost bytes stay silent after the link works again. */
  setState (state: LinkState): void {
    this.state = state
    if (state === 'reset') for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** True if bytes were lost on the connection to the target from this local port. */
  hasLostBytes (port: number | undefined): boolean {
    return port !== undefined && this.silencedPorts.has(port)
  }

  /** Accepts no further connections. Open ones go on. */
  stopListening (): void {
    this.server.close()
  }

  async stop (): Promise<void> {
    for (const socket of this.sockets) socket.destroy()
    await new Promise<void>(resolve => { this.server.close(() => { resolve() }) })
  }

  private handleConnection (client: Socket): void {
    if (this.state === 'reset') {
      client.resetAndDestroy()
      return
    }
    const [host, port] = this.target.split(':')
    const upstream = connect({ host: host!, port: Number(port) })
    this.forward(client, upstream, 'requests_lost', upstream)
    this.forward(upstream, client, 'answers_lost', upstream)
  }

  private forward (from: Socket, to: Socket, dropState: LinkState, upstream: Socket): void {
    this.sockets.add(from)
    from.on('data', bytes => {
      if (this.state === 'silent' || this.state === dropState) {
        this.silencedSockets.add(from)
        if (upstream.localPort !== undefined) this.silencedPorts.add(upstream.localPort)
      }
      if (this.silencedSockets.has(from)) return
      if (this.state !== 'slow') to.write(bytes)
      else setTimeout(() => { to.write(bytes) }, slowLinkDelayMilliseconds)
    })
    from.on('end', () => { if (!this.silencedSockets.has(from)) to.end() })
    from.on('error', () => { to.resetAndDestroy() })
    from.on('close', () => {
      this.sockets.delete(from)
      if (!this.silencedSockets.has(from)) to.destroySoon()
    })
  }
}
