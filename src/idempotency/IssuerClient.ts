/**
 * The way to the host that issued a key.
 */
import { Result } from 'true-myth'
import { type Failure, failure, type HostId, type Incarnation, type Pool, type Team } from '../common/index.js'

/** A call that runs at most once. */
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
  /** Time left until the caller's deadline. */
  timeoutMilliseconds: number
}

/** The answer of a service to a call. */
export interface OnceAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
}

/** Sends calls to other hosts. */
export abstract class IssuerClient {
  /**
   * Runs a call at its issuer. Errors besides those of the issuer itself: `outcome_unknown` if the issuer's
   * incarnation is gone or does not answer. `not_run` only if the issuer itself says so.
   */
  abstract execute (hostId: HostId, incarnation: Incarnation, call: OnceCall): Promise<Result<OnceAnswer, Failure>>
}

/** For a host without peers: no other issuer can be reached. */
export class NoIssuerClient extends IssuerClient {
  async execute (hostId: HostId): Promise<Result<OnceAnswer, Failure>> {
    return Result.err(failure('outcome_unknown', `host ${hostId}, which issued the key, cannot be reached`))
  }
}
