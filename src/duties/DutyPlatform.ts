/**
 * The platform that receives what the holder of the duties decides for all hosts: reports of use, and orders of workers.
 * Each call carries the holder's fencing number. The platform may execute a call late, or one whose response was lost, so
 * that no call is repeated here: the caller decides.
 */
import type { Result } from 'true-myth'
import type { AccountName, Failure, FencingNumber, Pool, Zone } from '../common/index.js'

/** Use of all accounts in one window. */
export interface UsageReport {
  /** Number of the window. */
  window: number
  /** Number of requests that began to run in the window, by account. */
  counts: Readonly<Record<AccountName, number>>
}

/** How workers are paid for: `spot` workers are cheaper and may be reclaimed. */
export type WorkerKind = 'standard' | 'spot'

/** Number of workers of one kind that a pool should have in a zone. */
export interface WorkerCountOrder {
  pool: Pool
  zone: Zone
  desired: number
  kind: WorkerKind
}

/** Detail of a `conflict` that says why the platform refused an order, if its response tells. */
export interface OrderConflictDetail extends Record<string, unknown> {
  /** True if no worker of the kind is available in the zone at the moment. */
  isUnavailable: true
}

/** Calls the platform. Each call is made once, with a time limit. */
export abstract class DutyPlatform {
  /**
   * Reports the use in a window. An exact repeat has no effect. Errors: `lost_authority` (the platform has seen a greater
   * fencing number), `overloaded` (too many calls), `platform_unavailable` (not executed), `outcome_unknown` (may be
   * executed, also seconds later), `bad_request`.
   */
  abstract reportUsage (report: UsageReport, fencingNumber: FencingNumber): Promise<Result<void, Failure>>
  /**
   * Orders the number of workers of one kind. Errors: those of `reportUsage`, and `conflict` if the platform refused and
   * did not state that the fencing number is outdated. With `OrderConflictDetail`, no such worker is available. Without
   * it the caller asks for its authority again: if that is confirmed, none was available.
   */
  abstract orderWorkers (order: WorkerCountOrder, fencingNumber: FencingNumber): Promise<Result<void, Failure>>
}
