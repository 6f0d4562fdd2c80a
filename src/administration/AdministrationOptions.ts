/**
 * Dependencies of the administration API.
 */
import type { Result } from 'true-myth'
import type { Clock, Failure, Offset, Owner, WorkerId } from '../common/index.js'
import type { AuthenticatedTeam, ConfigurationManager, ConfigurationState, TeamAuthenticator } from '../configuration/index.js'
import type { EventLog, Metrics, Timeline } from '../observability/index.js'
import type { FleetReport, HealthReport, UsageStatement } from './reports.js'

/** Options of `administrationApplication`. */
export interface AdministrationOptions {
  configuration: ConfigurationManager
  authenticator: TeamAuthenticator
  clock: Clock
  events: EventLog
  metrics: Metrics
  timeline: Timeline
  health: () => HealthReport
  fleetReport: () => FleetReport
  /** Returns the usage of all owners, or of one, as recorded in the log. Errors: `platform_unavailable`. */
  usageStatement: (owner?: Owner) => Promise<Result<UsageStatement, Failure>>
  /** Starts the graceful shutdown of this host and returns at once. */
  drainHost: (operator: AuthenticatedTeam) => void
  /** Takes an upstream out of service by draining it. Errors: `not_found`, and those of a configuration change. */
  drainWorker: (worker: WorkerId, operator: AuthenticatedTeam) => Promise<Result<void, Failure>>
  /**
   * Records the operator's confirmation that the former lease holder can no longer send the order. Errors: `not_found`,
   * `platform_unavailable`, `outcome_unknown`, `not_ready`, `newer_version`.
   */
  confirmOrder: (orderId: string, operator: AuthenticatedTeam) => Promise<Result<void, Failure>>
  /**
   * Appends a snapshot to the stream `configuration` on an operator's request. The through offset of the
   * snapshot is the stream's `nextOffset - 1`; `stateAt` returns the state for it. Returns the offset of the snapshot.
   * Errors: `platform_unavailable`, `outcome_unknown`.
   */
  writeConfigurationSnapshot: (stateAt: (through: Offset) => ConfigurationState) => Promise<Result<Offset, Failure>>
  /** Aborts when the host shuts down. All watches end then, so that the listener can close. */
  closing?: AbortSignal
  /** Limit on the body size of requests other than `/restore`, in bytes. Default: 4 MiB. */
  maxBodyBytes?: number
  /** Limit on the number of open watches. Default: 64. */
  maxWatches?: number
  /** Limit on the changed paths that one watch holds for its reader. Default: 20,000, enough for a whole configuration. */
  maxPendingPaths?: number
}
