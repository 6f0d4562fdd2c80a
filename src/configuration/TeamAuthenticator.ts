/**
 * Finds the team of a token. Only hashes of tokens are stored. Hashes are looked up in a map: the time of
 * the lookup can tell something about a stored hash at most, and a token cannot be computed from its hash,
 * so the comparison need not take constant time.
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

/** Who holds the bootstrap token. */
const bootstrapTeam: AuthenticatedTeam = { team: 'bootstrap' as Team, owner: 'bootstrap' as Owner, operator: true }

/** Hash under which a token is stored in an account. */
export function tokenHashOf (token: string): string {
  return createHash('sha256').update(token).digest('hex')
}

/** Looks up tokens in the accounts of a configuration and follows its changes. */
export class TeamAuthenticator {
  private readonly tokens = new Map<string, KnownToken>()
  private readonly hashesOfTeams = new Map<Team, string[]>()
  private readonly stopListening: () => void

  /**
   * `bootstrapTokenHash`: hash of a token with operators' rights that works only while no operator account
   * exists; without it nobody could write the first configuration.
   */
  constructor (
    private readonly configuration: ConfigurationReader,
    private readonly clock: Clock,
    private readonly bootstrapTokenHash?: string
  ) {
    for (const [team, account] of configuration.accounts()) this.replace(team, account)
    this.stopListening = configuration.onChange(paths => { this.update(paths) })
  }

  /**
   * Finds the team by the value of an `authorization` header.
   * Errors: `unauthenticated`, the same for a missing, malformed, unknown or expired token.
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

  /** Stops following the configuration. */
  close (): void {
    this.stopListening()
  }

  private update (paths: string[]): void {
    const accountPaths = paths.filter(path => documentKindOf(path) === 'account')
    // Removes all first: one change can move a token from one account to another.
    for (const path of accountPaths) this.remove(teamOf(path) as Team)
    for (const path of accountPaths) {
      const account = this.configuration.get(path)?.value as AccountDocument | undefined
      if (account !== undefined) this.replace(teamOf(path) as Team, account)
    }
  }

  private replace (team: Team, account: AccountDocument): void {
    this.remove(team)
    const authenticated: AuthenticatedTeam = { team, owner: account.owner, operator: account.operator }
    for (const { sha256, expiresAt } of account.tokens) this.tokens.set(sha256, { team: authenticated, expiresAt })
    this.hashesOfTeams.set(team, account.tokens.map(token => token.sha256))
  }

  private remove (team: Team): void {
    for (const hash of this.hashesOfTeams.get(team) ?? []) this.tokens.delete(hash)
    this.hashesOfTeams.delete(team)
  }
}
