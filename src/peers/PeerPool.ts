/**
 * Calls to other entry hosts, over one channel per peer. A call that fails before the channel was connected
 * was certainly not sent (`not_run`); one that ends afterwards without an answer of the peer's handler may
 * have run (`outcome_unknown`).
 */
import {
  type CallOptions, type ChannelCredentials, type ClientUnaryCall, credentials, experimental, Metadata, type ServiceError, status
} from '@grpc/grpc-js'
import { Result } from 'true-myth'
import { type Failure, failure, FailureError, type HostId, type Offset } from '../common/index.js'
import { type EventLog, formatTimestamp, type HybridClock, hybridTimeHeader, parseTimestamp } from '../observability/index.js'
import type { StreamName } from '../clients/index.js'
import * as messages from './generated/peer.js'
import { CertificateFeed, type PeerCertificates } from './PeerCertificates.js'
import { PeerChannel } from './PeerChannel.js'
import { failureOfServiceError } from './peerFailures.js'
import { expectedIncarnationKey, type PeerIdentity, type PeerTarget } from './PeerIdentity.js'

/** Options of a `PeerPool`. */
export interface PeerPoolOptions {
  /** This host, named as the sender of each call. */
  identity: PeerIdentity
  hybridClock: HybridClock
  log: EventLog
  /** Certificates for mutual TLS. Absent: plain TCP. */
  certificates?: PeerCertificates
}

/** Options of one call. */
export interface PeerCallOptions {
  /** Time for the whole call, in milliseconds. Default 5000. */
  timeoutMilliseconds?: number
  /** Cancels the call. */
  signal?: AbortSignal
}

/** A request as its caller gives it; the pool names the sender. */
export type Unsigned<Request> = Omit<Request, 'sender'>

interface UnaryDefinition<Request, Answer> {
  path: string
  requestSerialize: (request: Request) => Buffer
  responseDeserialize: (bytes: Buffer) => Answer
}

const defaultTimeoutMilliseconds = 5000

/** The channels to all peers. Each call resolves to the peer's answer, its failure, or one of the two kinds above. */
export class PeerPool {
  private readonly channels = new Map<HostId, PeerChannel>()
  private readonly credentials: ChannelCredentials
  /** Why the last call to a peer got no connection or was refused; each reason is logged once. */
  private readonly problems = new Map<HostId, string>()

  constructor (private readonly options: PeerPoolOptions) {
    this.credentials = options.certificates === undefined
      ? credentials.createInsecure()
      : secureCredentials(new CertificateFeed(options.certificates))
  }

  heartbeat (target: PeerTarget, options?: PeerCallOptions): Promise<Result<messages.HeartbeatAnswer, Failure>> {
    const request = { expectedIncarnation: target.incarnation ?? '' }
    return this.call<messages.HeartbeatRequest, messages.HeartbeatAnswer>(
      target, messages.PeerService.heartbeat, request, options)
  }

  submitUse (
    target: PeerTarget, request: Unsigned<messages.UseBatch>, options?: PeerCallOptions
  ): Promise<Result<messages.UseAnswer, Failure>> {
    return this.call<messages.UseBatch, messages.UseAnswer>(target, messages.PeerService.submitUse, request, options)
  }

  mirrorUse (
    target: PeerTarget, request: Unsigned<messages.UseMirror>, options?: PeerCallOptions
  ): Promise<Result<messages.UseAnswer, Failure>> {
    return this.call<messages.UseMirror, messages.UseAnswer>(target, messages.PeerService.mirrorUse, request, options)
  }

  executeOnce (
    target: PeerTarget, request: Unsigned<messages.OnceCall>, options?: PeerCallOptions
  ): Promise<Result<messages.OnceAnswer, Failure>> {
    return this.call<messages.OnceCall, messages.OnceAnswer>(target, messages.PeerService.executeOnce, request, options)
  }

  leaseStatus (
    target: PeerTarget, request: Unsigned<messages.LeaseStatusRequest>, options?: PeerCallOptions
  ): Promise<Result<messages.LeaseStatusAnswer, Failure>> {
    return this.call<messages.LeaseStatusRequest, messages.LeaseStatusAnswer>(
      target, messages.PeerService.leaseStatus, request, options)
  }

  demand (
    target: PeerTarget, request: Unsigned<messages.DemandReport>, options?: PeerCallOptions
  ): Promise<Result<messages.DemandAnswer, Failure>> {
    return this.call<messages.DemandReport, messages.DemandAnswer>(target, messages.PeerService.demand, request, options)
  }

  /**
   * Follows a stream at a peer until the signal aborts. Throws `FailureError`: what the peer answered,
   * `not_run` without a connection, `stream_interrupted` when the connection breaks.
   */
  async * follow (
    target: PeerTarget, stream: StreamName, fromOffset: Offset, signal: AbortSignal
  ): AsyncGenerator<messages.FollowMessage, void> {
    const channel = this.channelOf(target)
    const connected = await channel.connect(defaultTimeoutMilliseconds)
    if (signal.aborted) return
    if (connected.isErr) throw new FailureError(this.report(target, connected.error))
    const { path, requestSerialize, responseDeserialize } = messages.PeerService.follow
    const request = { sender: this.options.identity, stream, fromOffset }
    const call = channel.client.makeServerStreamRequest(
      path, requestSerialize, responseDeserialize, request, this.metadataFor(target), {})
    call.on('metadata', metadata => this.adoptStamp(metadata))
    // The iteration reports errors; an error after it ended has no other listener.
    call.on('error', () => {})
    const cancel = (): void => call.cancel()
    signal.addEventListener('abort', cancel, { once: true })
    try {
      yield * call as AsyncIterable<messages.FollowMessage>
    } catch (caught) {
      if (!signal.aborted) {
        throw new FailureError(this.report(target, failureOfServiceError(caught as ServiceError, 'stream_interrupted')))
      }
    } finally {
      signal.removeEventListener('abort', cancel)
      call.cancel()
    }
  }

  /** Closes the channel to a peer that is gone. */
  release (hostId: HostId): void {
    this.problems.delete(hostId)
    this.channels.get(hostId)?.close()
    this.channels.delete(hostId)
  }

  /** Closes all channels. */
  close (): void {
    for (const hostId of [...this.channels.keys()]) this.release(hostId)
  }

  private channelOf (target: PeerTarget): PeerChannel {
    const known = this.channels.get(target.hostId)
    if (known?.address === target.address) return known
    known?.close()
    const channel = new PeerChannel(target.address, this.credentials, target.hostId)
    this.channels.set(target.hostId, channel)
    return channel
  }

  private async call<Request, Answer> (
    target: PeerTarget,
    definition: UnaryDefinition<Request, Answer>,
    unsigned: Unsigned<Request>,
    options: PeerCallOptions = {}
  ): Promise<Result<Answer, Failure>> {
    const { signal, timeoutMilliseconds = defaultTimeoutMilliseconds } = options
    // grpc-js measures deadlines by the wall clock of the machine.
    const deadline = Date.now() + timeoutMilliseconds
    const channel = this.channelOf(target)
    const connected = await channel.connect(timeoutMilliseconds)
    if (signal?.aborted) return Result.err(failure('cancelled', 'the call was cancelled before it was sent'))
    if (connected.isErr) return Result.err(this.report(target, connected.error))
    const request = { ...unsigned, sender: this.options.identity } as unknown as Request
    const answered = await this.send(channel, definition, request, this.metadataFor(target), { deadline }, signal)
    if (answered.isOk) this.problems.delete(target.hostId)
    return answered.mapErr(failed => this.report(target, failed))
  }

  /** Logs a failure to connect or a refused certificate, once until a call succeeds or the reason changes. */
  private report (target: PeerTarget, failed: Failure): Failure {
    const isRefused = failed.kind === 'unauthenticated'
    // The next call makes a new connection, for which the certificates may have been renewed.
    if (isRefused) this.channels.get(target.hostId)?.close()
    if (isRefused) this.channels.delete(target.hostId)
    const isReported = failed.kind === 'not_run' || isRefused
    if (!isReported || this.problems.get(target.hostId) === failed.message) return failed
    this.problems.set(target.hostId, failed.message)
    this.options.log.warn('peer_unreachable', { peer: target.hostId, kind: failed.kind, reason: failed.message })
    return failed
  }

  private send<Request, Answer> (
    channel: PeerChannel,
    { path, requestSerialize, responseDeserialize }: UnaryDefinition<Request, Answer>,
    request: Request,
    metadata: Metadata,
    options: CallOptions,
    signal: AbortSignal | undefined
  ): Promise<Result<Answer, Failure>> {
    return new Promise(resolve => {
      const finish = (error: ServiceError | null, answer?: Answer): void => {
        signal?.removeEventListener('abort', cancel)
        if (error === null) return resolve(Result.ok(answer as Answer))
        const isCancelled = error.code === status.CANCELLED && signal?.aborted === true
        resolve(Result.err(failureOfServiceError(error, isCancelled ? 'cancelled' : 'outcome_unknown')))
      }
      const call: ClientUnaryCall = channel.client.makeUnaryRequest<Request, Answer>(
        path, requestSerialize, responseDeserialize, request, metadata, options, finish)
      const cancel = (): void => call.cancel()
      call.on('metadata', received => this.adoptStamp(received))
      signal?.addEventListener('abort', cancel, { once: true })
    })
  }

  private metadataFor (target: PeerTarget): Metadata {
    const metadata = new Metadata()
    metadata.set(hybridTimeHeader, formatTimestamp(this.options.hybridClock.now()))
    if (target.incarnation !== undefined) metadata.set(expectedIncarnationKey, target.incarnation)
    return metadata
  }

  private adoptStamp (metadata: Metadata): void {
    this.options.hybridClock.receive(parseTimestamp(metadata.get(hybridTimeHeader)[0]?.toString()))
  }
}

function secureCredentials (feed: CertificateFeed): ChannelCredentials {
  return experimental.createCertificateProviderChannelCredentials(feed, feed)
}
