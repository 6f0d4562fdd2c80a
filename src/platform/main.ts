/**
 * Entry of the program on the users' platform: reads the settings file that the platform names, runs a host, and
 * stops it on SIGTERM.
 */
import { errorAnswers } from '../common/index.js'
import { PlatformHost } from './PlatformHost.js'
import { readSettings, watchSettings } from './watchSettings.js'

/** The platform's variable with the path of the settings file, and the path without it. */
const settingsPath = process.env.DOGWOODDALE_NODE_FILE ?? '/etc/dogwooddale/settings.conf'

/** Exit status of a stop that ran into its time limit with requests left. */
const incompleteStopExitStatus = 9

async function run (): Promise<void> {
  const settings = readSettings(settingsPath)
  if (settings.isErr) {
    process.stderr.write(`${settings.error.message}\n`)
    process.exitCode = errorAnswers[settings.error.kind].exitStatus
    return
  }
  const host = await PlatformHost.create(settings.value)
  const stop = (): void => {
    host.stop().then(complete => process.exit(complete ? 0 : incompleteStopExitStatus), error => {
      process.stderr.write(`${String(error)}\n`)
      process.exit(errorAnswers.internal.exitStatus)
    })
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  const look = watchSettings(settingsPath, changed => {
    if (changed.isOk) host.reload(changed.value)
    else host.refuseSettings(changed.error.message)
  })
  process.on('SIGHUP', look)
  await host.start()
}

run().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exit(errorAnswers.internal.exitStatus)
})
