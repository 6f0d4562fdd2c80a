/**
 * The interface between the peer server and the host: one handler for each call of the peer protocol.
 */
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import type { RecordSource } from '../streams/index.js'
import type * as messages from './generated/peer.js'
import type { PeerIdentity } from './PeerIdentity.js'

/** Context of a received call. */
export interface IncomingCall {
  /** The calling host as the request names it; checked against its certificate if TLS is enabled. */
  sender: PeerIdentity
  /** Aborts when the caller cancels the call, its deadline passes or its connection breaks. */
  signal: AbortSignal
}

/** Handler of a unary call. */
export type PeerHandler<Request, Response> = (request: Request, call: IncomingCall) => Promise<Result<Response, Failure>>

/** The handlers of a peer server. Calls without a handler fail with UNIMPLEMENTED, which callers map to `not_run`. */
export interface PeerHandlers {
  /** Source of the records that `Follow` calls relay to the callers. */
  follow?: RecordSource
  heartbeat?: PeerHandler<messages.HeartbeatRequest, messages.HeartbeatAnswer>
  submitUse?: PeerHandler<messages.UseBatch, messages.UseAnswer>
  mirrorUse?: PeerHandler<messages.UseMirror, messages.UseAnswer>
  executeOnce?: PeerHandler<messages.OnceCall, messages.OnceAnswer>
  leaseStatus?: PeerHandler<messages.LeaseStatusRequest, messages.LeaseStatusAnswer>
  demand?: PeerHandler<messages.DemandReport, messages.DemandAnswer>
}

/** Name of a unary call. */
export type UnaryCallName = Exclude<keyof PeerHandlers, 'follow'>
