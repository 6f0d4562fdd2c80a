/**
 * Merges reports about the losses of workers. Several hosts report the same loss, each with the prompts that it had sent.
 */
import type { WorkerLoss } from './Evidence.js'

/**
 * Maximum difference between two reports of one loss, in milliseconds. A lost worker needs longer than this to return
 * under the same id, and clocks of hosts differ by less.
 */
const sameLossMilliseconds = 4000

/** Maximum number of losses that are kept for one part; the latest ones are kept. */
const maxLosses = 8

/** Maximum number of prompts that are kept for one loss. */
const maxPrompts = 8

/** True if both report the loss of the same worker process. */
export function isSameLoss (left: Pick<WorkerLoss, 'worker' | 'at'>, right: Pick<WorkerLoss, 'worker' | 'at'>): boolean {
  return left.worker === right.worker && Math.abs(left.at - right.at) < sameLossMilliseconds
}

/** The losses of both lists, ordered by time. */
export function mergeLosses (known: readonly WorkerLoss[], added: readonly WorkerLoss[]): WorkerLoss[] {
  const merged = known.map(loss => ({ ...loss }))
  for (const loss of added) {
    const same = merged.find(other => isSameLoss(other, loss))
    if (same === undefined) {
      merged.push({ ...loss })
      continue
    }
    same.at = Math.min(same.at, loss.at)
    same.prompts = [...new Set([...same.prompts, ...loss.prompts])].slice(0, maxPrompts)
  }
  return merged.sort((left, right) => left.at - right.at).slice(-maxLosses)
}
