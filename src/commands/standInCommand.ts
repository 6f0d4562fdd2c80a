/**
 * `dogwooddale stand-in KIND --settings FILE`: runs one stand-in as a process of its own. It prints a readiness
 * line on standard output. The first SIGTERM drains it (exit status 0), the second ends it (exit status 1).
 */
import { Result } from 'true-myth'
import type { CommandModule } from 'yargs'
import { errorAnswers, type Failure } from '../common/index.js'
import { loadSettings } from '../settings/index.js'
import {
  EngineStandIn, engineStandInSettingsSchema, HostListStandIn, hostListStandInSettingsSchema, LogStandIn,
  logStandInSettingsSchema, ServiceStandIn, serviceStandInSettingsSchema, type StandIn, type StandInOptions,
  WeightStoreStandIn, weightStoreStandInSettingsSchema
} from '../standins/index.js'
import type { z } from 'zod'

/** Loads the settings of one kind of stand-in and starts it. */
type Starter = (file: string, options: StandInOptions) => Promise<Result<StandIn, Failure>>

function starter<Schema extends z.ZodType> (
  schema: Schema,
  start: (settings: z.infer<Schema>, options: StandInOptions) => Promise<StandIn>
): Starter {
  return async (file, options) => {
    const settings = loadSettings(schema, file)
    return settings.isErr ? Result.err(settings.error) : Result.ok(await start(settings.value, options))
  }
}

const starters: Record<string, Starter> = {
  engine: starter(engineStandInSettingsSchema, (settings, options) => EngineStandIn.start(settings, options)),
  service: starter(serviceStandInSettingsSchema, (settings, options) => ServiceStandIn.start(settings, options)),
  log: starter(logStandInSettingsSchema, (settings, options) => LogStandIn.start(settings, options)),
  'host-list': starter(hostListStandInSettingsSchema, (settings, options) => HostListStandIn.start(settings, options)),
  'weight-store': starter(weightStoreStandInSettingsSchema, (settings, options) => WeightStoreStandIn.start(settings, options))
}

function endOnSignals (standIn: StandIn): void {
  let isDraining = false
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      if (isDraining) process.exit(1)
      isDraining = true
      standIn.drain().finally(() => process.exit(0))
    })
  }
}

/** The `stand-in` command. */
export const standInCommand: CommandModule = {
  command: 'stand-in <kind>',
  describe: 'Run a stand-in of an outside system, for tests, benchmarks and the demo',
  builder: parser => parser
    .positional('kind', { choices: Object.keys(starters), demandOption: true, describe: 'What to stand in for' })
    .option('settings', { type: 'string', demandOption: true, describe: 'TOML settings file' }),
  handler: async args => {
    const kind = args.kind as string
    const standIn = await starters[kind]?.(args.settings as string, { onCrash: () => process.exit(1) })
    if (standIn === undefined) return
    if (standIn.isErr) {
      process.stderr.write(`${standIn.error.message}\n`)
      process.exitCode = errorAnswers[standIn.error.kind].exitStatus
      return
    }
    endOnSignals(standIn.value)
    const readiness = { ready: true, process: kind, addresses: { http: standIn.value.listenAddress } }
    process.stdout.write(`${JSON.stringify(readiness)}\n`)
  }
}
