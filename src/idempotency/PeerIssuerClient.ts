/**
 * Sends calls that run at most once to the hosts that issued their keys, over the peer protocol.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, isErrorKind } from '../common/index.js'
import type { OnceAnswer as OnceAnswerMessage, PeerPool, PeerTarget } from '../peers/index.js'
import { IssuerClient, type OnceAnswer, type OnceCall } from './IssuerClient.js'

/** Returns the peer address of one incarnation of a host; undefined if it is not, or no longer, known. */
export type IssuerLookup = (hostId: HostId, incarnation: Incarnation) => Promise<PeerTarget | undefined>

/** Issuer client over gRPC. */
export class PeerIssuerClient extends IssuerClient {
  constructor (private readonly pool: PeerPool, private readonly lookup: IssuerLookup) {
    super()
  }

  async execute (hostId: HostId, incarnation: Incarnation, call: OnceCall): Promise<Result<OnceAnswer, Failure>> {
    const target = await this.lookup(hostId, incarnation)
    if (target === undefined) return Result.err(unknownOutcome(`host ${hostId}, which issued the key, is no longer known`))
    const answered = await this.pool.executeOnce(target, {
      ...call,
      headers: Object.entries(call.headers).map(([name, value]) => ({ name, value })),
      body: Buffer.from(call.body),
      // The wire format holds whole milliseconds.
      timeoutMilliseconds: Math.ceil(call.timeoutMilliseconds)
    }, { timeoutMilliseconds: call.timeoutMilliseconds })
    // An earlier attempt with the same key may have run at the issuer, so a failure to reach it is never `not_run`.
    if (answered.isErr) {
      return Result.err(unknownOutcome(`host ${hostId}, which issued the key, did not answer: ${answered.error.message}`))
    }
    const { errorKind, errorMessage, status, headers, body } = answered.value
    if (errorKind !== '') {
      return Result.err(isErrorKind(errorKind) ? failure(errorKind, errorMessage) : unknownOutcome(errorMessage))
    }
    return Result.ok({ status, headers: Object.fromEntries(headers.map(({ name, value }) => [name, value])), body })
  }
}

/** Converts an answer of the issuer to the message of the peer protocol, which also carries failures of the issuer. */
export function onceAnswerMessageOf (answer: Result<OnceAnswer, Failure>): OnceAnswerMessage {
  if (answer.isErr) {
    return { errorKind: answer.error.kind, errorMessage: answer.error.message, status: 0, headers: [], body: Buffer.alloc(0) }
  }
  const { status, headers, body } = answer.value
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
