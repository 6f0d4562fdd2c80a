/**
 * The waiting and running requests of one team on this host.
 */
import type { Result } from 'true-myth'
import type { Failure, Team } from '../common/index.js'
import type { Admission, AdmissionPriority } from './Admission.js'
import type { TokenBucket } from './TokenBucket.js'

/** A request that waits. */
export interface Waiter {
  priority: AdmissionPriority
  admit: (result: Result<Admission, Failure>) => void
}

/** One team's requests. */
export class TeamQueue {
  running = 0
  /** Share of the host while other teams want it, relative to their weights. */
  weight = 1
  maxConcurrent = Infinity
  bucket: TokenBucket | undefined
  private readonly waiting: Record<AdmissionPriority, Set<Waiter>> = { interactive: new Set(), batch: new Set() }

  constructor (readonly team: Team) {}

  /** Requests that wait. */
  get length (): number {
    return this.waiting.interactive.size + this.waiting.batch.size
  }

  /** True if a request waits that the team's own limit does not hold back. */
  get ready (): boolean {
    return this.length > 0 && this.running < this.maxConcurrent
  }

  /** Occupied part of the host relative to the team's weight; the team with the least is served next. */
  get occupancy (): number {
    return this.running / this.weight
  }

  /** Requests that are served before a new one of the given priority. */
  ahead (priority: AdmissionPriority): number {
    return priority === 'batch' ? this.length : this.waiting.interactive.size
  }

  add (waiter: Waiter): void {
    this.waiting[waiter.priority].add(waiter)
  }

  /** Removes a waiter; false if it was not waiting any more. */
  remove (waiter: Waiter): boolean {
    return this.waiting[waiter.priority].delete(waiter)
  }

  /** Takes the next waiter: interactive requests first, each priority in order of arrival. */
  take (): Waiter | undefined {
    for (const queue of [this.waiting.interactive, this.waiting.batch]) {
      const oldest = queue.values().next()
      if (oldest.done === true) continue
      queue.delete(oldest.value)
      return oldest.value
    }
    return undefined
  }
}
