/**
 * `dogwooddale check FILE...`: validates settings files of entry hosts without starting anything.
 */
import type { CommandModule } from 'yargs'
import { errorAnswers } from '../common/index.js'
import { hostSettingsSchema, loadSettings } from '../settings/index.js'

/** The `check` command. */
export const checkCommand: CommandModule = {
  command: 'check <files..>',
  describe: 'Check settings files of entry hosts',
  builder: parser => parser
    .positional('files', { type: 'string', array: true, describe: 'TOML settings files' })
    .option('json', { type: 'boolean', default: false, describe: 'Print the problems as JSON' }),
  handler: args => {
    const files = args.files as string[]
    const results = files.map(file => ({ file, loaded: loadSettings(hostSettingsSchema, file) }))
    const failed = results.filter(({ loaded }) => loaded.isErr)
    if (args.json === true) {
      const report = results.map(({ file, loaded }) => ({
        file,
        problems: loaded.isErr ? loaded.error.detail?.problems ?? loaded.error.message : []
      }))
      process.stdout.write(`${JSON.stringify(report, null, 2)}\n`)
    } else {
      for (const { file, loaded } of results) {
        process.stdout.write(loaded.isErr ? `${loaded.error.message}\n` : `${file}: valid\n`)
      }
    }
    if (failed.length > 0) process.exitCode = errorAnswers.bad_request.exitStatus
  }
}
