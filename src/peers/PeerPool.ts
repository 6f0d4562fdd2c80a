/**
 * Sends calls to other entry hosts over one gRPC channel per peer. If the channel cannot be connected, the call was
 * not sent and fails with `not_run`. If a call that was sent ends without a response from the peer's handler, the handler
 * may have run, and the call fails with `outcome_unknown`.
 */
import {
  type CallOptions, type ChannelCredentials, type ClientUnaryCall, credentials, experimental, Metadata, type ServiceError, status
} from '@grpc/grpc-js'
import { Result } from 'true-myth'
import { type Failure, failure, FailureError, type HostId, type Offset } from '../common/index.js'
import { type EventLog, formatTimestamp, type HybridClock, hybridTimeHeader, parseTimestamp } from '../observability/index.js'
import type { StreamName } from '../clients/index.js'
import * as messages from './generated/peer.js'
import { PeerCertificateProvider, type PeerCertificates } from './PeerCertificates.js'
import { PeerChannel } from './PeerChannel.js'
import { failureOfServiceError } from './peerFailures.js'
import { expectedIncarnationKey, type PeerIdentity, type PeerTarget } from './PeerIdentity.js'

/** Options of a `PeerPool`. */
export interface PeerPoolOptions {
  /** Identity of this host; the sender of each call. */
  identity: PeerIdentity
  hybridClock: HybridClock
  events: EventLog
  /** Certificates for mutual TLS. Absent: plain TCP. */
  certificates?: PeerCertificates
}

/** Options of one call. */
export interface PeerCallOptions {
  /** Timeout of the whole call including the connection, in milliseconds. Default: 5,000. */
  timeoutMilliseconds?: number
  /** Cancels the call when it aborts. */
  signal?: AbortSignal
}

/** A request before the pool adds the sender. */
export type WithoutSender<Request> = Omit<Request, 'sender'>

interface UnaryDefinition<Request, Response> {
  path: string
  requestSerialize: (request: Request) => Buffer
  responseDeserialize: (bytes: Buffer) => Response
}

const defaultTimeoutMilliseconds = 5000

/**
 * Holds the channels to all peers. Each unary call resolves to the peer's response, or to a failure: the peer's own
 * failure, `not_run`, `outcome_unknown`, or `cancelled` if the signal aborted.
 */
export class PeerPool {
  private readonly channels = new Map<HostId, PeerChannel>()
  private readonly credentials: ChannelCredentials
  /** Reason that was last logged for a peer; a repeated reason is not logged again until a call to the peer succeeds. */
  private readonly lastLoggedReasons = new Map<HostId, string>()

  constructor (private readonly options: PeerPoolOptions) {
    this.credentials = options.certificates === undefined
      ? credentials.createInsecure()
      : mutualTlsCredentials(new PeerCertificateProvider(options.certificates))
  }

  /** Sends a heartbeat, which checks that the target is alive. */
  heartbeat (target: PeerTarget, options?: PeerCallOptions): Promise<Result<messages.HeartbeatAnswer, Failure>> {
    const request = { expectedIncarnation: target.incarnation ?? '' }
    return this.call<messages.HeartbeatRequest, messages.HeartbeatAnswer>(
      target, messages.PeerService.heartbeat, request, options)
  }

  /** Sends usage records to the host that appends them for the zone. */
  submitUse (
    target: PeerTarget, request: WithoutSender<messages.UseBatch>, options?: PeerCallOptions
  ): Promise<Result<messages.UseAnswer, Failure>> {
    return this.call<messages.UseBatch, messages.UseAnswer>(target, messages.PeerService.submitUse, request, options)
  }

  /** Stores this host's open usage records at a neighbour, which submits them if this host dies. */
  mirrorUse (
    target: PeerTarget, request: WithoutSender<messages.UseMirror>, options?: PeerCallOptions
  ): Promise<Result<messages.UseAnswer, Failure>> {
    return this.call<messages.UseMirror, messages.UseAnswer>(target, messages.PeerService.mirrorUse, request, options)
  }

  /** Runs a non-idempotent call at the host that issued its idempotency key. */
  executeOnce (
    target: PeerTarget, request: WithoutSender<messages.OnceCall>, options?: PeerCallOptions
  ): Promise<Result<messages.OnceAnswer, Failure>> {
    return this.call<messages.OnceCall, messages.OnceAnswer>(target, messages.PeerService.executeOnce, request, options)
  }

  /** Asks a former lease holder whether it can still send orders to an engine. */
  leaseStatus (
    target: PeerTarget, request: WithoutSender<messages.LeaseStatusRequest>, options?: PeerCallOptions
  ): Promise<Result<messages.LeaseStatusAnswer, Failure>> {
    return this.call<messages.LeaseStatusRequest, messages.LeaseStatusAnswer>(
      target, messages.PeerService.leaseStatus, request, options)
  }

  /** Reports this host's demand to the role planner of its zone. */
  demand (
    target: PeerTarget, request: WithoutSender<messages.DemandReport>, options?: PeerCallOptions
  ): Promise<Result<messages.DemandAnswer, Failure>> {
    return this.call<messages.DemandReport, messages.DemandAnswer>(target, messages.PeerService.demand, request, options)
  }

  /**
   * Follows a stream at a peer until the signal aborts. Throws `FailureError` with the peer's own failure, `not_run` if
   * the peer cannot be connected, or `stream_interrupted` if the connection breaks.
   */
  async * follow (
    target: PeerTarget, stream: StreamName, fromOffset: Offset, signal: AbortSignal
  ): AsyncGenerator<messages.FollowMessage, void> {
    const channel = this.channelOf(target)
    const connected = await channel.connect(defaultTimeoutMilliseconds)
    if (signal.aborted) return
    if (connected.isErr) throw new FailureError(this.handleConnectionFailure(target, connected.error))
    const { path, requestSerialize, responseDeserialize } = messages.PeerService.follow
    const request = { sender: this.options.identity, stream, fromOffset }
    const call = channel.client.makeServerStreamRequest(
      path, requestSerialize, responseDeserialize, request, this.metadataFor(target), {})
    call.on('metadata', metadata => this.receiveTimestamp(metadata))
    // The iteration throws errors of the call. Without this listener, an error after the iteration would be unhandled.
    call.on('error', () => {})
    const cancel = (): void => call.cancel()
    signal.addEventListener('abort', cancel, { once: true })
    try {
      yield * call as AsyncIterable<messages.FollowMessage>
    } catch (caught) {
      if (!signal.aborted) {
        throw new FailureError(this.handleConnectionFailure(target, failureOfServiceError(caught as ServiceError, 'stream_interrupted')))
      }
    } finally {
      signal.removeEventListener('abort', cancel)
      call.cancel()
    }
  }

  /** Closes the channel to a peer that has left the membership; open calls to the peer continue. */
  release (hostId: HostId): void {
    this.lastLoggedReasons.delete(hostId)
    this.channels.get(hostId)?.close()
    this.channels.delete(hostId)
  }

  /** Closes all channels. */
  close (): void {
    for (const hostId of [...this.channels.keys()]) this.release(hostId)
  }

  private channelOf (target: PeerTarget): PeerChannel {
    const existing = this.channels.get(target.hostId)
    if (existing?.address === target.address) return existing
    existing?.close()
    const channel = new PeerChannel(target.address, this.credentials, target.hostId)
    this.channels.set(target.hostId, channel)
    return channel
  }

  private async call<Request, Response> (
    target: PeerTarget,
    definition: UnaryDefinition<Request, Response>,
    requestWithoutSender: WithoutSender<Request>,
    options: PeerCallOptions = {}
  ): Promise<Result<Response, Failure>> {
    const { signal, timeoutMilliseconds = defaultTimeoutMilliseconds } = options
    // grpc-js compares deadlines with the system's wall clock.
    const deadline = Date.now() + timeoutMilliseconds
    const channel = this.channelOf(target)
    const connected = await channel.connect(timeoutMilliseconds)
    if (signal?.aborted) return Result.err(failure('cancelled', 'the call was cancelled before it was sent'))
    if (connected.isErr) return Result.err(this.handleConnectionFailure(target, connected.error))
    const request = { ...requestWithoutSender, sender: this.options.identity } as unknown as Request
    const result = await this.send(channel, definition, request, this.metadataFor(target), { deadline }, signal)
    if (result.isOk) this.lastLoggedReasons.delete(target.hostId)
    return result.mapErr(failed => this.handleConnectionFailure(target, failed))
  }

  /**
   * Logs a failed connection or a failed authentication, once until a call succeeds or the reason changes. Closes the
   * channel if the peer rejected this host's certificate. Returns the given failure.
   */
  private handleConnectionFailure (target: PeerTarget, failed: Failure): Failure {
    const isUnauthenticated = failed.kind === 'unauthenticated'
    // The next call opens a new connection, because the certificates may have been renewed by then.
    if (isUnauthenticated) this.channels.get(target.hostId)?.close()
    if (isUnauthenticated) this.channels.delete(target.hostId)
    const isLogged = failed.kind === 'not_run' || isUnauthenticated
    if (!isLogged || this.lastLoggedReasons.get(target.hostId) === failed.message) return failed
    this.lastLoggedReasons.set(target.hostId, failed.message)
    this.options.events.warn('peer_unreachable', { peer: target.hostId, kind: failed.kind, reason: failed.message })
    return failed
  }

  private send<Request, Response> (
    channel: PeerChannel,
    { path, requestSerialize, responseDeserialize }: UnaryDefinition<Request, Response>,
    request: Request,
    metadata: Metadata,
    options: CallOptions,
    signal: AbortSignal | undefined
  ): Promise<Result<Response, Failure>> {
    return new Promise(resolve => {
      const finish = (error: ServiceError | null, response?: Response): void => {
        signal?.removeEventListener('abort', cancel)
        if (error === null) return resolve(Result.ok(response as Response))
        const isCancelled = error.code === status.CANCELLED && signal?.aborted === true
        resolve(Result.err(failureOfServiceError(error, isCancelled ? 'cancelled' : 'outcome_unknown')))
      }
      const call: ClientUnaryCall = channel.client.makeUnaryRequest<Request, Response>(
        path, requestSerialize, responseDeserialize, request, metadata, options, finish)
      const cancel = (): void => call.cancel()
      call.on('metadata', received => this.receiveTimestamp(received))
      signal?.addEventListener('abort', cancel, { once: true })
    })
  }

  private metadataFor (target: PeerTarget): Metadata {
    const metadata = new Metadata()
    metadata.set(hybridTimeHeader, formatTimestamp(this.options.hybridClock.now()))
    if (target.incarnation !== undefined) metadata.set(expectedIncarnationKey, target.incarnation)
    return metadata
  }

  private receiveTimestamp (metadata: Metadata): void {
    this.options.hybridClock.receive(parseTimestamp(metadata.get(hybridTimeHeader)[0]?.toString()))
  }
}

function mutualTlsCredentials (provider: PeerCertificateProvider): ChannelCredentials {
  return experimental.createCertificateProviderChannelCredentials(provider, provider)
}
