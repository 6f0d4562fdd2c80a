/**
 * What the administration API needs from the other parts of a host.
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
  log: EventLog
  metrics: Metrics
  timeline: Timeline
  health: () => HealthReport
  fleetReport: () => FleetReport
  /** Use by all owners, or by one, read from the log. Errors: `platform_unavailable`. */
  usageStatement: (owner?: Owner) => Promise<Result<UsageStatement, Failure>>
  /** Starts the graceful shutdown of this host and returns at once. */
  drainHost: (by: AuthenticatedTeam) => void
  /** Takes an upstream out of service gracefully. Errors: `not_found`, and those of a configuration change. */
  drainWorker: (worker: WorkerId, by: AuthenticatedTeam) => Promise<Result<void, Failure>>
  /**
   * Records that the old holder of the lease can no longer send the order. Errors: `not_found`,
   * `platform_unavailable`, `outcome_unknown`, `not_ready`, `newer_version`.
   */
  confirmOrder: (orderId: string, by: AuthenticatedTeam) => Promise<Result<void, Failure>>
  /**
   * Appends a snapshot of the stream `configuration` by hand, with `through = nextOffset - 1`. `stateAt` gives
   * the state for that `through`. Returns the snapshot's offset.
   * Errors: `platform_unavailable`, `outcome_unknown`.
   */
  writeConfigurationSnapshot: (stateAt: (through: Offset) => ConfigurationState) => Promise<Result<Offset, Failure>>
  /** Ends all watches when it aborts, so that the host can close its listener. */
  closing?: AbortSignal
  /** Largest body of a request, but for `/restore`. Default: 4 MiB. */
  maxBodyBytes?: number
  /** Most watches at a time. Default: 64. */
  maxWatches?: number
  /** Most changed paths that wait for the reader of one watch. Default: 20,000, enough for a whole configuration. */
  maxWaitingPaths?: number
}
