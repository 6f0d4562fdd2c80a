/**
 * Notices that the settings file has changed, by SIGHUP or without a signal.
 */
import { statSync } from 'node:fs'
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import { loadSettings } from '../settings/index.js'
import { type PlatformSettings, platformSettingsSchema } from './PlatformSettings.js'

/** Time between two looks at the file, in milliseconds; the platform has no notice of changes for processes. */
const checkMilliseconds = 2000

/** Reads the settings. */
export function readSettings (path: string): Result<PlatformSettings, Failure> {
  return loadSettings(platformSettingsSchema, path)
}

/** Calls the listener with the settings after each change of the file. Returns a function that looks at it now. */
export function watchSettings (path: string, onChange: (settings: Result<PlatformSettings, Failure>) => void): () => void {
  let seen = stampOf(path)
  const look = (): void => {
    const stamp = stampOf(path)
    if (stamp === seen) return
    seen = stamp
    onChange(readSettings(path))
  }
  setInterval(look, checkMilliseconds).unref()
  return look
}

/** Size and time of the last change; empty while the file is being replaced. */
function stampOf (path: string): string {
  const stats = statSync(path, { throwIfNoEntry: false })
  return stats === undefined ? '' : `${stats.mtimeMs}/${stats.size}/${stats.ino}`
}
