/**
 * Helpers of the commands that call the administration API: the options for the server and the token, running a
 * function with a client, and the output of results and failures.
 */
import type { Argv } from 'yargs'
import type { Result } from 'true-myth'
import { errorResponses, errorBodyOf, type Failure, failure } from '../common/index.js'
import { AdministrationClient } from './AdministrationClient.js'

/** Environment variable for the token. It keeps the token out of the process list, where the value of `--token` shows. */
export const tokenVariable = 'DOGWOODDALE_TOKEN'

/** Adds `--server`, `--token` and `--json`. */
export function withClientOptions (parser: Argv, serverIsRequired = true): Argv {
  return parser
    .option('server', {
      type: 'string',
      array: true,
      // Each --server takes one address, so that an argument after it is not parsed as a further address.
      nargs: 1,
      demandOption: serverIsRequired,
      ...(serverIsRequired ? {} : { default: [] }),
      describe: 'Administration address ip:port; several are tried in order'
    })
    .option('token', { type: 'string', describe: `Bearer token; default: the environment variable ${tokenVariable}` })
    .option('json', { type: 'boolean', default: false, describe: 'Print JSON' })
}

/** Values of the options that `withClientOptions` adds. */
export interface ClientArguments {
  server: string[]
  token?: string
  json: boolean
}

/** Reads the values of the options that `withClientOptions` added. */
export function clientArgumentsOf (args: Record<string, unknown>): ClientArguments {
  return args as unknown as ClientArguments
}

/** Prints a failure on standard error and sets the exit status of its error kind. */
export function printFailure (failed: Failure, json: boolean): void {
  const { detail } = failed
  const detailText = detail === undefined ? '' : `\n${JSON.stringify(detail, null, 2)}`
  process.stderr.write(json ? `${JSON.stringify(errorBodyOf(failed))}\n` : `${failed.kind}: ${failed.message}${detailText}\n`)
  process.exitCode = errorResponses[failed.kind].exitStatus
}

/** Prints a string as it is and any other value as JSON. */
export function print (value: unknown): void {
  process.stdout.write(`${typeof value === 'string' ? value : JSON.stringify(value, null, 2)}\n`)
}

/** Calls `run` with a client and prints its result: as JSON with `--json`, or else as the text that `format` returns. */
export async function runWithClient<Output> (
  args: Record<string, unknown>,
  run: (client: AdministrationClient) => Promise<Result<Output, Failure>>,
  format: (output: Output) => string = output => JSON.stringify(output, null, 2)
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

/** Formats rows as a table with aligned columns. The first row is the heading. */
export function formatTable (rows: string[][]): string {
  const widths = (rows[0] ?? []).map((_, column) => Math.max(...rows.map(row => row[column]?.length ?? 0)))
  return rows
    .map(row => row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
    .join('\n')
}
