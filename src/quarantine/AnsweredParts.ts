/**
 * The parts of prompts that were answered completely a short time ago, which shows that they crash no worker.
 */
import type { Clock } from '../common/index.js'

/** Time for which a complete answer shows that the parts of its prompt are harmless, in milliseconds. */
const proofMilliseconds = 10_000

/** Maximum number of parts that are remembered; those that were answered longest ago are forgotten first. */
const maxParts = 20_000

/** Remembers the latest complete answer for each part. */
export class AnsweredParts {
  /** Monotonic time in milliseconds, by part; the oldest entry is first. */
  private readonly answeredAt = new Map<string, number>()

  constructor (private readonly clock: Clock) {}

  /** Records a complete answer to a prompt with the part. */
  record (part: string): void {
    this.answeredAt.delete(part)
    this.answeredAt.set(part, this.clock.monotonic())
    if (this.answeredAt.size <= maxParts) return
    const oldest = this.answeredAt.keys().next()
    if (oldest.done !== true) this.answeredAt.delete(oldest.value)
  }

  /** True if the part was answered recently. */
  has (part: string): boolean {
    const at = this.answeredAt.get(part)
    return at !== undefined && this.clock.monotonic() - at <= proofMilliseconds
  }
}
