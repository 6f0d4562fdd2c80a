/**
 * The rate that one worker states in its responses, as one host knows it. A worker states it for as long as it holds,
 * so a response without it ends it, unless that response answers a request from before the last statement.
 */

import type { WorkerId } from '../common/index.js'

/** What a host knows of a worker's limit. `perSecond` is undefined if the worker has stated that it has none any more. */
export interface LimitEvidence {
  perSecond: number | undefined
  /** Monotonic time in milliseconds of the response from which this is known. */
  at: number
}

/** What a host knows of the limit of a worker. */
export interface WorkerLimit { worker: WorkerId, evidence: LimitEvidence }

/** Follows the statements of one process of a worker. */
export class StatedLimit {
  private evidence: LimitEvidence | undefined
  /** Monotonic time in milliseconds since which the worker states a limit; undefined if it states none. */
  since: number | undefined

  /** Requests a second that the worker takes from all hosts together; undefined if it states no limit. */
  get perSecond (): number | undefined {
    return this.evidence?.perSecond
  }

  /** The newest evidence; undefined if no limit is known. */
  get newest (): LimitEvidence | undefined {
    return this.evidence
  }

  /** Takes over what another host knows, if it is newer. */
  learn (evidence: LimitEvidence): void {
    if (evidence.at <= (this.evidence?.at ?? -Infinity)) return
    this.evidence = evidence
    this.since = evidence.perSecond === undefined ? undefined : this.since ?? evidence.at
  }

  /**
   * Records a response to a request that was sent at `sentAt`; `perSecond` is undefined if the response states no limit.
   * Times are monotonic, in milliseconds.
   */
  recordResponse (perSecond: number | undefined, sentAt: number, now: number): void {
    if (perSecond !== undefined) {
      this.evidence = { perSecond, at: now }
      this.since ??= now
      return
    }
    if (this.evidence?.perSecond === undefined || sentAt < this.evidence.at) return
    this.since = undefined
    this.evidence = { perSecond: undefined, at: now }
  }
}
