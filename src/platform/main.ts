/**
 * Entry point on the users' platform: reads the settings file, runs a host until SIGTERM or SIGINT, and reloads the
 * settings on SIGHUP and when the file changes.
 */
import { errorResponses } from '../common/index.js'
import { PlatformHost } from './PlatformHost.js'
import { readSettings, watchSettings } from './watchSettings.js'

/** Path of the settings file: the value of the variable that the platform sets, or the default. */
const settingsPath = process.env.DOGWOODDALE_NODE_FILE ?? '/etc/dogwooddale/settings.conf'

/** Exit status if requests were still open at the time limit of a stop. */
const incompleteStopExitStatus = 9

async function run (): Promise<void> {
  const settings = readSettings(settingsPath)
  if (settings.isErr) {
    process.stderr.write(`${settings.error.message}\n`)
    process.exitCode = errorResponses[settings.error.kind].exitStatus
    return
  }
  const host = await PlatformHost.create(settings.value)
  host.handleUnexpectedErrors(process)
  const stop = (): void => {
    host.stop().then(complete => process.exit(complete ? 0 : incompleteStopExitStatus), error => {
      process.stderr.write(`${String(error)}\n`)
      process.exit(errorResponses.internal.exitStatus)
    })
  }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  const checkNow = watchSettings(settingsPath, reloaded => {
    if (reloaded.isOk) host.reload(reloaded.value)
    else host.logInvalidSettings(reloaded.error.message)
  })
  process.on('SIGHUP', checkNow)
  await host.start()
}

run().catch(error => {
  process.stderr.write(`${String(error instanceof Error ? error.stack : error)}\n`)
  process.exit(errorResponses.internal.exitStatus)
})
