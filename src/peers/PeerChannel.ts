/**
 * The channel to one peer, and whether a call on it was certainly not sent. grpc-js reconnects by itself; a
 * connection that went silent is dropped by HTTP/2 keep-alive, which ends its calls, and the next call gets
 * a new one.
 */
import { type ChannelCredentials, Client, connectivityState, Metadata, type ServiceError } from '@grpc/grpc-js'
import { Result } from 'true-myth'
import { type Failure, failure, type HostId } from '../common/index.js'
import { clientChannelOptions } from './channelOptions.js'
import { HeartbeatAnswer, HeartbeatRequest, PeerService } from './generated/peer.js'

/** Time for setting up a connection, in milliseconds. */
const connectTimeoutMilliseconds = 1000

/** Time for asking the library why a connection could not be made, in milliseconds. */
const reasonTimeoutMilliseconds = 200

/** The channel to one address. */
export class PeerChannel {
  readonly client: Client

  /** `name` is what the peer's certificate has to name when TLS is on. */
  constructor (readonly address: string, credentials: ChannelCredentials, name: HostId) {
    const options = credentials._isSecure() ? { 'grpc.ssl_target_name_override': name } : {}
    this.client = new Client(address, credentials, { ...clientChannelOptions, ...options })
  }

  /** Waits until the channel is connected. Errors: `not_run`; no call was sent. */
  async connect (timeoutMilliseconds: number): Promise<Result<void, Failure>> {
    const deadline = Date.now() + Math.min(timeoutMilliseconds, connectTimeoutMilliseconds)
    const channel = this.client.getChannel()
    for (;;) {
      const state = channel.getConnectivityState(true)
      if (state === connectivityState.READY) return Result.ok(undefined)
      if (state === connectivityState.TRANSIENT_FAILURE) return Result.err(failure('not_run', await this.reason()))
      if (state === connectivityState.SHUTDOWN) return Result.err(failure('not_run', `the channel to ${this.address} is closed`))
      const changed = await new Promise<boolean>(resolve => {
        channel.watchConnectivityState(state, deadline, error => resolve(error === undefined))
      })
      if (!changed) return Result.err(failure('not_run', `no connection to ${this.address} in time`))
    }
  }

  /** Closes the channel for new calls; the open ones go on. */
  close (): void {
    this.client.close()
  }

  /**
   * Why the channel has no connection. The library tells it only to calls, so this makes a heartbeat, which
   * has no effect if the connection comes up meanwhile.
   */
  private async reason (): Promise<string> {
    const { path, requestSerialize, responseDeserialize } = PeerService.heartbeat
    const request = HeartbeatRequest.create()
    const options = { deadline: Date.now() + reasonTimeoutMilliseconds }
    const error = await new Promise<ServiceError | null>(resolve => {
      this.client.makeUnaryRequest<HeartbeatRequest, HeartbeatAnswer>(
        path, requestSerialize, responseDeserialize, request, new Metadata(), options, resolve)
    })
    return `no connection to ${this.address}: ${error?.details ?? 'it was down for a moment'}`
  }
}
