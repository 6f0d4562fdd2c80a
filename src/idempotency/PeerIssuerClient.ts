/**
 * Sends calls that run at most once to the hosts that issued their keys, over the peer protocol.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, isErrorKind } from '../common/index.js'
import type { OnceAnswer as OnceAnswerMessage, PeerPool, PeerTarget } from '../peers/index.js'
import { IssuerClient, type OnceAnswer, type OnceCall } from './IssuerClient.js'

/** Returns the peer address of one incarnation of a host; undefined if that incarnation is not known or no longer known. */
export type IssuerLookup = (hostId: HostId, incarnation: Incarnation) => Promise<PeerTarget | undefined>

/** Sends calls to their issuers over gRPC. Any failure to reach the issuer becomes `outcome_unknown`. */
export class PeerIssuerClient extends IssuerClient {
  constructor (private readonly peerPool: PeerPool, private readonly lookup: IssuerLookup) {
    super()
  }

  async execute (hostId: HostId, incarnation: Incarnation, call: OnceCall): Promise<Result<OnceAnswer, Failure>> {
    const target = await this.lookup(hostId, incarnation)
    if (target === undefined) return Result.err(unknownOutcome(`host ${hostId}, which issued the key, is no longer known`))
    const response = await this.peerPool.executeOnce(target, {
      ...call,
      headers: Object.entries(call.headers).map(([name, value]) => ({ name, value })),
      body: Buffer.from(call.body),
      // The wire format holds whole milliseconds.
      timeoutMilliseconds: Math.ceil(call.timeoutMilliseconds)
    }, { timeoutMilliseconds: call.timeoutMilliseconds })
    // An earlier attempt with the same key may have run at the issuer, so a failure to reach it is never `not_run`.
    if (response.isErr) {
      return Result.err(unknownOutcome(`host ${hostId}, which issued the key, did not respond: ${response.error.message}`))
    }
    const { errorKind, errorMessage, status, headers, body } = response.value
    if (errorKind !== '') {
      return Result.err(isErrorKind(errorKind) ? failure(errorKind, errorMessage) : unknownOutcome(errorMessage))
    }
    return Result.ok({ status, headers: Object.fromEntries(headers.map(({ name, value }) => [name, value])), body })
  }
}

/** Converts the issuer's result, a response or a failure, to the message of the peer protocol. */
export function onceAnswerMessageOf (result: Result<OnceAnswer, Failure>): OnceAnswerMessage {
  if (result.isErr) {
    return { errorKind: result.error.kind, errorMessage: result.error.message, status: 0, headers: [], body: Buffer.alloc(0) }
  }
  const { status, headers, body } = result.value
  return {
    errorKind: '',
    errorMessage: '',
    status,
    headers: Object.entries(headers).map(([name, value]) => ({ name, value })),
    body: Buffer.from(body)
  }
}

function unknownOutcome (message: string): Failure {
  return failure('outcome_unknown', message)
}
