/**
 * The command line: one yargs module per subcommand. A command ends by setting the exit status from the
 * table of error kinds; 0 is success.
 */
import yargs, { type CommandModule } from 'yargs'
import { errorAnswers } from '../common/index.js'
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

/** Wrong use of the command line. */
class UsageError extends Error {}

/** Runs the program with its arguments, without the program's own name. */
export async function runCommandLine (args: string[]): Promise<void> {
  let parser = yargs(args)
    .scriptName('dogwooddale')
    .version(programVersion)
    .usage('$0 <command> [options]\n\nServes language models and plain services on a fixed fleet of engines.')
    .demandCommand(1, 'Name a command.')
    .strict()
    .help()
    .wrap(100)
    // Throws, so that no handler runs and the exit status comes from the table of error kinds.
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
    process.exitCode = errorAnswers.bad_request.exitStatus
  }
}
