/**
 * The backlogs of a pool's workers, and which workers are behind: those whose responses are later than the margin although
 * most of the others are in time, or much later than that of any other. While all are late alike, the estimates are wrong
 * or the load is too high, and another worker would be no faster.
 */
import type { WorkerId } from '../common/index.js'
import { ResponseSpread } from './ResponseSpread.js'
import { type DispatchedPrompt, WorkerBacklog } from './WorkerBacklog.js'

/** Multiple of the margin by which a worker is much later than the best of the others. */
const muchLaterFactor = 4

/** A prompt that waits at a worker which is behind or gone. */
export interface OverduePrompt { backlog: WorkerBacklog, prompt: DispatchedPrompt, isGone: boolean }

/** Backlogs of the workers of one pool. */
export class WorkerBacklogs {
  readonly spread = new ResponseSpread()
  private readonly byWorker = new Map<WorkerId, WorkerBacklog>()

  /** `workers`: those that may compute prompts at the moment. */
  constructor (private readonly workers: () => ReadonlyArray<{ readonly id: WorkerId }>) {}

  /** The backlogs of all workers that have been sent prompts. */
  get all (): WorkerBacklog[] {
    return [...this.byWorker.values()]
  }

  of (worker: WorkerId): WorkerBacklog {
    const backlog = this.byWorker.get(worker) ?? new WorkerBacklog(worker)
    this.byWorker.set(worker, backlog)
    return backlog
  }

  /** Backlogs of the workers that may be sent prompts. */
  accepting (now: number): WorkerBacklog[] {
    return this.present().filter(backlog => backlog.accepts(now) && !this.isBehind(backlog, now))
  }

  /** True if the worker is behind the others of its pool. */
  isBehind (backlog: WorkerBacklog, now: number): boolean {
    const { marginMilliseconds } = this.spread
    const overdueMilliseconds = backlog.overdueMilliseconds(now)
    if (overdueMilliseconds <= marginMilliseconds) return false
    const others = this.present().filter(other => other !== backlog).map(other => other.latenessMilliseconds(now))
    if (others.length === 0) return false
    others.sort((left, right) => left - right)
    // Workers that are slow alike become late one after the other, so most of the others have to be in time.
    const usualLateness = others[others.length >> 1]!
    return overdueMilliseconds > Math.min(marginMilliseconds + usualLateness, muchLaterFactor * marginMilliseconds + others[0]!)
  }

  /** Prompts that wait at workers that are behind, or late at workers that may no longer be sent prompts. */
  overdue (now: number): OverduePrompt[] {
    const present = new Set(this.present())
    return this.all.flatMap(backlog => {
      const isGone = !present.has(backlog)
      const { marginMilliseconds } = this.spread
      const isOverdue = isGone ? backlog.overdueMilliseconds(now) > marginMilliseconds : this.isBehind(backlog, now)
      return isOverdue ? [...backlog.openPrompts].map(prompt => ({ backlog, prompt, isGone })) : []
    })
  }

  private present (): WorkerBacklog[] {
    return this.workers().map(({ id }) => this.of(id))
  }
}
