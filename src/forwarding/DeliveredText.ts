/**
 * The text of the tokens that a stream has delivered so far, which a resumed attempt sends to its engine. Tokens are
 * joined into segments: a separate string for each token takes about five times the memory of its characters, which
 * came to megabytes for a caller that read nothing of a long answer.
 */

/** Number of tokens that are joined into one segment. */
const tokensPerSegment = 256

/** Collects the delivered tokens in segments. */
export class DeliveredText {
  private readonly segments: string[] = []
  private recentTokens: string[] = []

  /** Adds the text of a token. */
  add (text: string): void {
    this.recentTokens.push(text)
    if (this.recentTokens.length < tokensPerSegment) return
    this.segments.push(this.recentTokens.join(''))
    this.recentTokens = []
  }

  /** The text of all added tokens. */
  text (): string {
    return this.segments.join('') + this.recentTokens.join('')
  }
}
