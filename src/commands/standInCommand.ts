/**
 * `dogwooddale stand-in KIND --settings FILE`: runs one stand-in as a separate process. It prints a readiness line on
 * standard output. The first SIGTERM or SIGINT drains the stand-in and ends the process with exit status 0; a second
 * one ends it at once with exit status 1.
 */
import { Result } from 'true-myth'
import type { CommandModule } from 'yargs'
import { errorResponses, type Failure } from '../common/index.js'
import { loadSettings } from '../settings/index.js'
import {
  EngineStandIn, engineStandInSettingsSchema, HostListStandIn, hostListStandInSettingsSchema, LogStandIn,
  logStandInSettingsSchema, ServiceStandIn, serviceStandInSettingsSchema, type StandIn, type StandInOptions,
  WeightStoreStandIn, weightStoreStandInSettingsSchema
} from '../standins/index.js'
import type { z } from 'zod'

/** Loads the settings of one kind of stand-in and starts it. */
type StandInStarter = (file: string, options: StandInOptions) => Promise<Result<StandIn, Failure>>

function starterFor<Schema extends z.ZodType> (
  schema: Schema,
  start: (settings: z.infer<Schema>, options: StandInOptions) => Promise<StandIn>
): StandInStarter {
  return async (file, options) => {
    const settings = loadSettings(schema, file)
    return settings.isErr ? Result.err(settings.error) : Result.ok(await start(settings.value, options))
  }
}

const startersByKind: Record<string, StandInStarter> = {
  engine: starterFor(engineStandInSettingsSchema, (settings, options) => EngineStandIn.start(settings, options)),
  service: starterFor(serviceStandInSettingsSchema, (settings, options) => ServiceStandIn.start(settings, options)),
  log: starterFor(logStandInSettingsSchema, (settings, options) => LogStandIn.start(settings, options)),
  'host-list': starterFor(hostListStandInSettingsSchema, (settings, options) => HostListStandIn.start(settings, options)),
  'weight-store': starterFor(weightStoreStandInSettingsSchema, (settings, options) => WeightStoreStandIn.start(settings, options))
}

function drainOnSignals (standIn: StandIn): void {
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
  describe: 'Run a stand-in for an external system, for tests, benchmarks and the demo',
  builder: parser => parser
    .positional('kind', { choices: Object.keys(startersByKind), demandOption: true, describe: 'Kind of system that the stand-in replaces' })
    .option('settings', { type: 'string', demandOption: true, describe: 'TOML settings file' }),
  handler: async args => {
    const kind = args.kind as string
    const standIn = await startersByKind[kind]?.(args.settings as string, { onCrash: () => process.exit(1) })
    if (standIn === undefined) return
    if (standIn.isErr) {
      process.stderr.write(`${standIn.error.message}\n`)
      process.exitCode = errorResponses[standIn.error.kind].exitStatus
      return
    }
    drainOnSignals(standIn.value)
    const readiness = { ready: true, process: kind, addresses: { http: standIn.value.listenAddress } }
    process.stdout.write(`${JSON.stringify(readiness)}\n`)
  }
}
