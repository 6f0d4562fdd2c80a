/**
 * The command line: one yargs module per command. A command that fails sets the exit status of its error kind;
 * 0 means success.
 */
import yargs, { type CommandModule } from 'yargs'
import { errorResponses } from '../common/index.js'
import { administerCommand } from './administerCommand.js'
import { certificatesCommand } from './certificatesCommand.js'
import { checkCommand } from './checkCommand.js'
import { drainCommand, fleetCommand, useCommand } from './fleetCommands.js'
import { hostCommand } from './hostCommand.js'
import { replayCommand } from './replayCommand.js'
import { standInCommand } from './standInCommand.js'
import { timelineCommand } from './timelineCommand.js'

/** Version shown by `--version`; equal to the one in package.json. */
export const programVersion = '0.1.0'

const commands: CommandModule[] = [
  administerCommand,
  certificatesCommand,
  checkCommand,
  drainCommand,
  fleetCommand,
  hostCommand,
  replayCommand,
  standInCommand,
  timelineCommand,
  useCommand
]

/** Thrown for invalid command-line arguments. */
class UsageError extends Error {}

/** Runs the command that the arguments name. `args` does not include the name of the program. */
export async function runCommandLine (args: string[]): Promise<void> {
  let parser = yargs(args)
    .scriptName('dogwooddale')
    .version(programVersion)
    .usage('$0 <command> [options]\n\nServes language models and plain services on a fixed fleet of engines.')
    .demandCommand(1, 'Name a command.')
    .strict()
    .help()
    .wrap(100)
    // Throws, so that no handler runs and the exit status is that of the error kind `bad_request`.
    .fail((message, error) => {
      if (error !== undefined && error.name !== 'YError') throw error
      throw new UsageError(message ?? error.message)
    })
  for (const command of commands) parser = parser.command(command)
  try {
    await parser.parseAsync()
  } catch (caught) {
    if (!(caught instanceof UsageError)) throw caught
    process.stderr.write(`${caught.message}\nSee --help.\n`)
    process.exitCode = errorResponses.bad_request.exitStatus
  }
}
