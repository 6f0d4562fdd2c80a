/**
 * A prompt that waits for a worker, and the order in which waiting prompts are sent.
 *
 * Prompts that can still be in time come first, ordered by the latest time at which their computation has to start; then
 * those that are late already, the short ones and those about to be given up first.
 */
import type { PlacementDecision, PromptTask } from './PromptTask.js'

/** Expected times of a prompt, in milliseconds. */
export interface PromptTimes {
  /** Shortest time from the dispatch to the response. */
  neededMilliseconds: number
  /** Usual time from the dispatch to the response. */
  usualMilliseconds: number
  /** Part of both times for which the worker is occupied. */
  computeMilliseconds: number
}

/** A prompt with the function that receives the decision about it. */
export interface WaitingPrompt extends PromptTimes {
  task: PromptTask
  decide: (decision: PlacementDecision) => void
}

/** Urgency of a waiting prompt: first by `isLate`, then by `order`. */
export interface PromptRank { isLate: boolean, order: number }

/**
 * Weight of the time that is left until a late prompt has to start, against the time for which it occupies a worker. The
 * weight lets long prompts pass short ones before their callers give up.
 */
const remainingTimeWeight = 0.2

/** The urgency of a prompt at a time. */
export function rankOf (entry: PromptTimes & { task: PromptTask }, now: number): PromptRank {
  const { task, neededMilliseconds, usualMilliseconds, computeMilliseconds } = entry
  const latestStart = task.dueAt - usualMilliseconds
  if (latestStart >= now) return { isLate: false, order: latestStart }
  const remaining = task.lostAt - neededMilliseconds - now
  return { isLate: true, order: computeMilliseconds + remaining * remainingTimeWeight }
}

/** Compares two urgencies for sorting, the more urgent first. */
export function compareRanks (left: PromptRank, right: PromptRank): number {
  return Number(left.isLate) - Number(right.isLate) || left.order - right.order
}
