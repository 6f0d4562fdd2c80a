/**
 * Prepares an exported configuration for a snapshot that an operator writes by hand.
 */
import type { Result } from 'true-myth'
import { type Failure, type Offset, toOffset } from '../common/index.js'
import { ConfigurationProjection } from './ConfigurationProjection.js'
import type { ConfigurationState } from './ConfigurationState.js'

/**
 * Lowers versions to the given offset. They exceed it when the platform's log began anew; history of the former
 * log is left out then, since its versions would mean other records.
 */
function stateAt (state: ConfigurationState, through: Offset): ConfigurationState {
  const lowered = <Entry extends { version: Offset }> (entries: Entry[]): Entry[] =>
    entries.map(entry => ({ ...entry, version: toOffset(Math.min(entry.version, through)) }))
  const history = state.history.filter(entry => entry.version <= through)
  return { ...state, documents: lowered(state.documents), deleted: lowered(state.deleted), history }
}

/**
 * Checks a state as a whole and returns the function that fits it to the offset of the snapshot.
 * Errors: `bad_request` with all problems.
 */
export function restorableState (state: ConfigurationState): Result<(through: Offset) => ConfigurationState, Failure> {
  return new ConfigurationProjection()
    .restore(state, toOffset(Number.MAX_SAFE_INTEGER))
    .map(() => (through: Offset) => stateAt(state, through))
}
