/**
 * Entry of the program on the users' platform: reads the settings file that the platform names, runs a host, and
 * stops it on SIGTERM. SIGHUP and changes of the file without a signal put new settings in force.
 */
import { loadSettings } from '../settings/index.js'
import { PlatformHost } from './PlatformHost.js'
import { platformSettingsSchema } from './PlatformSettings.js'

/** The platform's variable with the path of the settings file, and the path without it. */
const settingsPath = process.env.DOGWOODDALE_NODE_FILE ?? '/etc/dogwooddale/settings.conf'

/** Exit status of a stop that ran into its time limit with requests left. */
const incompleteStopExitStatus = 9

async function run (): Promise<void> {
  const settings = loadSettings(platformSettingsSchema, settingsPath)
  if (settings.isErr) {
    process.stderr.write(`${settings.error.message}\n`)
    process.exitCode = 2
    return
  }
  const host = await PlatformHost.create(settings.value)
  const stop = (): void => {
    host.stop().then(complete => process.exit(complete ? 0 : incompleteStopExitStatus), error => {
      process.stderr.write(`${String(error)}\n`)
      process.exit(1)
    })
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('SIGHUP', () => host.reload())
  await host.start()
}

run().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exit(1)
})
