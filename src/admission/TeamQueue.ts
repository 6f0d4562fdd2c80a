/**
 * The queued and running requests of one team on this host.
 */
import type { Result } from 'true-myth'
import type { Failure, Team } from '../common/index.js'
import type { Admission, AdmissionPriority } from './Admission.js'
import type { TokenBucket } from './TokenBucket.js'

/** A queued request and the callback that ends its wait. */
export interface Waiter {
  priority: AdmissionPriority
  admit: (result: Result<Admission, Failure>) => void
}

/** Holds the queue, the limits and the number of running requests of one team. */
export class TeamQueue {
  running = 0
  /** Share of the host's capacity relative to the weights of the other teams that compete for it. */
  weight = 1
  maxConcurrent = Infinity
  bucket: TokenBucket | undefined
  private readonly waitersByPriority: Record<AdmissionPriority, Set<Waiter>> = { interactive: new Set(), batch: new Set() }

  constructor (readonly team: Team) {}

  /** Number of queued requests. */
  get length (): number {
    return this.waitersByPriority.interactive.size + this.waitersByPriority.batch.size
  }

  /** True if a request is queued and the team is below its own concurrency limit. */
  get canStart (): boolean {
    return this.length > 0 && this.running < this.maxConcurrent
  }

  /** Running requests relative to the team's weight. The team with the lowest value is served next. */
  get runningPerWeight (): number {
    return this.running / this.weight
  }

  /** Number of queued requests that start before a new one of the given priority. */
  countAhead (priority: AdmissionPriority): number {
    return priority === 'batch' ? this.length : this.waitersByPriority.interactive.size
  }

  add (waiter: Waiter): void {
    this.waitersByPriority[waiter.priority].add(waiter)
  }

  /** Removes a waiter; returns false if it was no longer queued. */
  remove (waiter: Waiter): boolean {
    return this.waitersByPriority[waiter.priority].delete(waiter)
  }

  /** Removes and returns the next waiter: interactive requests first, in order of arrival within a priority. */
  takeNext (): Waiter | undefined {
    for (const waiters of [this.waitersByPriority.interactive, this.waitersByPriority.batch]) {
      const oldest = waiters.values().next()
      if (oldest.done === true) continue
      waiters.delete(oldest.value)
      return oldest.value
    }
    return undefined
  }
}
