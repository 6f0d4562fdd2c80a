/**
 * Accepts connections of other hosts, over plain TCP or mutual TLS, and passes them to the gRPC server. A connection
 * whose client certificate is missing or invalid is accepted too, so that the peer receives an error with the reason
 * instead of a failed handshake. Every call on such a connection fails with `unauthenticated`, and the listener closes
 * the connection after `unauthenticatedConnectionMilliseconds`.
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
  /** Certificates for mutual TLS. Absent: plain TCP. */
  certificates?: PeerCertificates | undefined
  events: EventLog
}

/** Time for which a connection without a valid certificate stays open, so that errors can be sent, in milliseconds. */
const unauthenticatedConnectionMilliseconds = 2000

/** Time for which a repeated rejection is not logged again, in milliseconds. A rejected host retries every second. */
const rejectionLogIntervalMilliseconds = 60_000

/** Listens on one address, and checks the certificates of connections and the senders of calls. */
export class PeerListener {
  private readonly injector
  private readonly netServer: Server | TlsServer
  /** Reason for which the certificate of an open connection was rejected, by remote `ip:port`. */
  private readonly rejectionReasons = new Map<string, string>()
  /** Remote IP address and reason of the rejections logged within the interval. */
  private readonly loggedRejections = new Set<string>()
  private readonly stopReloading: () => void

  private constructor (private readonly options: PeerListenerOptions) {
    this.injector = options.server.createConnectionInjector(ServerCredentials.createInsecure())
    const { certificates } = options
    this.netServer = certificates === undefined ? this.createPlainServer() : this.createMutualTlsServer(certificates.current)
    this.stopReloading = certificates?.onChange(set =>
      (this.netServer as TlsServer).setSecureContext(tlsOptionsOf(set))) ?? (() => {})
  }

  /** Starts to listen. Errors: `internal` if the address cannot be bound. */
  static async start (options: PeerListenerOptions): Promise<Result<PeerListener, Failure>> {
    const listener = new PeerListener(options)
    const colon = options.address.lastIndexOf(':')
    const host = options.address.slice(0, colon).replace(/^\[|\]$/g, '')
    listener.netServer.listen(Number(options.address.slice(colon + 1)), host)
    try {
      await once(listener.netServer, 'listening')
      return Result.ok(listener)
    } catch (caught) {
      listener.close()
      return Result.err(failure('internal', `cannot listen on ${options.address}: ${(caught as Error).message}`))
    }
  }

  /** `ip:port` with the port that was bound. */
  get address (): string {
    const { port } = this.netServer.address() as AddressInfo
    return `${this.options.address.slice(0, this.options.address.lastIndexOf(':'))}:${port}`
  }

  /** Checks that the caller's certificate is valid and names the sender. Passes without TLS. Errors: `unauthenticated`. */
  checkCertificate (call: Pick<ServerUnaryCall<unknown, unknown>, 'getPeer' | 'getAuthContext'>, sender: HostId): Result<void, Failure> {
    if (this.options.certificates === undefined) return Result.ok(undefined)
    const certificate = call.getAuthContext().sslPeerCertificate
    if (certificate === undefined) {
      const reason = this.rejectionReasons.get(call.getPeer()) ?? 'no certificate'
      return Result.err(failure('unauthenticated', `the certificate of the calling host was rejected: ${reason}`))
    }
    const names = (certificate.subjectaltname ?? '').split(', ')
    if (names.includes(`DNS:${sender}`)) return Result.ok(undefined)
    const message = `the certificate of the calling host is for ${names.join(', ')}, not for ${sender}`
    this.logRejection(call.getPeer(), message)
    return Result.err(failure('unauthenticated', message))
  }

  /** Stops accepting connections; open connections continue. */
  close (): void {
    this.stopReloading()
    this.netServer.close()
  }

  /** Closes all open connections. */
  destroy (): void {
    this.injector.destroy()
  }

  private createPlainServer (): Server {
    return createServer({ noDelay: true }, socket => this.accept(socket))
  }

  private createMutualTlsServer (set: CertificateSet): TlsServer {
    const listener = createTlsServer({
      ...tlsOptionsOf(set),
      requestCert: true,
      rejectUnauthorized: false,
      ALPNProtocols: ['h2'],
      noDelay: true
    })
    listener.on('secureConnection', socket => {
      if (!socket.authorized) this.rejectCertificate(socket)
      this.accept(socket)
    })
    listener.on('tlsClientError', (error, socket) => this.logRejection(remoteAddressOf(socket), `handshake: ${error.message.trim()}`))
    return listener
  }

  private accept (socket: Socket): void {
    socket.on('error', () => {})
    this.injector.injectConnection(socket)
  }

  private rejectCertificate (socket: TLSSocket): void {
    const remoteAddress = remoteAddressOf(socket)
    const hasCertificate = Object.keys(socket.getPeerCertificate()).length > 0
    const reason = hasCertificate ? String(socket.authorizationError) : 'no certificate'
    this.rejectionReasons.set(remoteAddress, reason)
    this.logRejection(remoteAddress, reason)
    const timer = setTimeout(() => socket.destroy(), unauthenticatedConnectionMilliseconds)
    socket.on('close', () => {
      clearTimeout(timer)
      this.rejectionReasons.delete(remoteAddress)
    })
  }

  private logRejection (peer: string, reason: string): void {
    const address = peer.replace(/:\d+$/, '')
    const key = `${address} ${reason}`
    if (this.loggedRejections.has(key)) return
    this.loggedRejections.add(key)
    setTimeout(() => this.loggedRejections.delete(key), rejectionLogIntervalMilliseconds).unref()
    this.options.events.warn('peer_certificate_refused', { address: peer, reason })
  }
}

/** Remote `ip:port` of the socket; `unknown` if the socket is already closed. */
function remoteAddressOf (socket: Socket): string {
  if (socket.remoteAddress === undefined) return 'unknown'
  return `${socket.remoteAddress}:${socket.remotePort}`
}

function tlsOptionsOf ({ certificate, key, authority }: CertificateSet): { cert: Buffer, key: Buffer, ca: Buffer } {
  return { cert: certificate, key, ca: authority }
}
