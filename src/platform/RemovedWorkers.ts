/**
 * The workers that this host has removed a short time ago. A store that comes back from an older copy lists workers again
 * that have left since then.
 */
import type { Clock, WorkerId } from '../common/index.js'
import { isOlder, type WorkerEntry } from './WorkerEntry.js'

/** Time for which a removed worker is remembered, in milliseconds. */
const rememberedMilliseconds = 600_000

/** Maximum number of remembered workers; those that were removed first are forgotten first. */
const maxRemovedWorkers = 4096

interface RemovedWorker {
  /** The last known entry. */
  entry: WorkerEntry
  /** Era of the store in which the worker was removed. */
  era: number
  /** Monotonic time in milliseconds. */
  removedAt: number
}

/** Remembers the last entry of each removed worker. */
export class RemovedWorkers {
  /** The worker that was removed first is first. */
  private readonly workers = new Map<WorkerId, RemovedWorker>()

  constructor (private readonly clock: Clock) {}

  add (entry: WorkerEntry, era: number): void {
    this.workers.delete(entry.id)
    this.workers.set(entry.id, { entry, era, removedAt: this.clock.monotonic() })
    if (this.workers.size <= maxRemovedWorkers) return
    const first = this.workers.keys().next()
    if (first.done !== true) this.workers.delete(first.value)
  }

  forget (id: WorkerId): void {
    this.workers.delete(id)
  }

  /**
   * True if an entry that was read in an era is no newer than the removal of its worker. Within one era, an entry after
   * the removal is newer, unless the worker had drained.
   */
  isOutdated (entry: WorkerEntry, era: number): boolean {
    const removed = this.find(entry.id)
    if (removed === undefined || isOlder(removed.entry, entry)) return false
    return removed.era < era || removed.entry.leaving
  }

  /** True if a worker was draining when it was removed. */
  hasDrained (id: WorkerId): boolean {
    return this.find(id)?.entry.leaving ?? false
  }

  private find (id: WorkerId): RemovedWorker | undefined {
    const removed = this.workers.get(id)
    return removed !== undefined && this.clock.monotonic() - removed.removedAt <= rememberedMilliseconds ? removed : undefined
  }
}
