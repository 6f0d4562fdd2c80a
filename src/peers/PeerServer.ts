/**
 * Serves the calls of other entry hosts over gRPC. The server checks who calls and whom the call is for,
 * keeps the hybrid clock in step, and turns failures into gRPC errors; the work is done by the handlers.
 */
import {
  Metadata, Server, type ServerOptions, type ServerUnaryCall, type ServerWritableStream,
  type sendUnaryData, type UntypedServiceImplementation
} from '@grpc/grpc-js'
import { once } from 'node:events'
import { Result } from 'true-myth'
import { type Failure, failure, failureOf, toOffset } from '../common/index.js'
import { type EventLog, formatTimestamp, type HybridClock, hybridTimeHeader, parseTimestamp } from '../observability/index.js'
import { type StreamName, streamNameSchema } from '../clients/index.js'
import type { RecordSource } from '../streams/index.js'
import { encodeSourceMessage } from './followMessages.js'
import { type FollowMessage, type FollowRequest, PeerService } from './generated/peer.js'
import type { IncomingCall, PeerHandler, PeerHandlers, UnaryCallName } from './PeerHandlers.js'
import { expectedIncarnationKey, type PeerIdentity, peerIdentitySchema } from './PeerIdentity.js'
import { statusOfFailure } from './peerFailures.js'
import { channelLimits, keepAliveOptions } from './channelOptions.js'
import type { PeerCertificates } from './PeerCertificates.js'
import { PeerListener } from './PeerListener.js'

/** Options of a `PeerServer`. */
export interface PeerServerOptions {
  /** This host. */
  identity: PeerIdentity
  /** `ip:port` to listen on; port 0 lets the system choose. */
  address: string
  handlers: PeerHandlers
  hybridClock: HybridClock
  log: EventLog
  /** Certificates for mutual TLS. Absent: plain TCP. */
  certificates?: PeerCertificates
}

/** A request of any call, as far as the server itself reads it. */
interface AnyRequest {
  sender: { hostId: string, incarnation: string } | undefined
  /** Only heartbeats have this field; the other calls carry it in metadata. */
  expectedIncarnation?: string
}

type AnyCall = ServerUnaryCall<AnyRequest, unknown> | ServerWritableStream<AnyRequest, unknown>

const unaryCallNames: UnaryCallName[] = ['heartbeat', 'submitUse', 'mirrorUse', 'executeOnce', 'leaseStatus', 'demand']

const serverOptions: ServerOptions = { ...channelLimits, ...keepAliveOptions }

/** Time that open calls get to end after `stop`, in milliseconds. */
const defaultGraceMilliseconds = 1000

/** The gRPC server for other entry hosts. */
export class PeerServer {
  private readonly server = new Server(serverOptions)
  private readonly stopping = new AbortController()
  private listener: PeerListener | undefined

  private constructor (private readonly options: PeerServerOptions) {}

  /** Starts to listen. Errors: `internal` when the address cannot be bound. */
  static async start (options: PeerServerOptions): Promise<Result<PeerServer, Failure>> {
    const server = new PeerServer(options)
    server.server.addService(PeerService, server.implementation())
    const { address, certificates, log } = options
    const listening = await PeerListener.start({ address, server: server.server, certificates, log })
    return listening.map(listener => {
      server.listener = listener
      return server
    })
  }

  /** `ip:port` that the server listens on. */
  get address (): string {
    return this.listener?.address ?? this.options.address
  }

  /** Ends the `Follow` calls with `draining`, waits for the other calls, then closes all connections. */
  async stop (graceMilliseconds = defaultGraceMilliseconds): Promise<void> {
    this.stopping.abort()
    this.listener?.close()
    let timer: NodeJS.Timeout | undefined
    await new Promise<void>(resolve => {
      timer = setTimeout(resolve, graceMilliseconds)
      this.server.tryShutdown(() => resolve())
    })
    clearTimeout(timer)
    this.listener?.destroy()
    this.server.forceShutdown()
  }

  private implementation (): UntypedServiceImplementation {
    const { follow, ...unary } = this.options.handlers
    const calls: UntypedServiceImplementation = {}
    if (follow !== undefined) {
      calls.follow = (call: unknown) => {
        this.serveFollow(call as ServerWritableStream<FollowRequest, FollowMessage>, follow)
      }
    }
    for (const name of unaryCallNames) {
      const handler = unary[name] as PeerHandler<unknown, unknown> | undefined
      if (handler === undefined) continue
      calls[name] = (call: unknown, callback: unknown) => {
        this.serveUnary(name, call as ServerUnaryCall<AnyRequest, unknown>, callback as sendUnaryData<unknown>, handler)
      }
    }
    return calls
  }

  private async serveUnary (
    name: UnaryCallName,
    call: ServerUnaryCall<AnyRequest, unknown>,
    callback: sendUnaryData<unknown>,
    handler: PeerHandler<unknown, unknown>
  ): Promise<void> {
    const answer = await this.answer(name, call, handler)
    this.sendStamp(call)
    if (answer.isErr) callback(statusOfFailure(answer.error))
    else callback(null, answer.value)
  }

  private async answer (
    name: UnaryCallName,
    call: ServerUnaryCall<AnyRequest, unknown>,
    handler: PeerHandler<unknown, unknown>
  ): Promise<Result<unknown, Failure>> {
    const opened = this.open(call)
    if (opened.isErr) return Result.err(opened.error)
    try {
      return await handler(call.request, opened.value)
    } catch (caught) {
      const failed = failureOf(caught)
      this.options.log.error('peer_call_failed', {
        peer: opened.value.sender.hostId, call: name, kind: failed.kind, reason: failed.message
      })
      return Result.err(failed)
    }
  }

  private async serveFollow (call: ServerWritableStream<FollowRequest, FollowMessage>, source: RecordSource): Promise<void> {
    // A write after the connection broke emits `error`; the call's signal ends the loop.
    call.on('error', () => {})
    const opened = this.open(call)
    const stream = streamNameSchema.safeParse(call.request.stream)
    this.sendStamp(call)
    if (opened.isErr) return this.endWith(call, opened.error)
    if (!stream.success) return this.endWith(call, failure('bad_request', `there is no stream "${call.request.stream}"`))
    try {
      await this.relay(call, source, stream.data, AbortSignal.any([opened.value.signal, this.stopping.signal]))
      this.endWith(call, this.stopping.signal.aborted
        ? failure('draining', 'the host stops')
        : failure('stream_interrupted', 'the source of the relaying host ended'))
    } catch (caught) {
      this.endWith(call, failureOf(caught, 'stream_interrupted'))
    }
  }

  private async relay (
    call: ServerWritableStream<FollowRequest, FollowMessage>,
    source: RecordSource,
    stream: StreamName,
    signal: AbortSignal
  ): Promise<void> {
    for await (const message of source.follow(stream, toOffset(call.request.fromOffset), signal)) {
      if (signal.aborted) return
      if (call.write(encodeSourceMessage(message))) continue
      // A follower that reads slowly holds its own relay up, so that nothing piles up here.
      await once(call, 'drain', { signal }).catch(() => {})
    }
  }

  private endWith (call: ServerWritableStream<FollowRequest, FollowMessage>, failed: Failure): void {
    call.emit('error', statusOfFailure(failed))
  }

  /**
   * Checks the parties of a call and adopts its stamp.
   * Errors: `bad_request`, `unauthenticated`, `wrong_incarnation`, `draining`.
   */
  private open (call: AnyCall): Result<IncomingCall, Failure> {
    this.options.hybridClock.receive(parseTimestamp(call.metadata.get(hybridTimeHeader)[0]?.toString()))
    if (this.stopping.signal.aborted) return Result.err(failure('draining', 'the host stops'))
    const sender = peerIdentitySchema.safeParse(call.request.sender)
    if (!sender.success) return Result.err(failure('bad_request', 'the call does not name its sender by host id and incarnation'))
    const certified = this.listener?.checkCertificate(call, sender.data.hostId)
    if (certified?.isErr) return Result.err(certified.error)
    const { identity } = this.options
    const expected = call.metadata.get(expectedIncarnationKey)[0]?.toString() ?? call.request.expectedIncarnation ?? ''
    if (expected !== '' && expected !== identity.incarnation) {
      const message = `the call is for incarnation ${expected}, here is ${identity.hostId} with incarnation ${identity.incarnation}`
      return Result.err(failure('wrong_incarnation', message, { ...identity }))
    }
    const cancelled = new AbortController()
    call.on('cancelled', () => cancelled.abort())
    return Result.ok({ sender: sender.data, signal: cancelled.signal })
  }

  private sendStamp (call: AnyCall): void {
    const metadata = new Metadata()
    metadata.set(hybridTimeHeader, formatTimestamp(this.options.hybridClock.now()))
    call.sendMetadata(metadata)
  }
}
