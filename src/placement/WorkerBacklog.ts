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
  /** Parts that the worker holds once the prompt is computed. */
  parts: readonly string[]
  partTokens: readonly number[]
}

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
  private pauseMilliseconds = firstPauseMilliseconds

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

  /** Ends the series of failures. */
  recordSuccess (): void {
    this.consecutiveFailures = 0
    this.pauseMilliseconds = firstPauseMilliseconds
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
