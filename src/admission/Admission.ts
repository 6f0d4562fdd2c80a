/**
 * The input and the result of admission control.
 */
import type { Team } from '../common/index.js'

/** Priority of a request among those of its team; interactive requests start first. */
export type AdmissionPriority = 'interactive' | 'batch'

/** A request to be admitted. */
export interface AdmissionRequest {
  team: Team
  priority: AdmissionPriority
  /** Monotonic time in milliseconds. A request that is still queued at that time fails as `overloaded`. */
  deadline: number
  /** Aborts when the caller disconnects. */
  signal: AbortSignal
}

/** Permission to run. The request occupies capacity until `release` is called; further calls have no effect. */
export interface Admission { release: () => void }
