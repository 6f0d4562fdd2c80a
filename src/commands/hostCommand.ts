/**
 * `dogwooddale host --settings FILE`: runs an entry host. Prints the readiness line on standard output when
 * the host serves. SIGTERM and SIGINT start a graceful shutdown; further ones change nothing, so that a
 * repeated stop cuts no request either.
 */
import type { CommandModule } from 'yargs'
import { errorAnswers, type Failure } from '../common/index.js'
import { EntryHost } from '../host/index.js'
import { hostSettingsSchema, loadSettings } from '../settings/index.js'

/** Exit status of a shutdown that ran into its time limit with requests or use left. */
const incompleteDrainExitStatus = 9

function fail (failed: Failure): void {
  process.stderr.write(`${failed.message}\n`)
  process.exitCode = errorAnswers[failed.kind].exitStatus
}

function drainOnSignals (host: EntryHost): void {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      host.drain().then(complete => process.exit(complete ? 0 : incompleteDrainExitStatus), error => {
        process.stderr.write(`${String(error)}\n`)
        process.exit(1)
      })
    })
  }
}

/** The `host` command. */
export const hostCommand: CommandModule = {
  command: 'host',
  describe: 'Run an entry host',
  builder: parser => parser
    .option('settings', { type: 'string', demandOption: true, describe: 'TOML settings file' }),
  handler: async args => {
    const settings = loadSettings(hostSettingsSchema, args.settings as string)
    if (settings.isErr) return fail(settings.error)
    const host = EntryHost.create(settings.value)
    drainOnSignals(host)
    const started = await host.start()
    // A host that was told to stop while it started ends by its signal handler.
    if (started.isErr && started.error.kind === 'draining') return
    if (started.isErr) return fail(started.error)
    process.stdout.write(`${JSON.stringify({ ready: true, process: settings.value.host.id, addresses: host.addresses })}\n`)
  }
}
