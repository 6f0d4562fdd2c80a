/**
 * Validates an exported configuration and adapts it to a new snapshot when an operator requests a restore.
 */
import type { Result } from 'true-myth'
import { type Failure, type Offset, toOffset } from '../common/index.js'
import { ConfigurationProjection } from './ConfigurationProjection.js'
import type { ConfigurationState } from './ConfigurationState.js'

/**
 * Caps all versions at the given offset. Versions exceed it if the platform's log was recreated after the export. History
 * entries with such versions are dropped, because these offsets refer to other records in the new log.
 */
function capVersions (state: ConfigurationState, through: Offset): ConfigurationState {
  const capped = <Entry extends { version: Offset }> (entries: Entry[]): Entry[] =>
    entries.map(entry => ({ ...entry, version: toOffset(Math.min(entry.version, through)) }))
  const history = state.history.filter(entry => entry.version <= through)
  return { ...state, documents: capped(state.documents), deleted: capped(state.deleted), history }
}

/**
 * Validates a state as a whole. Returns a function that adapts the state to the through offset of the new snapshot.
 * Errors: `bad_request` (detail: `problems`, all of them; without detail if the state does not match the schema).
 */
export function prepareRestore (state: ConfigurationState): Result<(through: Offset) => ConfigurationState, Failure> {
  return new ConfigurationProjection()
    .restore(state, toOffset(Number.MAX_SAFE_INTEGER))
    .map(() => (through: Offset) => capVersions(state, through))
}
