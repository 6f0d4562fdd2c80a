/**
 * Routes of the configuration: documents, history, outcomes of changes, export and restore.
 */
import { Hono } from 'hono'
import { Result } from 'true-myth'
import { z } from 'zod'
import { errorResponseOf, type Failure, failure, noOffset, teamSchema } from '../common/index.js'
import {
  type AcceptedChange, type ConfigurationPath, configurationStateSchema, mayRead, type RequestedEdit, prepareRestore,
  type VersionedDocument, visibleValue
} from '../configuration/index.js'
import type { AdministrationOptions } from './AdministrationOptions.js'
import {
  type AdministrationContext, type AdministrationEnvironment, answerWith, documentPathOf, operatorsOnly, parseWith, readJson
} from './requests.js'

/** Header with the id of a change. A change that is sent again with its id takes effect once. */
export const changeIdHeader = 'x-change-id'

const editsBodySchema = z.strictObject({
  changeId: z.string().optional(),
  edits: z.array(z.strictObject({ path: z.string(), expectedVersion: z.number(), value: z.unknown() }))
})

const restoreBodySchema = z.strictObject({
  /** Confirms that the restored state may replace a newer configuration. */
  confirm: z.literal(true),
  state: configurationStateSchema
})

function entityTag (version: number): string {
  return `"${version}"`
}

function visibleDocument (context: AdministrationContext, { path, version, value }: VersionedDocument): VersionedDocument {
  return { path, version, value: visibleValue(context.get('team'), path, value) }
}

/** Returns the version that the conditional headers of a request demand of the document at the path. Errors: `bad_request`. */
function expectedVersionOf (
  context: AdministrationContext,
  options: AdministrationOptions,
  path: ConfigurationPath
): Result<number, Failure> {
  const ifMatch = context.req.header('if-match')
  const ifNoneMatch = context.req.header('if-none-match')
  const version = /^"(\d{1,15})"$/.exec(ifMatch ?? '')?.[1]
  if (version !== undefined && ifNoneMatch === undefined) return Result.ok(Number(version))
  if (ifNoneMatch?.trim() === '*' && ifMatch === undefined) {
    // The version of an existing document is not 0 (`noOffset`), so expecting 0 makes the change conflict.
    const exists = options.configuration.get(path) !== undefined
    return Result.ok(exists ? noOffset : options.configuration.versionOf(path))
  }
  return Result.err(failure('bad_request', 'a change needs either if-match: "<version>" or if-none-match: *'))
}

function answerChange (changed: Result<AcceptedChange, Failure>): Response {
  return answerWith(changed, 200, changed.isOk ? { etag: entityTag(changed.value.version) } : {})
}

async function changeDocument (
  context: AdministrationContext,
  options: AdministrationOptions,
  value: unknown
): Promise<Response> {
  const edit = documentPathOf(context).andThen(path =>
    expectedVersionOf(context, options, path).map((expectedVersion): RequestedEdit => ({ path, expectedVersion, value })))
  if (edit.isErr) return errorResponseOf(edit.error)
  const changeId = context.req.header(changeIdHeader)
  return answerChange(await options.configuration.change(context.get('team'), [edit.value], changeId))
}

async function putDocument (context: AdministrationContext, options: AdministrationOptions): Promise<Response> {
  const value = await readJson(context)
  if (value.isErr) return errorResponseOf(value.error)
  if (value.value === null) return errorResponseOf(failure('bad_request', 'a document must not be null; use DELETE to delete it'))
  return await changeDocument(context, options, value.value)
}

async function postEdits (context: AdministrationContext, options: AdministrationOptions): Promise<Response> {
  const body = (await readJson(context)).andThen(value => parseWith(editsBodySchema, value))
  if (body.isErr) return errorResponseOf(body.error)
  const { changeId, edits } = body.value
  return answerChange(await options.configuration.change(context.get('team'), edits, changeId))
}

function getDocument (context: AdministrationContext, { configuration }: AdministrationOptions): Response {
  const path = documentPathOf(context)
  if (path.isErr) return errorResponseOf(path.error)
  if (!mayRead(context.get('team'), path.value)) return answerForbiddenPath(path.value)
  const document = configuration.get(path.value)
  const version = configuration.versionOf(path.value)
  if (document === undefined) return errorResponseOf(failure('not_found', `there is no document at ${path.value}`, { version }))
  const headers = { etag: entityTag(version) }
  if (context.req.header('if-none-match') === headers.etag) return new Response(null, { status: 304, headers })
  return answerWith(Result.ok(visibleDocument(context, document)), 200, headers)
}

function listDocuments (context: AdministrationContext, { configuration }: AdministrationOptions): Response {
  const documents = configuration.list(context.req.query('prefix') ?? '')
    .filter(document => mayRead(context.get('team'), document.path))
    .map(document => visibleDocument(context, document))
  return Response.json({ through: configuration.through, documents })
}

function getHistory (context: AdministrationContext, { configuration }: AdministrationOptions): Response {
  const path = documentPathOf(context)
  if (path.isErr) return errorResponseOf(path.error)
  const team = context.get('team')
  if (!mayRead(team, path.value)) return answerForbiddenPath(path.value)
  const entries = configuration.historyOf(path.value)
    .map(entry => ({ ...entry, value: visibleValue(team, entry.path, entry.value) }))
  return Response.json({ path: path.value, version: configuration.versionOf(path.value), entries })
}

function getChange (context: AdministrationContext, { configuration }: AdministrationOptions): Response {
  const team = context.get('team')
  const author = parseWith(teamSchema, context.req.query('author') ?? team.team)
  if (author.isErr) return errorResponseOf(author.error)
  if (author.value !== team.team && !team.operator) return errorResponseOf(failure('forbidden', 'only operators may read changes of another team'))
  const changeId = context.req.param('id') ?? ''
  const outcome = configuration.outcomeOf(author.value, changeId)
  if (outcome !== undefined) return Response.json(outcome)
  const { through } = configuration
  return errorResponseOf(failure('not_found', `this host has no change "${changeId}" through offset ${through}`, { through }))
}

async function postRestore (context: AdministrationContext, options: AdministrationOptions): Promise<Response> {
  const body = (await readJson(context)).andThen(value => parseWith(restoreBodySchema, value))
  if (body.isErr) return errorResponseOf(body.error)
  const state = prepareRestore(body.value.state)
  if (state.isErr) return errorResponseOf(state.error)
  const { team } = context.get('team')
  options.events.warn('configuration_restore_requested', { team, documents: body.value.state.documents.length })
  const written = await options.writeConfigurationSnapshot(state.value)
  return answerWith(written.map(offset => ({ offset })))
}

function answerForbiddenPath (path: string): Response {
  return errorResponseOf(failure('forbidden', `the team may not read ${path}`))
}

/** Routes `/settings`, `/history`, `/changes`, `/export` and `/restore`. */
export function settingsRoutes (options: AdministrationOptions): Hono<AdministrationEnvironment> {
  const routes = new Hono<AdministrationEnvironment>()
  routes.get('/settings', context => listDocuments(context, options))
  routes.post('/settings', async context => await postEdits(context, options))
  routes.get('/settings/:path{.+}', context => getDocument(context, options))
  routes.put('/settings/:path{.+}', async context => await putDocument(context, options))
  routes.delete('/settings/:path{.+}', async context => await changeDocument(context, options, null))
  routes.get('/history/:path{.+}', context => getHistory(context, options))
  routes.get('/changes/:id', context => getChange(context, options))
  routes.get('/export', operatorsOnly, () => Response.json(options.configuration.exportState()))
  routes.post('/restore', operatorsOnly, async context => await postRestore(context, options))
  return routes
}
