/**
 * `dogwooddale stand-in KIND --settings FILE`: runs one stand-in as a process of its own. It prints a readiness
 * line on standard output. The first SIGTERM drains it (exit status 0), the second ends it (exit status 1).
 */
import { match } from 'ts-pattern'
import type { CommandModule } from 'yargs'
import { errorAnswers, type Failure } from '../common/index.js'
import { loadSettings } from '../settings/index.js'
import {
  HostListStandIn, hostListStandInSettingsSchema, LogStandIn, logStandInSettingsSchema, type StandIn, type StandInOptions
} from '../standins/index.js'
import type { Result } from 'true-myth'

const standInKinds = ['log', 'host-list'] as const
type StandInKind = typeof standInKinds[number]

async function startStandIn (kind: StandInKind, file: string, options: StandInOptions): Promise<Result<StandIn, Failure>> {
  return await match(kind)
    .with('log', () => started(loadSettings(logStandInSettingsSchema, file), settings => LogStandIn.start(settings, options)))
    .with('host-list', () => {
      return started(loadSettings(hostListStandInSettingsSchema, file), settings => HostListStandIn.start(settings, options))
    })
    .exhaustive()
}

async function started<Settings> (
  loaded: Result<Settings, Failure>,
  start: (settings: Settings) => Promise<StandIn>
): Promise<Result<StandIn, Failure>> {
  if (loaded.isErr) return loaded.map(() => { throw new Error('unreachable') })
  const standIn = await start(loaded.value)
  return loaded.map(() => standIn)
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
    .positional('kind', { choices: standInKinds, demandOption: true, describe: 'What to stand in for' })
    .option('settings', { type: 'string', demandOption: true, describe: 'TOML settings file' }),
  handler: async args => {
    const kind = args.kind as StandInKind
    const standIn = await startStandIn(kind, args.settings as string, { onCrash: () => process.exit(1) })
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
