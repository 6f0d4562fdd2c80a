/**
 * Authenticates teams by their tokens. The configuration stores only hashes of tokens, and a map finds the team by the
 * hash. The comparison need not take constant time: the duration of a lookup can reveal at most something about a
 * stored hash, and a token cannot be computed from its hash.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, type Owner, type Team } from '../common/index.js'
import type { AuthenticatedTeam, ConfigurationReader } from './ConfigurationReader.js'
import { teamOf } from './ConfigurationTree.js'
import { type AccountDocument, documentKindOf } from './documents.js'

interface KnownToken {
  team: AuthenticatedTeam
  expiresAt: number | undefined
}

/** Identity of a request with the bootstrap token. */
const bootstrapTeam: AuthenticatedTeam = { team: 'bootstrap' as Team, owner: 'bootstrap' as Owner, operator: true }

/** The hash of a token that an account stores: SHA-256 in hexadecimal. */
export function tokenHashOf (token: string | Uint8Array): string {
  return createHash('sha256').update(token).digest('hex')
}

/** Authenticates teams by the accounts of a configuration, and updates its token map when an account changes. */
export class TeamAuthenticator {
  private readonly tokens = new Map<string, KnownToken>()
  private readonly hashesByTeam = new Map<Team, string[]>()
  private readonly unsubscribe: () => void

  /**
   * `bootstrapTokenHash`: hash of a token with operator rights that is valid only while no operator account exists.
   * Without it, nobody could write the first configuration.
   */
  constructor (
    private readonly configuration: ConfigurationReader,
    private readonly clock: Clock,
    private readonly bootstrapTokenHash?: string
  ) {
    for (const [team, account] of configuration.accounts()) this.replaceTokensOf(team, account)
    this.unsubscribe = configuration.onChange(paths => { this.updateAccounts(paths) })
  }

  /**
   * Finds the team for the value of an `authorization` header.
   * Errors: `unauthenticated`, with the same message for a missing, malformed, unknown or expired token.
   */
  authenticate (authorization: string | undefined): Result<AuthenticatedTeam, Failure> {
    const token = /^bearer +([^\s]{1,512})$/i.exec(authorization ?? '')?.[1]
    const hash = tokenHashOf(token ?? '')
    if (token !== undefined && hash === this.bootstrapTokenHash && !this.hasOperator()) return Result.ok(bootstrapTeam)
    const known = token === undefined ? undefined : this.tokens.get(hash)
    if (known === undefined || (known.expiresAt !== undefined && known.expiresAt <= this.clock.wall())) {
      return Result.err(failure('unauthenticated', 'the request has no valid token'))
    }
    return Result.ok(known.team)
  }

  private hasOperator (): boolean {
    return [...this.configuration.accounts().values()].some(account => account.operator)
  }

  /** Removes the listener from the configuration. */
  close (): void {
    this.unsubscribe()
  }

  private updateAccounts (paths: string[]): void {
    const accountPaths = paths.filter(path => documentKindOf(path) === 'account')
    // Removes the tokens of all changed accounts first, because one change can move a token between accounts.
    for (const path of accountPaths) this.removeTokensOf(teamOf(path) as Team)
    for (const path of accountPaths) {
      const account = this.configuration.get(path)?.value as AccountDocument | undefined
      if (account !== undefined) this.replaceTokensOf(teamOf(path) as Team, account)
    }
  }

  private replaceTokensOf (team: Team, account: AccountDocument): void {
    this.removeTokensOf(team)
    const authenticated: AuthenticatedTeam = { team, owner: account.owner, operator: account.operator }
    for (const { sha256, expiresAt } of account.tokens) this.tokens.set(sha256, { team: authenticated, expiresAt })
    this.hashesByTeam.set(team, account.tokens.map(token => token.sha256))
  }

  private removeTokensOf (team: Team): void {
    for (const hash of this.hashesByTeam.get(team) ?? []) this.tokens.delete(hash)
    this.hashesByTeam.delete(team)
  }
}
