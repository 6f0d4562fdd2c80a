/**
 * How far a worker has come with the answer to a prompt. A prompt that crashes workers does so at one of the first tokens
 * of its answer, however slow the worker is.
 */
import type { Clock } from '../common/index.js'

/** Time after the first part of an answer for which the answer counts as just begun, in milliseconds. */
const beginningMilliseconds = 500

/** Number of parts of an answer up to which it counts as just begun, however long ago the first one arrived. */
const beginningParts = 1

/** Follows the parts of one answer. */
export class AnswerProgress {
  private startedAt = Infinity
  private parts = 0

  constructor (private readonly clock: Clock) {}

  /** Records that a part of the answer has arrived. */
  recordPart (): void {
    if (this.parts === 0) this.startedAt = this.clock.monotonic()
    this.parts += 1
  }

  /** True if the answer has not begun, or has just begun, so that the loss of its worker is evidence against its prompt. */
  get isBeginning (): boolean {
    return this.parts <= beginningParts || this.clock.monotonic() - this.startedAt <= beginningMilliseconds
  }
}
