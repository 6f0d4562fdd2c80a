/**
 * Access rights of teams to paths. Operators may change the fleet and all accounts, and read everything. Every team may
 * change its own settings. A team that is not an operator may read its own settings, the fleet, and its own account
 * without the token hashes.
 */
import { match } from 'ts-pattern'
import type { AuthenticatedTeam } from './ConfigurationReader.js'
import { type AccountDocument, documentKindOf } from './documents.js'
import { teamOf } from './ConfigurationTree.js'

/** True if the team may change the path. */
export function mayChange (requester: AuthenticatedTeam, path: string): boolean {
  return match(documentKindOf(path))
    .with('limits', 'team_setting', () => teamOf(path) === requester.team)
    .with('model', 'adapter', 'pool', 'role', 'shares', 'account', undefined, () => requester.operator)
    .exhaustive()
}

/** True if the team may read the path. `visibleValue` removes the parts of the document that it may not read. */
export function mayRead (requester: AuthenticatedTeam, path: string): boolean {
  if (requester.operator) return true
  return match(documentKindOf(path))
    .with('model', 'adapter', 'pool', 'role', 'shares', undefined, () => true)
    .with('account', 'limits', 'team_setting', () => teamOf(path) === requester.team)
    .exhaustive()
}

/** The part of a document that the team may read. Only operators, who write the accounts, may read token hashes. */
export function visibleValue (requester: AuthenticatedTeam, path: string, value: unknown): unknown {
  if (requester.operator || value === null || documentKindOf(path) !== 'account') return value
  const account = value as AccountDocument
  return { ...account, tokens: account.tokens.map(({ sha256, ...token }) => token) }
}
