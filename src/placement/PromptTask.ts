/**
 * A prompt that waits to be computed, and the decision about it.
 */
import type { WorkerId } from '../common/index.js'

/** A prompt that has to be computed on some worker of a pool. Times are monotonic, in milliseconds. */
export interface PromptTask {
  /** Unique among the prompts of a pool; repeated by a host that asks again. */
  id: string
  /** Client account whose share of the workers the prompt uses; undefined without accounts. */
  account?: string | undefined
  /** Names of the prompt's parts in order. Only the last part belongs to this prompt alone. */
  parts: readonly string[]
  /** Number of tokens of each part. */
  partTokens: readonly number[]
  /** Time by which the prompt has to be computed so that the answer starts within its latency target. */
  dueAt: number
  /** Time at which the caller gives up; a prompt that is computed later is of no use. */
  lostAt: number
  /** True if another cell may compute the prompt instead, so that it is refused unless it can be in time here. */
  onlyInTime?: boolean
}

/**
 * Decision about a prompt. `placed`: the host sends it to `worker`, which fetches shared parts from `partsSource`;
 * `refused`: it cannot be computed before its caller gives up, or in time if it asks for that alone; `with_answer`: the
 * worker that generates the answer computes it, `answerWorker` if it is set; `no_worker`: the scheduler knows no worker that
 * computes prompts.
 */
export type PlacementDecision =
  | { kind: 'placed', worker: WorkerId, partsSource: WorkerId | undefined, answerWorker: WorkerId | undefined }
  | { kind: 'refused', retryAfterMilliseconds: number }
  | { kind: 'with_answer', answerWorker: WorkerId | undefined }
  | { kind: 'no_worker' }

/**
 * How a placed prompt ended. `computed`: the worker holds its parts now; `declined`: the worker stated that it did not
 * compute it; `failed`: the worker or the connection to it failed; `abandoned`: the caller left.
 */
export const promptOutcomes = ['computed', 'declined', 'failed', 'abandoned'] as const
export type PromptOutcome = typeof promptOutcomes[number]

/** Number of tokens in all parts. */
export function promptTokensOf ({ partTokens }: PromptTask): number {
  return partTokens.reduce((sum, tokens) => sum + tokens, 0)
}

/** Memory of a part beside its name, in bytes. */
const partOverheadBytes = 48

/** Memory of a prompt while it waits, in bytes. */
export function promptBytesOf ({ parts }: PromptTask): number {
  return parts.reduce((sum, part) => sum + part.length + partOverheadBytes, 0)
}
