/**
 * Validation rules of the configuration. Each rule is implemented once, for the document that contains the reference.
 * `validateTree` checks all documents. `affectedPaths` lists the few documents that a change of one path can make
 * invalid, so that deciding a change does not read the whole tree. The rules are part of record version 1.
 */
import { match } from 'ts-pattern'
import type { z } from 'zod'
import type { ConfigurationProblem } from './changes.js'
import { type ConfigurationTree, lastSegmentOf, type StoredDocument, teamOf } from './ConfigurationTree.js'
import {
  type AccountDocument, type AdapterDocument, documentKindOf, documentSchemas, type ModelDocument, type PoolDocument,
  type SharesDocument
} from './documents.js'

/**
 * Maximum total length of the settings of one team as JSON text, paths included, in UTF-16 code units. 1,300 teams with
 * settings of this length take about 20 MB.
 */
export const maxSettingsLength = 16_384

function describeIssue (issue: z.core.$ZodIssue): string {
  const location = issue.path.map(String).join('.')
  return location === '' ? issue.message : `${location}: ${issue.message}`
}

function duplicatesIn (values: readonly string[]): string[] {
  const seen = new Set<string>()
  return [...new Set(values.filter(value => seen.size === seen.add(value).size))]
}

/** Problems within one document, independent of the rest of the tree. */
function documentProblems (path: string, value: unknown): string[] {
  return match(documentKindOf(path))
    .with('model', () => {
      const model = value as ModelDocument
      return model.versions.includes(model.defaultVersion)
        ? []
        : [`defaultVersion "${model.defaultVersion}" is not one of the versions`]
    })
    .with('shares', () => {
      const total = Object.values(value as SharesDocument).reduce((sum, share) => sum + share, 0)
      return total > 100 ? [`the shares add up to ${total} percent; at most 100 is possible`] : []
    })
    .with('pool', () => {
      const { workers } = value as PoolDocument
      return [
        ...duplicatesIn(workers.map(worker => worker.id)).map(id => `worker "${id}" occurs more than once`),
        ...duplicatesIn(workers.map(worker => worker.address)).map(address => `address "${address}" occurs more than once`)
      ]
    })
    .with('account', () => duplicatesIn((value as AccountDocument).tokens.map(token => token.sha256))
      .map(() => 'a token hash occurs more than once'))
    .with('adapter', 'role', 'limits', 'team_setting', undefined, () => [])
    .exhaustive()
}

/** A valid document with its defaults filled in, or the problems of an invalid one. */
export type CheckedDocument =
  | { valid: true, value: unknown }
  | { valid: false, problems: ConfigurationProblem[] }

/** Checks one document on its own and fills in defaults. A document that fails here is invalid in every tree. */
export function checkDocument (path: string, value: unknown): CheckedDocument {
  const kind = documentKindOf(path)
  if (kind === undefined) {
    return { valid: false, problems: [{ path, problem: 'no document can stand at this path' }] }
  }
  const parsed = documentSchemas[kind].safeParse(value)
  const problems = parsed.success ? documentProblems(path, parsed.data) : parsed.error.issues.map(describeIssue)
  if (parsed.success && problems.length === 0) return { valid: true, value: parsed.data }
  return { valid: false, problems: problems.map(problem => ({ path, problem })) }
}

function modelPath (model: string): string {
  return `/fleet/models/${model}`
}

function accountPath (team: string): string {
  return `/teams/${team}/account`
}

function adapterProblems (tree: ConfigurationTree, path: string, adapter: AdapterDocument): string[] {
  const model = tree.get(modelPath(adapter.model))?.value as ModelDocument | undefined
  const nameProblems = tree.get(modelPath(lastSegmentOf(path))) === undefined ? [] : ['a model has the same name']
  if (model === undefined) return [...nameProblems, `unknown model "${adapter.model}"`]
  if (model.versions.includes(adapter.version)) return nameProblems
  return [...nameProblems, `model "${adapter.model}" has no version "${adapter.version}"`]
}

function poolProblems (tree: ConfigurationTree, path: string, pool: PoolDocument): string[] {
  const unknownModels = pool.kind === 'service'
    ? []
    : pool.models.filter(model => tree.get(modelPath(model)) === undefined).map(model => `unknown model "${model}"`)
  const otherPool = (paths: readonly string[]): string | undefined => paths.find(other => other !== path)
  const duplicates = pool.workers.flatMap(worker => {
    const sameId = otherPool(tree.pathsReferringTo('worker', worker.id))
    const sameAddress = otherPool(tree.pathsReferringTo('address', worker.address))
    return [
      ...(sameId === undefined ? [] : [`worker "${worker.id}" is also in ${sameId}`]),
      ...(sameAddress === undefined ? [] : [`address "${worker.address}" is also in ${sameAddress}`])
    ]
  })
  return [...unknownModels, ...duplicates]
}

function sharesProblems (tree: ConfigurationTree, shares: SharesDocument): string[] {
  return Object.keys(shares)
    .filter(team => tree.get(accountPath(team)) === undefined)
    .map(team => `unknown team "${team}"`)
}

function roleProblems (tree: ConfigurationTree, path: string): string[] {
  const worker = lastSegmentOf(path)
  const pools = tree.pathsReferringTo('worker', worker).map(pool => tree.get(pool)?.value as PoolDocument)
  if (pools.length === 0) return [`no engine pool has a worker "${worker}"`]
  return pools.some(pool => pool.kind === 'engines') ? [] : [`worker "${worker}" is a service worker and plays no role`]
}

function accountProblems (tree: ConfigurationTree, account: AccountDocument): string[] {
  const isShared = account.tokens.some(token => tree.pathsReferringTo('token', token.sha256).length > 1)
  return isShared ? ['a token hash belongs to more than one account'] : []
}

function settingProblems (tree: ConfigurationTree, path: string): string[] {
  const team = teamOf(path)
  const length = tree.settingsLength(team)
  return [
    ...(tree.get(accountPath(team)) === undefined ? [`unknown team "${team}"`] : []),
    ...(length > maxSettingsLength ? [`the settings of team "${team}" have ${length} characters; at most ${maxSettingsLength} are possible`] : [])
  ]
}

/** Problems of the document at a path that depend on the rest of the tree, such as references to missing documents. */
function referenceProblems (tree: ConfigurationTree, path: string): ConfigurationProblem[] {
  const document = tree.get(path)
  if (document === undefined) return []
  const { value } = document
  return match(documentKindOf(path))
    .with('adapter', () => adapterProblems(tree, path, value as AdapterDocument))
    .with('pool', () => poolProblems(tree, path, value as PoolDocument))
    .with('shares', () => sharesProblems(tree, value as SharesDocument))
    .with('role', () => roleProblems(tree, path))
    .with('account', () => accountProblems(tree, value as AccountDocument))
    .with('limits', 'team_setting', () => settingProblems(tree, path))
    .with('model', undefined, () => [])
    .exhaustive()
    .map(problem => ({ path, problem }))
}

function rolePathsOf (document: StoredDocument | undefined): string[] {
  const pool = document?.value as PoolDocument | undefined
  return pool?.workers.map(worker => `/fleet/roles/${worker.id}`) ?? []
}

/** Paths whose documents can become invalid when the given path changes, including that path itself. */
function affectedPaths (tree: ConfigurationTree, path: string, previous: StoredDocument | undefined): string[] {
  const dependents = match(documentKindOf(path))
    .with('model', () => {
      const model = lastSegmentOf(path)
      return [
        `/fleet/adapters/${model}`,
        ...tree.pathsReferringTo('adapter_of_model', model),
        ...(tree.get(path) === undefined ? tree.pathsReferringTo('pool_of_model', model) : [])
      ]
    })
    .with('pool', () => rolePathsOf(previous))
    .with('account', () => tree.get(path) === undefined
      ? ['/fleet/shares', ...tree.pathsReferringTo('settings_of_team', teamOf(path))]
      : [])
    .with('adapter', 'role', 'shares', 'limits', 'team_setting', undefined, () => [])
    .exhaustive()
  return [path, ...dependents]
}

/** All problems of a tree whose documents have already passed `checkDocument`. */
export function validateTree (tree: ConfigurationTree): ConfigurationProblem[] {
  return tree.list('').flatMap(({ path }) => referenceProblems(tree, path))
}

/**
 * Problems of a tree that was valid before some paths changed. `previous` contains the earlier document of each changed
 * path. Reads only the changed documents and those that refer to them; the shares only if an account was deleted.
 */
export function validateChanged (
  tree: ConfigurationTree,
  previous: ReadonlyMap<string, StoredDocument | undefined>
): ConfigurationProblem[] {
  const paths = new Set([...previous].flatMap(([path, document]) => affectedPaths(tree, path, document)))
  return [...paths].sort().flatMap(path => referenceProblems(tree, path))
}
