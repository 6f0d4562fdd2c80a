/**
 * Detects changes of the settings file: by polling, or at once when the caller asks for a check, as on SIGHUP.
 */
import { statSync } from 'node:fs'
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import { loadSettings } from '../settings/index.js'
import { type PlatformSettings, platformSettingsSchema } from './PlatformSettings.js'

/** Polling interval of the file, in milliseconds; the platform does not notify processes of changes. */
const pollMilliseconds = 2000

/** Reads and validates the settings file. */
export function readSettings (path: string): Result<PlatformSettings, Failure> {
  return loadSettings(platformSettingsSchema, path)
}

/**
 * Calls `onChange` after each change of the file, with the new settings or with the reason why they are invalid. Returns
 * a function that checks the file at once.
 */
export function watchSettings (path: string, onChange: (settings: Result<PlatformSettings, Failure>) => void): () => void {
  let lastStamp = fileStamp(path)
  const check = (): void => {
    const stamp = fileStamp(path)
    if (stamp === lastStamp) return
    lastStamp = stamp
    onChange(readSettings(path))
  }
  setInterval(check, pollMilliseconds).unref()
  return check
}

/** Modification time, size and inode of the file; empty while the file is missing, as during its replacement. */
function fileStamp (path: string): string {
  const stats = statSync(path, { throwIfNoEntry: false })
  return stats === undefined ? '' : `${stats.mtimeMs}/${stats.size}/${stats.ino}`
}
