/**
 * Finds the team of a caller by its token. Tokens are known only by their SHA-256.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { type Clock, type Failure, failure } from '../common/index.js'
import type { AuthenticatedTeam, ConfigurationReader } from '../configuration/index.js'

interface KnownToken { account: AuthenticatedTeam, expiresAt: number }

/** Checks tokens against the accounts of the configuration. */
export class Authenticator {
  private tokens = new Map<string, KnownToken>()
  private readonly endListening: () => void

  constructor (private readonly configuration: ConfigurationReader, private readonly clock: Clock) {
    this.read()
    this.endListening = configuration.onChange(paths => {
      if (paths.some(path => path.endsWith('/account'))) this.read()
    })
  }

  /**
   * The team of an `authorization` header. A missing, wrong and expired token get the same answer, so that it
   * tells nothing about which tokens exist.
   */
  authenticate (authorization: string | null | undefined): Result<AuthenticatedTeam, Failure> {
    const token = /^Bearer ([\x21-\x7e]{1,512})$/i.exec(authorization ?? '')?.[1]
    const hash = createHash('sha256').update(token ?? '').digest('hex')
    const known = this.tokens.get(hash)
    if (token === undefined || known === undefined || this.clock.wall() >= known.expiresAt) {
      return Result.err(failure('unauthenticated', 'the request has no valid token'))
    }
    return Result.ok(known.account)
  }

  /** Ends listening to the configuration. */
  close (): void {
    this.endListening()
  }

  private read (): void {
    const tokens = new Map<string, KnownToken>()
    for (const [team, document] of this.configuration.accounts()) {
      const account = { team, owner: document.owner, operator: document.operator }
      for (const { sha256, expiresAt } of document.tokens) tokens.set(sha256, { account, expiresAt: expiresAt ?? Infinity })
    }
    this.tokens = tokens
  }
}
