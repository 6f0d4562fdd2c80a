/**
 * Estimates when a worker will have computed the prompts that were sent to it. A worker computes its prompts in the
 * order of their arrival, so each end of one corrects the estimate for those behind it.
 */
import type { WorkerId } from '../common/index.js'

/** A prompt on its way to or on a worker. */
export interface DispatchedPrompt {
  id: string
  /** Estimated time for which the worker is occupied by the prompt, in milliseconds. */
  computeMilliseconds: number
  /** Monotonic time in milliseconds at which the host is expected to have the response. */
  expectedAt: number
  dispatchedAt: number
  /** Number of prompts that the worker had not finished when this one was sent. */
  ahead: number
  /** Tokens that the worker computes. */
  computedTokens: number
  /** True if the worker fetches parts from another one, which may have to compute them first; the time tells no speed. */
  isFetched: boolean
  /** Monotonic time in milliseconds at which the caller gives up. */
  lostAt: number
  /** Called when the prompt should be computed on another worker; undefined if its host cannot do so or has been told. */
  onOverdue?: () => void
  /** Parts that the worker holds once the prompt is computed. */
  parts: readonly string[]
  partTokens: readonly number[]
}

/** Time for which the lateness of a response tells about the worker, in milliseconds. */
const latenessMemoryMilliseconds = 1000

/** Time after which a missing response shows that a worker is slow or hangs, in milliseconds after the expected one. */
const overdueMilliseconds = 400

/** Time after which a prompt whose end was never reported is no longer counted, in milliseconds after the expected one. */
const forgottenMilliseconds = 4000

/** Consecutive failures after which a worker is sent no prompts for a while. */
const failuresBeforePause = 2

const firstPauseMilliseconds = 1000
const maxPauseMilliseconds = 8000

/** Pause after a declined prompt, in milliseconds: the worker is full or changes its role. */
const declinePauseMilliseconds = 200

/** The prompts of one worker that have not ended, and the pauses after failures. */
export class WorkerBacklog {
  private readonly prompts = new Map<string, DispatchedPrompt>()
  private occupiedUntil = -Infinity
  private pausedUntil = -Infinity
  private consecutiveFailures = 0
  private latePauseMilliseconds = 0
  private pauseMilliseconds = firstPauseMilliseconds
  private lastEnd = { at: -Infinity, lateness: 0 }
  /** Time of the latest end of a prompt that may go on being computed; how long those behind it take is not known. */
  private unfinishedAt = -Infinity

  constructor (readonly worker: WorkerId) {}

  /** Number of prompts that have not ended. */
  get size (): number {
    return this.prompts.size
  }

  /** Time until the worker has computed all prompts that were sent to it, in milliseconds. */
  milliseconds (now: number): number {
    return Math.max(0, this.occupiedUntil - now)
  }

  /** True if the worker may be sent another prompt: it is neither paused nor behind with a response. */
  accepts (now: number): boolean {
    if (now < this.pausedUntil) return false
    for (const { expectedAt } of this.prompts.values()) {
      if (now > expectedAt + overdueMilliseconds) return false
    }
    return true
  }

  /** The prompts that have not ended. */
  get openPrompts (): Iterable<DispatchedPrompt> {
    return this.prompts.values()
  }

  /** True if the host of an open prompt can have it computed elsewhere. */
  get hasMovable (): boolean {
    for (const { onOverdue } of this.prompts.values()) {
      if (onOverdue !== undefined) return true
    }
    return false
  }

  /** Time by which the most overdue response is later than expected, in milliseconds; 0 if none is overdue. */
  overdueMilliseconds (now: number): number {
    let overdue = 0
    for (const { expectedAt } of this.prompts.values()) overdue = Math.max(overdue, now - expectedAt)
    return overdue
  }

  /** Lateness of the worker, in milliseconds, also by the response that ended a short time ago; 0 if it is in time. */
  latenessMilliseconds (now: number): number {
    const isRecent = now - this.lastEnd.at <= latenessMemoryMilliseconds
    return Math.max(this.overdueMilliseconds(now), isRecent ? this.lastEnd.lateness : 0)
  }

  /** True if the worker computes a prompt that has these leading parts. */
  isComputing (parts: readonly string[]): boolean {
    for (const prompt of this.prompts.values()) {
      if (parts.every((part, position) => prompt.parts[position] === part)) return true
    }
    return false
  }

  /** Counts a prompt that is sent now. */
  add (prompt: DispatchedPrompt): void {
    this.prompts.set(prompt.id, prompt)
    this.occupiedUntil = Math.max(prompt.dispatchedAt, this.occupiedUntil) + prompt.computeMilliseconds
  }

  /**
   * Removes a prompt and returns it. `responseMilliseconds`: time between the end of a computation and its response.
   */
  remove (id: string, now: number, responseMilliseconds: number): DispatchedPrompt | undefined {
    const prompt = this.prompts.get(id)
    if (prompt === undefined) return undefined
    this.prompts.delete(id)
    let remaining = 0
    for (const other of this.prompts.values()) {
      if (other.dispatchedAt >= prompt.dispatchedAt) remaining += other.computeMilliseconds
    }
    this.occupiedUntil = Math.max(now, now - responseMilliseconds + remaining)
    return prompt
  }

  /**
   * Records that a prompt was computed, which ends the series of failures. The prompts behind it are expected anew. Returns
   * the time for which the worker was occupied by it, in milliseconds; undefined if others were ahead of it, with which the
   * worker may have computed it in turns.
   */
  recordSuccess (prompt: DispatchedPrompt, now: number, responseMilliseconds: number): number | undefined {
    this.consecutiveFailures = 0
    this.latePauseMilliseconds = 0
    this.pauseMilliseconds = firstPauseMilliseconds
    const occupied = now - prompt.dispatchedAt - responseMilliseconds
    this.lastEnd = { at: now, lateness: now - prompt.expectedAt }
    let endsAt = now - responseMilliseconds
    for (const other of this.prompts.values()) {
      if (other.dispatchedAt < prompt.dispatchedAt) continue
      endsAt = Math.max(endsAt, other.dispatchedAt) + other.computeMilliseconds
      other.expectedAt = Math.max(other.expectedAt, endsAt + responseMilliseconds)
    }
    return prompt.ahead === 0 && prompt.dispatchedAt >= this.unfinishedAt ? occupied : undefined
  }

  /** Records that a prompt ended without a response. */
  recordUnfinished (now: number): void {
    this.unfinishedAt = now
  }

  /**
   * Records that a prompt ended without a response while the worker was behind by `lateness`, in milliseconds. The worker is
   * paused for twice as long as it was late, and for twice the last such pause until it answers: its lateness is then no longer
   * seen, and a prompt would be its trial.
   */
  recordLost (now: number, lateness: number): void {
    if (now < this.pausedUntil) return
    this.latePauseMilliseconds = Math.min(maxPauseMilliseconds, 2 * Math.max(lateness, this.latePauseMilliseconds))
    this.pausedUntil = now + this.latePauseMilliseconds
  }

  /** Records a failure; after several in a row the worker is paused. */
  recordFailure (now: number): void {
    this.consecutiveFailures += 1
    if (this.consecutiveFailures < failuresBeforePause) return
    this.pausedUntil = now + this.pauseMilliseconds
    this.pauseMilliseconds = Math.min(maxPauseMilliseconds, this.pauseMilliseconds * 2)
  }

  /** Pauses the worker briefly after it declined a prompt. */
  recordDecline (now: number): void {
    this.pausedUntil = Math.max(this.pausedUntil, now + declinePauseMilliseconds)
  }

  /** Forgets prompts whose end was never reported, because the host that sent them stopped. Returns their ids. */
  forgetLost (now: number): string[] {
    const lost = [...this.prompts.values()].filter(({ expectedAt }) => now > expectedAt + forgottenMilliseconds)
    for (const { id } of lost) this.prompts.delete(id)
    return lost.map(({ id }) => id)
  }
}
