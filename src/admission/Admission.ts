/**
 * What a request asks of admission, and what it gets.
 */
import type { Team } from '../common/index.js'

/** Urgency of a request. Within a team interactive requests go first. */
export type AdmissionPriority = 'interactive' | 'batch'

/** A request that asks to run. */
export interface AdmissionRequest {
  team: Team
  priority: AdmissionPriority
  /** Monotonic time in milliseconds. */
  deadline: number
  /** Aborts when the caller leaves. */
  signal: AbortSignal
}

/** The right to run until `release` is called. */
export interface Admission { release: () => void }
