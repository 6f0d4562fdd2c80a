/**
 * What a host does for the calls of its peers: one handler for each call of the protocol.
 */
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import type { RecordSource } from '../streams/index.js'
import type * as messages from './generated/peer.js'
import type { PeerIdentity } from './PeerIdentity.js'

/** Facts of a call beside its request. */
export interface IncomingCall {
  /** The calling host, from the request; checked against its certificate when TLS is on. */
  sender: PeerIdentity
  /** Aborts when the caller gives up or its connection breaks. */
  signal: AbortSignal
}

/** Handler of a call with one answer. */
export type PeerHandler<Request, Answer> = (request: Request, call: IncomingCall) => Promise<Result<Answer, Failure>>

/** The handlers of a peer server. A call without a handler is answered UNIMPLEMENTED, which callers read as `not_run`. */
export interface PeerHandlers {
  /** Source whose records are relayed to followers. */
  follow?: RecordSource
  heartbeat?: PeerHandler<messages.HeartbeatRequest, messages.HeartbeatAnswer>
  submitUse?: PeerHandler<messages.UseBatch, messages.UseAnswer>
  mirrorUse?: PeerHandler<messages.UseMirror, messages.UseAnswer>
  executeOnce?: PeerHandler<messages.OnceCall, messages.OnceAnswer>
  leaseStatus?: PeerHandler<messages.LeaseStatusRequest, messages.LeaseStatusAnswer>
  demand?: PeerHandler<messages.DemandReport, messages.DemandAnswer>
}

/** Name of a call with one answer. */
export type UnaryCallName = Exclude<keyof PeerHandlers, 'follow'>
