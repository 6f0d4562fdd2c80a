/**
 * Puts the chunks of one attempt in order. Each token of the answer passes exactly once: chunks of other
 * attempts and positions that already passed are dropped, early ones are held in a small buffer.
 */
import type { AttemptId } from '../common/index.js'

/** A token, the end of the answer, or the last token together with the end. */
export interface SequencedChunk {
  attemptId: string
  /** Position of the token; of an end without text: number of tokens before it. */
  position: number
  text?: string
  finishReason?: string
}

/** What became of a chunk. `overflow`: too many early chunks are held, the missing one will not come. */
export type SequencerVerdict = 'accepted' | 'foreign' | 'duplicate' | 'held' | 'overflow'

/** Orders the chunks of one attempt. */
export class TokenSequencer {
  private readonly early = new Map<number, SequencedChunk>()

  /** `next`: position of the first token that is missing. */
  constructor (
    private readonly attemptId: AttemptId,
    private next: number,
    private readonly maxHeld: number
  ) {}

  /** Position of the next token to pass. */
  get position (): number {
    return this.next
  }

  /** True if chunks wait for an earlier one. */
  get hasGap (): boolean {
    return this.early.size > 0
  }

  /** Takes a chunk in; `ready` gets the chunks that may pass now, in order. */
  take (chunk: SequencedChunk, ready: SequencedChunk[]): SequencerVerdict {
    if (chunk.attemptId !== this.attemptId) return 'foreign'
    if (chunk.position < this.next || this.early.has(chunk.position)) return 'duplicate'
    if (chunk.position > this.next) {
      if (this.early.size >= this.maxHeld) return 'overflow'
      this.early.set(chunk.position, chunk)
      return 'held'
    }
    let following: SequencedChunk | undefined = chunk
    while (following !== undefined) {
      this.early.delete(following.position)
      ready.push(following)
      if (following.text !== undefined) this.next += 1
      following = following.finishReason === undefined ? this.early.get(this.next) : undefined
    }
    return 'accepted'
  }
}
