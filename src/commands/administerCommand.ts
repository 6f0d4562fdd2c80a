/**
 * `dogwooddale administer ACTION`: reads and changes the configuration through the administration API.
 */
import { readFileSync, writeFileSync } from 'node:fs'
import { text } from 'node:stream/consumers'
import { Result } from 'true-myth'
import type { Argv, CommandModule } from 'yargs'
import { z } from 'zod'
import { changeIdHeader } from '../administration/index.js'
import { type Failure, failure, newRecordId } from '../common/index.js'
import { configurationStateSchema, historyEntrySchema } from '../configuration/index.js'
import type { AdministrationClient } from './AdministrationClient.js'
import { clientArgumentsOf, print, printFailure, runWithClient, withClientOptions } from './administrationOptions.js'

const documentSchema = z.object({ path: z.string(), version: z.number(), value: z.unknown() })
const documentListSchema = z.object({ through: z.number(), documents: z.array(documentSchema) })
const acceptedChangeSchema = z.object({ changeId: z.string(), version: z.number() })
const historySchema = z.object({ path: z.string(), version: z.number(), entries: z.array(historyEntrySchema) })
const exportSchema = z.object({ through: z.number(), state: configurationStateSchema })
const restoreResultSchema = z.object({ offset: z.number() })

type AcceptedChange = z.infer<typeof acceptedChangeSchema>

function formatDocument ({ path, version, value }: z.infer<typeof documentSchema>): string {
  return `${path} version=${version}\n${JSON.stringify(value, null, 2)}`
}

function formatAcceptedChange ({ changeId, version }: AcceptedChange): string {
  return `accepted version=${version} change=${changeId}`
}

function parseJsonValue (source: string): Result<unknown, Failure> {
  try {
    return Result.ok(JSON.parse(source))
  } catch (caught) {
    return Result.err(failure('bad_request', `the value is not JSON: ${(caught as Error).message}`))
  }
}

function readDocuments (file: string): Result<Record<string, unknown>, Failure> {
  let source: string
  try {
    source = readFileSync(file, 'utf8')
  } catch (caught) {
    return Result.err(failure('bad_request', `${file}: ${(caught as Error).message}`))
  }
  return parseJsonValue(source).andThen(value => {
    const documents = z.record(z.string(), z.unknown()).safeParse(value)
    return documents.success
      ? Result.ok(documents.data)
      : Result.err(failure('bad_request', `${file}: must be a JSON object that maps paths to documents`))
  })
}

/** Version of the path that a change expects: the given one, or else the current one, read from the server. */
async function expectedVersionOf (client: AdministrationClient, path: string, given?: number): Promise<Result<number, Failure>> {
  if (given !== undefined) return Result.ok(given)
  const current = await client.send({ method: 'GET', path: `/settings${path}`, responseSchema: documentSchema })
  if (current.isOk) return Result.ok(current.value.version)
  // After its document was deleted, a path still has a version.
  const version = current.error.detail?.version
  if (current.error.kind === 'not_found' && typeof version === 'number') return Result.ok(version)
  return Result.err(current.error)
}

async function changeDocument (
  client: AdministrationClient,
  args: Record<string, unknown>,
  request: { method: 'PUT' | 'DELETE', body?: unknown }
): Promise<Result<AcceptedChange, Failure>> {
  const path = args.path as string
  const version = await expectedVersionOf(client, path, args.expectVersion as number | undefined)
  if (version.isErr) return Result.err(version.error)
  return await client.send({
    ...request,
    path: `/settings${path}`,
    headers: { 'if-match': `"${version.value}"`, [changeIdHeader]: args.changeId as string | undefined ?? newRecordId() },
    repeatable: true,
    responseSchema: acceptedChangeSchema
  })
}

function withPath (parser: Argv, describe = 'Path of the document, e.g. /fleet/shares'): Argv {
  return withClientOptions(parser).positional('path', { type: 'string', demandOption: true, describe })
}

function withChangeOptions (parser: Argv): Argv {
  return withPath(parser)
    .option('expect-version', { type: 'number', describe: 'Version that the path must have; 0: the path was never set. Default: the current version' })
    .option('change-id', { type: 'string', describe: 'Id of the change; sending a change again with the same id has no further effect' })
}

const getSubcommand: CommandModule = {
  command: 'get <path>',
  describe: 'Show a document, or all documents below a path that ends in "/"',
  builder: parser => withPath(parser),
  handler: async args => {
    const path = args.path as string
    if (!path.endsWith('/')) {
      return await runWithClient(args, client =>
        client.send({ method: 'GET', path: `/settings${path}`, responseSchema: documentSchema }), formatDocument)
    }
    const query = new URLSearchParams({ prefix: path })
    await runWithClient(args, client =>
      client.send({ method: 'GET', path: `/settings?${query}`, responseSchema: documentListSchema }),
    list => list.documents.map(formatDocument).join('\n'))
  }
}

const setSubcommand: CommandModule = {
  command: 'set <path> [value]',
  describe: 'Set a document; without a value, the document is read from standard input',
  builder: parser => withChangeOptions(parser).positional('value', { type: 'string', describe: 'The document as JSON' }),
  handler: async args => {
    const value = parseJsonValue(args.value as string | undefined ?? await text(process.stdin))
    if (value.isErr) return printFailure(value.error, clientArgumentsOf(args).json)
    await runWithClient(args, client => changeDocument(client, args, { method: 'PUT', body: value.value }), formatAcceptedChange)
  }
}

/** Makes one edit for each document, conditional on the current version of its path. */
async function editsOf (client: AdministrationClient, documents: Record<string, unknown>): Promise<Result<unknown[], Failure>> {
  const edits: unknown[] = []
  for (const [path, value] of Object.entries(documents)) {
    const expectedVersion = await expectedVersionOf(client, path)
    if (expectedVersion.isErr) return Result.err(expectedVersion.error)
    edits.push({ path, expectedVersion: expectedVersion.value, value })
  }
  return Result.ok(edits)
}

const applySubcommand: CommandModule = {
  command: 'apply <file>',
  describe: 'Set all documents of a JSON file, an object that maps paths to documents, as one change',
  builder: parser => withClientOptions(parser)
    .positional('file', { type: 'string', demandOption: true, describe: 'JSON file; null as a value deletes a document' })
    .option('change-id', { type: 'string', describe: 'Id of the change; sending a change again with the same id has no further effect' }),
  handler: async args => {
    const documents = readDocuments(args.file as string)
    if (documents.isErr) return printFailure(documents.error, clientArgumentsOf(args).json)
    await runWithClient(args, async client => {
      const edits = await editsOf(client, documents.value)
      if (edits.isErr) return Result.err(edits.error)
      const changeId = args.changeId as string | undefined ?? newRecordId()
      const body = { changeId, edits: edits.value }
      return await client.send({ method: 'POST', path: '/settings', body, repeatable: true, responseSchema: acceptedChangeSchema })
    }, formatAcceptedChange)
  }
}

const deleteSubcommand: CommandModule = {
  command: 'delete <path>',
  describe: 'Delete a document',
  builder: withChangeOptions,
  handler: async args => {
    await runWithClient(args, client => changeDocument(client, args, { method: 'DELETE' }), formatAcceptedChange)
  }
}

const historySubcommand: CommandModule = {
  command: 'history <path>',
  describe: 'Show the latest changes of a document with author, time and value',
  builder: parser => withPath(parser),
  handler: async args => {
    await runWithClient(args, client =>
      client.send({ method: 'GET', path: `/history${args.path as string}`, responseSchema: historySchema }),
    history => history.entries
      .map(entry => `${new Date(entry.at).toISOString()} version=${entry.version} author=${entry.author} change=${entry.changeId} ${JSON.stringify(entry.value)}`)
      .join('\n'))
  }
}

const changeSubcommand: CommandModule = {
  command: 'change <id>',
  describe: 'Show the outcome of a change',
  builder: parser => withClientOptions(parser)
    .positional('id', { type: 'string', demandOption: true, describe: 'Id of the change' })
    .option('author', { type: 'string', describe: 'Team that made the change; default: the team of the token' }),
  handler: async args => {
    const query = args.author === undefined ? '' : `?${new URLSearchParams({ author: args.author as string })}`
    await runWithClient(args, client => client.send({
      method: 'GET', path: `/changes/${encodeURIComponent(args.id as string)}${query}`, responseSchema: z.record(z.string(), z.unknown())
    }))
  }
}

const watchSubcommand: CommandModule = {
  command: 'watch [prefix]',
  describe: 'Print each change as a line of JSON when it takes effect',
  builder: parser => withClientOptions(parser)
    .positional('prefix', { type: 'string', default: '', describe: 'Only paths that start with this prefix' })
    .option('after', { type: 'number', describe: 'Start with the changes after this offset; 0: start with all documents' }),
  handler: async args => {
    const abortController = new AbortController()
    for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => { abortController.abort() })
    await runWithClient(args, async client => {
      const ended = await client.watch(
        args.prefix as string,
        args.after as number | undefined,
        change => { print(JSON.stringify(change)) },
        abortController.signal
      )
      return ended.map(() => ({ ended: true }))
    }, () => 'watch ended')
  }
}

const exportSubcommand: CommandModule = {
  command: 'export',
  describe: 'Write the whole configuration with its history as JSON, for a restore',
  builder: parser => withClientOptions(parser)
    .option('output', { type: 'string', describe: 'File to write; default: standard output' }),
  handler: async args => {
    await runWithClient<unknown>(args, async client => {
      const exported = await client.send({ method: 'GET', path: '/export', responseSchema: exportSchema })
      if (exported.isErr || args.output === undefined) return exported
      writeFileSync(args.output as string, `${JSON.stringify(exported.value, null, 2)}\n`)
      const { through, state } = exported.value
      return Result.ok({ through, documents: state.documents.length, output: args.output })
    })
  }
}

function readExport (file: string): Result<z.infer<typeof exportSchema>, Failure> {
  try {
    return Result.ok(exportSchema.parse(JSON.parse(readFileSync(file, 'utf8'))))
  } catch (caught) {
    return Result.err(failure('bad_request', `${file}: not an exported configuration: ${(caught as Error).message}`))
  }
}

const restoreSubcommand: CommandModule = {
  command: 'restore <file>',
  describe: 'Write an exported configuration into the log as a snapshot; only after all hosts were lost',
  builder: parser => withClientOptions(parser)
    .positional('file', { type: 'string', demandOption: true, describe: 'File written by export' })
    .option('confirm-replace', { type: 'boolean', default: false, describe: 'Confirm that changes after the export may be lost' }),
  handler: async args => {
    const { json } = clientArgumentsOf(args)
    if (args.confirmReplace !== true) {
      return printFailure(failure('bad_request', 'a restore can lose changes made after the export; confirm with --confirm-replace'), json)
    }
    const exported = readExport(args.file as string)
    if (exported.isErr) return printFailure(exported.error, json)
    await runWithClient(args, client => client.send({
      method: 'POST', path: '/restore', body: { confirm: true, state: exported.value.state }, responseSchema: restoreResultSchema
    }), ({ offset }) => `snapshot written offset=${offset}`)
  }
}

const confirmOrderSubcommand: CommandModule = {
  command: 'confirm-order <id>',
  describe: 'Confirm that the former lease holders can no longer send an open order',
  builder: parser => withClientOptions(parser).positional('id', { type: 'string', demandOption: true, describe: 'Order id' }),
  handler: async args => {
    await runWithClient(args, client => client.send({
      method: 'POST', path: `/orders/${encodeURIComponent(args.id as string)}/confirm`, responseSchema: z.object({ confirmed: z.string() })
    }), ({ confirmed }) => `confirmed order=${confirmed}`)
  }
}

/** The `administer` command. */
export const administerCommand: CommandModule = {
  command: 'administer',
  describe: 'Read and change the configuration',
  builder: parser => parser
    .command(getSubcommand)
    .command(setSubcommand)
    .command(applySubcommand)
    .command(deleteSubcommand)
    .command(watchSubcommand)
    .command(historySubcommand)
    .command(changeSubcommand)
    .command(exportSubcommand)
    .command(restoreSubcommand)
    .command(confirmOrderSubcommand)
    .demandCommand(1, 'Name an action.'),
  handler: () => {}
}
