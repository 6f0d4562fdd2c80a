/**
 * The gRPC channel to one peer. Calls wait for a connection before they are sent, so that a call that fails
 * for lack of a connection is known not to have been sent. grpc-js reconnects on its own. HTTP/2 keep-alive closes a
 * connection that has gone silent, which ends its calls; the next call uses a new connection.
 */
import { type ChannelCredentials, Client, connectivityState, Metadata, type ServiceError } from '@grpc/grpc-js'
import { Result } from 'true-myth'
import { type Failure, failure, type HostId } from '../common/index.js'
import { clientChannelOptions } from './channelOptions.js'
import { HeartbeatAnswer, HeartbeatRequest, PeerService } from './generated/peer.js'

/** Timeout for establishing a connection, in milliseconds. */
const connectTimeoutMilliseconds = 1000

/** Timeout of the call that determines why a connection could not be established, in milliseconds. */
const reasonTimeoutMilliseconds = 200

/** Connects to one peer at one address and determines why a connection failed. Calls are made with `client`. */
export class PeerChannel {
  readonly client: Client

  /** `name` is the host id that the peer's certificate must contain if TLS is enabled. */
  constructor (readonly address: string, credentials: ChannelCredentials, name: HostId) {
    const options = credentials._isSecure() ? { 'grpc.ssl_target_name_override': name } : {}
    this.client = new Client(address, credentials, { ...clientChannelOptions, ...options })
  }

  /** Waits until the channel is connected. Errors: `not_run` if the attempt fails, times out, or the channel is closed. */
  async connect (timeoutMilliseconds: number): Promise<Result<void, Failure>> {
    const deadline = Date.now() + Math.min(timeoutMilliseconds, connectTimeoutMilliseconds)
    const channel = this.client.getChannel()
    for (;;) {
      const state = channel.getConnectivityState(true)
      if (state === connectivityState.READY) return Result.ok(undefined)
      if (state === connectivityState.TRANSIENT_FAILURE) return Result.err(failure('not_run', await this.connectFailureReason()))
      if (state === connectivityState.SHUTDOWN) return Result.err(failure('not_run', `the channel to ${this.address} is closed`))
      const hasChanged = await new Promise<boolean>(resolve => {
        channel.watchConnectivityState(state, deadline, error => resolve(error === undefined))
      })
      if (!hasChanged) return Result.err(failure('not_run', `timed out while connecting to ${this.address}`))
    }
  }

  /** Closes the channel for new calls; open calls continue. */
  close (): void {
    this.client.close()
  }

  /**
   * Returns why the channel has no connection. grpc-js reports the reason only to calls, so this sends a heartbeat. If
   * the connection is established in the meantime, the peer rejects the heartbeat, which has no sender, without effect.
   */
  private async connectFailureReason (): Promise<string> {
    const { path, requestSerialize, responseDeserialize } = PeerService.heartbeat
    const request = HeartbeatRequest.create()
    const options = { deadline: Date.now() + reasonTimeoutMilliseconds }
    const error = await new Promise<ServiceError | null>(resolve => {
      this.client.makeUnaryRequest<HeartbeatRequest, HeartbeatAnswer>(
        path, requestSerialize, responseDeserialize, request, new Metadata(), options, resolve)
    })
    return `no connection to ${this.address}: ${error?.details ?? 'a connection attempt failed, but the next one succeeded'}`
  }
}
