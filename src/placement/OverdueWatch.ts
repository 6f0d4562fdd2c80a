/**
 * Tells the hosts of prompts that wait at a worker which is behind or gone, so that they have them computed elsewhere.
 *
 * The prompt may still be computed where it is, so another computation is worth it only if the worker is late by as much time
 * as the other computation takes; this bounds the work that is done twice. While other prompts wait for a worker, that work
 * delays them, so twice that time is required. A prompt whose caller would otherwise give up is moved after half of it.
 */
import type { Clock } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { DispatchedPrompt, WorkerBacklog } from './WorkerBacklog.js'
import type { WorkerBacklogs } from './WorkerBacklogs.js'

/** Interval between two checks, in milliseconds. */
const checkMilliseconds = 50

/** Lateness at which a prompt is moved, as a multiple of the time of another computation; second: while prompts wait. */
const lateFactor = 1
const lateFactorWhileWaiting = 2

/** Share of that lateness which suffices if there is no time for a later move. */
const lastChanceShare = 0.5

/** Options of an `OverdueWatch`. */
export interface OverdueWatchOptions {
  clock: Clock
  events: EventLog
  backlogs: WorkerBacklogs
  /**
   * Time until another worker would have computed the prompt, in milliseconds; infinite if no worker accepts prompts. Its
   * place among the waiting prompts does not count, since it is more urgent than most of them.
   */
  elsewhereMilliseconds: (prompt: DispatchedPrompt, now: number) => number
  /** True while prompts wait for a worker. */
  isFull: () => boolean
  /** Called before each check. */
  onCheck: (now: number) => void
}

/** Checks the prompts of a pool for as long as some can be moved. */
export class OverdueWatch {
  private isRunning = false

  constructor (private readonly options: OverdueWatchOptions) {}

  /** Starts to check; called after a prompt was sent. */
  start (): void {
    if (this.isRunning) return
    this.isRunning = true
    this.run().catch(() => {}).finally(() => { this.isRunning = false })
  }

  private async run (): Promise<void> {
    const { clock, backlogs, onCheck } = this.options
    while (backlogs.all.some(({ hasMovable }) => hasMovable)) {
      await clock.sleep(checkMilliseconds)
      const now = clock.monotonic()
      onCheck(now)
      this.check(now)
    }
  }

  private check (now: number): void {
    for (const { backlog, prompt, isGone } of this.options.backlogs.overdue(now)) {
      const { onOverdue } = prompt
      if (onOverdue === undefined || !this.shouldMove(backlog, prompt, now)) continue
      this.options.events.info('prompt_overdue', {
        prompt: prompt.id, worker: backlog.worker, gone: isGone, late: Math.round(backlog.overdueMilliseconds(now))
      })
      prompt.onOverdue = undefined
      onOverdue()
    }
  }

  private shouldMove (backlog: WorkerBacklog, prompt: DispatchedPrompt, now: number): boolean {
    const elsewhere = this.options.elsewhereMilliseconds(prompt, now)
    if (now + elsewhere > prompt.lostAt) return false
    const isLastChance = now + 2 * elsewhere > prompt.lostAt
    const required = elsewhere * (this.options.isFull() ? lateFactorWhileWaiting : lateFactor)
    return backlog.overdueMilliseconds(now) >= required * (isLastChance ? lastChanceShare : 1)
  }
}
