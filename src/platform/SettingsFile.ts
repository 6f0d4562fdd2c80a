/**
 * The settings file of a host. Detects its changes by polling, or at once when the caller asks for a check, as on SIGHUP.
 */
import { statSync } from 'node:fs'
import type { Result } from 'true-myth'
import type { Failure } from '../common/index.js'
import { loadSettings } from '../settings/index.js'
import { type PlatformSettings, platformSettingsSchema } from './PlatformSettings.js'

/** Polling interval of the file, in milliseconds; the platform does not notify processes of changes. */
const pollMilliseconds = 2000

/** Reads and validates the settings file, and follows its changes. */
export class SettingsFile {
  /** State of the file before it was read last. */
  private stamp: string | undefined

  constructor (private readonly path: string) {}

  /** Reads the settings. A change from now on counts as a later one, also during the read. */
  read (): Result<PlatformSettings, Failure> {
    this.stamp = fileStamp(this.path)
    return loadSettings(platformSettingsSchema, this.path)
  }

  /**
   * Calls `onChange` after each change of the file since it was read, with the new settings or with the reason why they are
   * invalid. Returns a function that checks the file at once.
   */
  watch (onChange: (settings: Result<PlatformSettings, Failure>) => void): () => void {
    const check = (): void => { if (fileStamp(this.path) !== this.stamp) onChange(this.read()) }
    setInterval(check, pollMilliseconds).unref()
    return check
  }
}

/** Modification time, size and inode of the file; empty while the file is missing, as during its replacement. */
function fileStamp (path: string): string {
  const stats = statSync(path, { throwIfNoEntry: false })
  return stats === undefined ? '' : `${stats.mtimeMs}/${stats.size}/${stats.ino}`
}
