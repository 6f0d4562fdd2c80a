/**
 * What the operators' commands share: the options for the server and the token, running with a client, and
 * the output of results and failures.
 */
import type { Argv } from 'yargs'
import type { Result } from 'true-myth'
import { errorAnswers, errorBodyOf, type Failure, failure } from '../common/index.js'
import { AdministrationClient } from './AdministrationClient.js'

/** Environment variable with the token, for callers that keep it out of the list of processes. */
export const tokenVariable = 'DOGWOODDALE_TOKEN'

/** Adds `--server`, `--token` and `--json`. */
export function withClientOptions (parser: Argv, serverIsRequired = true): Argv {
  return parser
    .option('server', {
      type: 'string',
      array: true,
      // One address for each --server, so that a following argument is not taken for an address.
      nargs: 1,
      demandOption: serverIsRequired,
      ...(serverIsRequired ? {} : { default: [] }),
      describe: 'Administration address ip:port; several are tried in order'
    })
    .option('token', { type: 'string', describe: `Bearer token; default: the environment variable ${tokenVariable}` })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
}

/** Arguments that `withClientOptions` adds. */
export interface ClientArguments {
  server: string[]
  token?: string
  json: boolean
}

/** Reads the arguments that `withClientOptions` added. */
export function clientArgumentsOf (args: Record<string, unknown>): ClientArguments {
  return args as unknown as ClientArguments
}

/** Prints a failure on standard error and sets the exit status from the table. */
export function printFailure (failed: Failure, json: boolean): void {
  const { detail } = failed
  const facts = detail === undefined ? '' : `\n${JSON.stringify(detail, null, 2)}`
  process.stderr.write(json ? `${JSON.stringify(errorBodyOf(failed))}\n` : `${failed.kind}: ${failed.message}${facts}\n`)
  process.exitCode = errorAnswers[failed.kind].exitStatus
}

/** Prints a line or, for data, JSON. */
export function print (value: unknown): void {
  process.stdout.write(`${typeof value === 'string' ? value : JSON.stringify(value, null, 2)}\n`)
}

/** Runs with a client and prints the result: as JSON, or as the text that `format` makes of it. */
export async function runWithClient<Answer> (
  args: Record<string, unknown>,
  run: (client: AdministrationClient) => Promise<Result<Answer, Failure>>,
  format: (answer: Answer) => string = answer => JSON.stringify(answer, null, 2)
): Promise<void> {
  const { server, token = process.env[tokenVariable], json } = clientArgumentsOf(args)
  if (token === undefined || token === '') {
    return printFailure(failure('unauthenticated', `give --token or set ${tokenVariable}`), json)
  }
  const client = new AdministrationClient({ servers: server, token })
  try {
    const result = await run(client)
    if (result.isErr) return printFailure(result.error, json)
    print(json ? result.value : format(result.value))
  } finally {
    await client.close()
  }
}

/** Lays out rows in columns of equal width, the first row as heading. */
export function formatTable (rows: string[][]): string {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows
    .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
    .join('\n')
}
