/**
 * Entry point of the program: passes its arguments to the command line.
 */
import { runCommandLine } from './commands/index.js'

runCommandLine(process.argv.slice(2)).catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exitCode = 1
})
