/**
 * Accepts connections of other hosts, over plain TCP or mutual TLS, and hands them to the gRPC server. A
 * connection with an unusable certificate is accepted too, so that the peer gets an answer that says what is
 * wrong instead of a broken handshake; the server refuses each call on it, and it is closed soon after.
 */
import { type Server as GrpcServer, ServerCredentials, type ServerUnaryCall } from '@grpc/grpc-js'
import { once } from 'node:events'
import { type AddressInfo, createServer, type Server, type Socket } from 'node:net'
import { createServer as createTlsServer, type Server as TlsServer, type TLSSocket } from 'node:tls'
import { Result } from 'true-myth'
import { type Failure, failure, type HostId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { CertificateSet, PeerCertificates } from './PeerCertificates.js'

/** Options of a `PeerListener`. */
export interface PeerListenerOptions {
  /** `ip:port` to listen on. */
  address: string
  server: GrpcServer
  /** Absent: plain TCP. */
  certificates?: PeerCertificates | undefined
  log: EventLog
}

/** Time for which a connection with an unusable certificate stays open for the answers, in milliseconds. */
const refusedMilliseconds = 2000

/** Time for which the same refusal is not logged again, in milliseconds; a refused host tries again every second. */
const repeatedRefusalMilliseconds = 60_000

/** The listening socket of a peer server. */
export class PeerListener {
  private readonly injector
  private readonly listener: Server | TlsServer
  private readonly refusals = new Map<string, string>()
  private readonly logged = new Set<string>()
  private readonly endReload: () => void

  private constructor (private readonly options: PeerListenerOptions) {
    this.injector = options.server.createConnectionInjector(ServerCredentials.createInsecure())
    const { certificates } = options
    this.listener = certificates === undefined ? this.plainListener() : this.tlsListener(certificates.current)
    this.endReload = certificates?.onChange(set => (this.listener as TlsServer).setSecureContext(contextOf(set))) ?? (() => {})
  }

  /** Starts to listen. Errors: `internal` when the address cannot be bound. */
  static async start (options: PeerListenerOptions): Promise<Result<PeerListener, Failure>> {
    const listener = new PeerListener(options)
    const colon = options.address.lastIndexOf(':')
    const host = options.address.slice(0, colon).replace(/^\[|\]$/g, '')
    listener.listener.listen(Number(options.address.slice(colon + 1)), host)
    try {
      await once(listener.listener, 'listening')
      return Result.ok(listener)
    } catch (caught) {
      listener.close()
      return Result.err(failure('internal', `cannot listen on ${options.address}: ${(caught as Error).message}`))
    }
  }

  /** `ip:port` with the actual port. */
  get address (): string {
    const { port } = this.listener.address() as AddressInfo
    return `${this.options.address.slice(0, this.options.address.lastIndexOf(':'))}:${port}`
  }

  /** Checks that the caller's certificate is usable and names the sender. Errors: `unauthenticated`. */
  checkCertificate (call: Pick<ServerUnaryCall<unknown, unknown>, 'getPeer' | 'getAuthContext'>, sender: HostId): Result<void, Failure> {
    if (this.options.certificates === undefined) return Result.ok(undefined)
    const certificate = call.getAuthContext().sslPeerCertificate
    if (certificate === undefined) {
      const reason = this.refusals.get(call.getPeer()) ?? 'no certificate'
      return Result.err(failure('unauthenticated', `the certificate of the calling host is not accepted: ${reason}`))
    }
    const names = (certificate.subjectaltname ?? '').split(', ')
    if (names.includes(`DNS:${sender}`)) return Result.ok(undefined)
    const message = `the certificate of the calling host is for ${names.join(', ')}, not for ${sender}`
    this.logRefusal(call.getPeer(), message)
    return Result.err(failure('unauthenticated', message))
  }

  /** Stops to accept connections; the open ones go on. */
  close (): void {
    this.endReload()
    this.listener.close()
  }

  /** Closes the open connections. */
  destroy (): void {
    this.injector.destroy()
  }

  private plainListener (): Server {
    return createServer({ noDelay: true }, socket => this.accept(socket))
  }

  private tlsListener (set: CertificateSet): TlsServer {
    const listener = createTlsServer({
      ...contextOf(set),
      requestCert: true,
      rejectUnauthorized: false,
      ALPNProtocols: ['h2'],
      noDelay: true
    })
    listener.on('secureConnection', socket => {
      if (!socket.authorized) this.refuse(socket)
      this.accept(socket)
    })
    listener.on('tlsClientError', (error, socket) => this.logRefusal(peerOf(socket), `handshake: ${error.message.trim()}`))
    return listener
  }

  private accept (socket: Socket): void {
    socket.on('error', () => {})
    this.injector.injectConnection(socket)
  }

  private refuse (socket: TLSSocket): void {
    const peer = peerOf(socket)
    const hasCertificate = Object.keys(socket.getPeerCertificate()).length > 0
    const reason = hasCertificate ? String(socket.authorizationError) : 'no certificate'
    this.refusals.set(peer, reason)
    this.logRefusal(peer, reason)
    const timer = setTimeout(() => socket.destroy(), refusedMilliseconds)
    socket.on('close', () => {
      clearTimeout(timer)
      this.refusals.delete(peer)
    })
  }

  private logRefusal (peer: string, reason: string): void {
    const address = peer.replace(/:\d+$/, '')
    const key = `${address} ${reason}`
    if (this.logged.has(key)) return
    this.logged.add(key)
    setTimeout(() => this.logged.delete(key), repeatedRefusalMilliseconds).unref()
    this.options.log.warn('peer_certificate_refused', { address: peer, reason })
  }
}

/** `ip:port` of the other end; `unknown` when the socket is already closed. */
function peerOf (socket: Socket): string {
  if (socket.remoteAddress === undefined) return 'unknown'
  return `${socket.remoteAddress}:${socket.remotePort}`
}

function contextOf ({ certificate, key, authority }: CertificateSet): { cert: Buffer, key: Buffer, ca: Buffer } {
  return { cert: certificate, key, ca: authority }
}
