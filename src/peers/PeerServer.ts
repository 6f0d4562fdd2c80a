/**
 * Serves the calls of other entry hosts over gRPC. For each call, the server checks the sender and the expected
 * receiver, advances the hybrid clock to the received timestamp, runs the handler, and converts its failure into a gRPC
 * error.
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
  /** Identity of this host. */
  identity: PeerIdentity
  /** `ip:port` to listen on; port 0 lets the system choose. */
  address: string
  handlers: PeerHandlers
  hybridClock: HybridClock
  events: EventLog
  /** Certificates for mutual TLS. Absent: plain TCP. */
  certificates?: PeerCertificates
}

/** The fields that the server itself reads from a request. */
interface RequestEnvelope {
  sender: { hostId: string, incarnation: string } | undefined
  /** Set only in heartbeats; other calls send the expected incarnation only as metadata. */
  expectedIncarnation?: string
}

type AnyCall = ServerUnaryCall<RequestEnvelope, unknown> | ServerWritableStream<RequestEnvelope, unknown>

const unaryCallNames: UnaryCallName[] = ['heartbeat', 'submitUse', 'mirrorUse', 'executeOnce', 'leaseStatus', 'demand']

const serverOptions: ServerOptions = { ...channelLimits, ...keepAliveOptions }

/** Default of the maximum time for which `stop` waits for open calls, in milliseconds. */
const defaultGraceMilliseconds = 1000

/** Listens for calls of other entry hosts until `stop`. Calls that arrive during the shutdown fail with `draining`. */
export class PeerServer {
  private readonly server = new Server(serverOptions)
  private readonly stopping = new AbortController()
  private listener: PeerListener | undefined

  private constructor (private readonly options: PeerServerOptions) {}

  /** Starts to listen. Errors: `internal` if the address cannot be bound. */
  static async start (options: PeerServerOptions): Promise<Result<PeerServer, Failure>> {
    const server = new PeerServer(options)
    server.server.addService(PeerService, server.createImplementation())
    const { address, certificates, events } = options
    const listening = await PeerListener.start({ address, server: server.server, certificates, events })
    return listening.map(listener => {
      server.listener = listener
      return server
    })
  }

  /** `ip:port` that the server listens on. */
  get address (): string {
    return this.listener?.address ?? this.options.address
  }

  /**
   * Ends the `Follow` calls with `draining`, waits up to the grace period for the other calls, then closes all connections.
   */
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

  private createImplementation (): UntypedServiceImplementation {
    const { follow, ...unaryHandlers } = this.options.handlers
    const implementation: UntypedServiceImplementation = {}
    if (follow !== undefined) {
      implementation.follow = (call: unknown) => {
        this.serveFollow(call as ServerWritableStream<FollowRequest, FollowMessage>, follow)
      }
    }
    for (const name of unaryCallNames) {
      const handler = unaryHandlers[name] as PeerHandler<unknown, unknown> | undefined
      if (handler === undefined) continue
      implementation[name] = (call: unknown, callback: unknown) => {
        this.serveUnary(name, call as ServerUnaryCall<RequestEnvelope, unknown>, callback as sendUnaryData<unknown>, handler)
      }
    }
    return implementation
  }

  private async serveUnary (
    name: UnaryCallName,
    call: ServerUnaryCall<RequestEnvelope, unknown>,
    callback: sendUnaryData<unknown>,
    handler: PeerHandler<unknown, unknown>
  ): Promise<void> {
    const result = await this.runHandler(name, call, handler)
    this.sendTimestamp(call)
    if (result.isErr) callback(statusOfFailure(result.error))
    else callback(null, result.value)
  }

  private async runHandler (
    name: UnaryCallName,
    call: ServerUnaryCall<RequestEnvelope, unknown>,
    handler: PeerHandler<unknown, unknown>
  ): Promise<Result<unknown, Failure>> {
    const accepted = this.acceptCall(call)
    if (accepted.isErr) return Result.err(accepted.error)
    try {
      return await handler(call.request, accepted.value)
    } catch (caught) {
      const failed = failureOf(caught)
      this.options.events.error('peer_call_failed', {
        peer: accepted.value.sender.hostId, call: name, kind: failed.kind, reason: failed.message
      })
      return Result.err(failed)
    }
  }

  private async serveFollow (call: ServerWritableStream<FollowRequest, FollowMessage>, source: RecordSource): Promise<void> {
    // A write to a broken connection emits `error`. It can be ignored, since the call's signal ends the loop.
    call.on('error', () => {})
    const accepted = this.acceptCall(call)
    const stream = streamNameSchema.safeParse(call.request.stream)
    this.sendTimestamp(call)
    if (accepted.isErr) return this.endWithFailure(call, accepted.error)
    if (!stream.success) return this.endWithFailure(call, failure('bad_request', `there is no stream "${call.request.stream}"`))
    try {
      await this.relay(call, source, stream.data, AbortSignal.any([accepted.value.signal, this.stopping.signal]))
      this.endWithFailure(call, this.stopping.signal.aborted
        ? failure('draining', 'the host is shutting down')
        : failure('stream_interrupted', 'the record source of the relaying host ended'))
    } catch (caught) {
      this.endWithFailure(call, failureOf(caught, 'stream_interrupted'))
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
      // Backpressure: messages for a slow follower are not buffered without limit, and other followers are not delayed.
      await once(call, 'drain', { signal }).catch(() => {})
    }
  }

  private endWithFailure (call: ServerWritableStream<FollowRequest, FollowMessage>, failed: Failure): void {
    call.emit('error', statusOfFailure(failed))
  }

  /**
   * Advances the hybrid clock to the call's timestamp and checks the call's sender and expected receiver.
   * Errors: `bad_request`, `unauthenticated`, `wrong_incarnation`, `draining`.
   */
  private acceptCall (call: AnyCall): Result<IncomingCall, Failure> {
    this.options.hybridClock.receive(parseTimestamp(call.metadata.get(hybridTimeHeader)[0]?.toString()))
    if (this.stopping.signal.aborted) return Result.err(failure('draining', 'the host is shutting down'))
    const sender = peerIdentitySchema.safeParse(call.request.sender)
    if (!sender.success) return Result.err(failure('bad_request', 'the call has no valid sender (host id and incarnation)'))
    const certificateCheck = this.listener?.checkCertificate(call, sender.data.hostId)
    if (certificateCheck?.isErr) return Result.err(certificateCheck.error)
    const { identity } = this.options
    const expectedIncarnation = call.metadata.get(expectedIncarnationKey)[0]?.toString() ?? call.request.expectedIncarnation ?? ''
    if (expectedIncarnation !== '' && expectedIncarnation !== identity.incarnation) {
      const message = `the call is for incarnation ${expectedIncarnation}, but the receiver is ${identity.hostId} with incarnation ${identity.incarnation}`
      return Result.err(failure('wrong_incarnation', message, { ...identity }))
    }
    const cancelled = new AbortController()
    call.on('cancelled', () => cancelled.abort())
    return Result.ok({ sender: sender.data, signal: cancelled.signal })
  }

  private sendTimestamp (call: AnyCall): void {
    const metadata = new Metadata()
    metadata.set(hybridTimeHeader, formatTimestamp(this.options.hybridClock.now()))
    call.sendMetadata(metadata)
  }
}
