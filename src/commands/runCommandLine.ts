/**
 * The command line: one yargs module per subcommand. A command ends by setting the exit status from the
 * table of error kinds; 0 is success.
 */
import yargs, { type CommandModule } from 'yargs'
import { certificatesCommand } from './certificatesCommand.js'
import { checkCommand } from './checkCommand.js'
import { hostCommand } from './hostCommand.js'
import { replayCommand } from './replayCommand.js'
import { standInCommand } from './standInCommand.js'

/** Version shown by `--version`; equal to the one in package.json. */
export const programVersion = '0.1.0'

const commands: CommandModule[] = [
  certificatesCommand,
  checkCommand,
  hostCommand,
  replayCommand,
  standInCommand
]

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
  for (const command of commands) parser = parser.command(command)
  await parser.parseAsync()
}
