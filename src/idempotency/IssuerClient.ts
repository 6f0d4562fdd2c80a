/**
 * Client of the hosts that issue idempotency keys.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, type Pool, type Team } from '../common/index.js'

/** A call to a service that runs at most once, with the idempotency key that ensures this. */
export interface OnceCall {
  /** `<hostId>.<incarnation>.<sequence>.<mac>` */
  key: string
  team: Team
  pool: Pool
  method: string
  /** Path and query at the service. */
  path: string
  headers: Record<string, string>
  body: Uint8Array
  /** Remaining time until the caller's deadline. */
  timeoutMilliseconds: number
}

/** A service's response to a call. */
export interface OnceAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}

/** Sends calls to the hosts that issued their keys. */
export abstract class IssuerClient {
  /**
   * Runs a call on the host that issued its key. Errors: those that the issuer returns, and `outcome_unknown` if the
   * given incarnation of the issuer no longer runs or does not respond. `not_run` comes only from the issuer.
   */
  abstract execute (hostId: HostId, incarnation: Incarnation, call: OnceCall): Promise<Result<OnceAnswer, Failure>>
}

/** Issuer client of a host without peers, which can reach no other issuer. */
export class UnreachableIssuerClient extends IssuerClient {
  async execute (hostId: HostId): Promise<Result<OnceAnswer, Failure>> {
    return Result.err(failure('outcome_unknown', `host ${hostId}, which issued the key, cannot be reached`))
  }
}
