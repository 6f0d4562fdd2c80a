/**
 * Which team may change and read which path. Operators change the fleet and the accounts, and read all.
 * Every other team changes its own settings, and reads these, the fleet and its own account without hashes.
 */
import { match } from 'ts-pattern'
import type { AuthenticatedTeam } from './ConfigurationReader.js'
import { type AccountDocument, documentKindOf } from './documents.js'
import { teamOf } from './ConfigurationTree.js'

/** True if the team may change the path. */
export function mayChange (by: AuthenticatedTeam, path: string): boolean {
  return match(documentKindOf(path))
    .with('limits', 'team_setting', () => teamOf(path) === by.team)
    .with('model', 'adapter', 'pool', 'role', 'shares', 'account', undefined, () => by.operator)
    .exhaustive()
}

/** True if the team may read the path, perhaps with parts left out by `visibleValue`. */
export function mayRead (by: AuthenticatedTeam, path: string): boolean {
  if (by.operator) return true
  return match(documentKindOf(path))
    .with('model', 'adapter', 'pool', 'role', 'shares', undefined, () => true)
    .with('account', 'limits', 'team_setting', () => teamOf(path) === by.team)
    .exhaustive()
}

/** The part of a document that the team may see. Only operators, who write accounts, see token hashes. */
export function visibleValue (by: AuthenticatedTeam, path: string, value: unknown): unknown {
  if (by.operator || value === null || documentKindOf(path) !== 'account') return value
  const account = value as AccountDocument
  return { ...account, tokens: account.tokens.map(({ sha256, ...token }) => token) }
}
