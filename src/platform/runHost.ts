/**
 * Reads the settings file, runs a host until it is stopped, and reloads the settings when the file changes.
 */
import { errorResponses } from '../common/index.js'
import type { HostSignals } from './HostSignals.js'
import { PlatformHost } from './PlatformHost.js'
import { SettingsFile } from './SettingsFile.js'

/** Path of the settings file: the value of the variable that the platform sets, or the default. */
const settingsPath = process.env.DOGWOODDALE_NODE_FILE ?? '/etc/dogwooddale/settings.conf'

/** Exit status if requests were still open at the time limit of a stop. */
const incompleteStopExitStatus = 9

/** Runs the host of this process. Resolves when it listens, or when its settings are invalid and the process is to end. */
export async function runHost (signals: HostSignals): Promise<void> {
  const file = new SettingsFile(settingsPath)
  const settings = file.read()
  if (settings.isErr) {
    process.stderr.write(`${settings.error.message}\n`)
    process.exitCode = errorResponses[settings.error.kind].exitStatus
    return
  }
  const host = await PlatformHost.create(settings.value)
  host.handleUnexpectedErrors(process)
  const reload = file.watch(reloaded => {
    if (reloaded.isOk) host.reload(reloaded.value)
    else host.logInvalidSettings(reloaded.error.message)
  })
  const stop = (): void => {
    host.stop().then(complete => process.exit(complete ? 0 : incompleteStopExitStatus), error => {
      process.stderr.write(`${String(error)}\n`)
      process.exit(errorResponses.internal.exitStatus)
    })
  }
  signals.handOver({ reload, stop })
  await host.start()
}
