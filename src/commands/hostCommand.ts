/**
 * `dogwooddale host --settings FILE`: runs an entry host. It prints a readiness line on standard output when the
 * host is ready. SIGTERM, SIGINT and SIGHUP start a graceful shutdown, since the settings are read at the start only;
 * further signals have no effect, so that a repeated signal does not interrupt requests.
 */
import type { CommandModule } from 'yargs'
import { errorResponses, type Failure } from '../common/index.js'
import { EntryHost } from '../host/index.js'
import { hostSettingsSchema, loadSettings } from '../settings/index.js'

/** Exit status of a shutdown that reached its time limit before all requests had ended and all use was stored. */
const incompleteDrainExitStatus = 9

function reportFailure (failed: Failure): void {
  process.stderr.write(`${failed.message}\n`)
  process.exitCode = errorResponses[failed.kind].exitStatus
}

function drainOnSignals (host: EntryHost): void {
  for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP'] as const) {
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
    if (settings.isErr) return reportFailure(settings.error)
    const host = EntryHost.create(settings.value)
    drainOnSignals(host)
    const started = await host.start()
    // If a signal arrived during the start, the signal handler drains the host and ends the process.
    if (started.isErr && started.error.kind === 'draining') return
    if (started.isErr) return reportFailure(started.error)
    process.stdout.write(`${JSON.stringify({ ready: true, process: settings.value.host.id, addresses: host.addresses })}\n`)
  }
}
