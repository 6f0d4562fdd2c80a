/**
 * Reorders the chunks of one attempt, so that each token of the answer is delivered exactly once. Chunks of other
 * attempts and of positions that were already delivered are dropped; out-of-order chunks are held in a bounded buffer.
 */
import type { AttemptId } from '../common/index.js'

/** A token, the end of the answer, or the last token together with the end. */
export interface SequencedChunk {
  attemptId: string
  /** Position of the token; for an end without text, the number of tokens before it. */
  position: number
  text?: string
  finishReason?: string
}

/** How a chunk was handled. `overflow`: too many out-of-order chunks are held; the missing one will not arrive. */
export type SequencerResult = 'accepted' | 'foreign' | 'duplicate' | 'held' | 'overflow'

/** Orders the chunks of one attempt. */
export class TokenSequencer {
  private readonly outOfOrder = new Map<number, SequencedChunk>()

  /** `nextPosition`: position of the first token that is missing. */
  constructor (
    private readonly attemptId: AttemptId,
    private nextPosition: number,
    private readonly maxOutOfOrderChunks: number
  ) {}

  /** Position of the next token to deliver. */
  get position (): number {
    return this.nextPosition
  }

  /** True if chunks are held until an earlier one arrives. */
  get hasGap (): boolean {
    return this.outOfOrder.size > 0
  }

  /** Accepts a chunk; appends to `ready` the chunks that can be delivered now, in order. */
  accept (chunk: SequencedChunk, ready: SequencedChunk[]): SequencerResult {
    if (chunk.attemptId !== this.attemptId) return 'foreign'
    if (chunk.position < this.nextPosition || this.outOfOrder.has(chunk.position)) return 'duplicate'
    if (chunk.position > this.nextPosition) {
      if (this.outOfOrder.size >= this.maxOutOfOrderChunks) return 'overflow'
      this.outOfOrder.set(chunk.position, chunk)
      return 'held'
    }
    let nextChunk: SequencedChunk | undefined = chunk
    while (nextChunk !== undefined) {
      this.outOfOrder.delete(nextChunk.position)
      ready.push(nextChunk)
      if (nextChunk.text !== undefined) this.nextPosition += 1
      nextChunk = nextChunk.finishReason === undefined ? this.outOfOrder.get(this.nextPosition) : undefined
    }
    return 'accepted'
  }
}
