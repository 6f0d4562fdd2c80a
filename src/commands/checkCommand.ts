/**
 * `dogwooddale check FILE...`: validates settings files without starting anything.
 */
import type { CommandModule } from 'yargs'
import type { z } from 'zod'
import { errorResponses } from '../common/index.js'
import { platformSettingsSchema } from '../platform/index.js'
import { hostSettingsSchema, loadSettings } from '../settings/index.js'
import {
  engineStandInSettingsSchema, hostListStandInSettingsSchema, logStandInSettingsSchema, serviceStandInSettingsSchema,
  weightStoreStandInSettingsSchema
} from '../standins/index.js'

/** Schema of the settings file of each kind of process. */
const schemasByKind = {
  host: hostSettingsSchema,
  'platform-host': platformSettingsSchema,
  engine: engineStandInSettingsSchema,
  service: serviceStandInSettingsSchema,
  log: logStandInSettingsSchema,
  'host-list': hostListStandInSettingsSchema,
  'weight-store': weightStoreStandInSettingsSchema
} satisfies Record<string, z.ZodType>

/** The `check` command. */
export const checkCommand: CommandModule = {
  command: 'check <files..>',
  describe: 'Validate settings files without starting a process',
  builder: parser => parser
    .positional('files', { type: 'string', array: true, describe: 'TOML settings files' })
    .option('kind', {
      choices: Object.keys(schemasByKind) as Array<keyof typeof schemasByKind>,
      default: 'host' as const,
      describe: 'Kind of process that the files configure'
    })
    .option('json', { type: 'boolean', default: false, describe: 'Print the problems as JSON' }),
  handler: args => {
    const files = args.files as string[]
    const schema: z.ZodType = schemasByKind[args.kind as keyof typeof schemasByKind]
    const results = files.map(file => ({ file, loaded: loadSettings(schema, file) }))
    const invalidResults = results.filter(({ loaded }) => loaded.isErr)
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
    if (invalidResults.length > 0) process.exitCode = errorResponses.bad_request.exitStatus
  }
}
