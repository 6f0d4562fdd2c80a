/**
 * The text of the tokens that a stream has delivered so far; a resumed stream needs it. A string for each token
 * costs about five times its characters, so that a caller who reads nothing of a long answer held megabytes.
 */

/** Tokens that are kept as separate strings before they are joined. */
const joinedTokens = 256

/** Text that only grows. */
export class DeliveredText {
  private readonly joined: string[] = []
  private recent: string[] = []

  /** Adds the text of a token. */
  add (text: string): void {
    this.recent.push(text)
    if (this.recent.length < joinedTokens) return
    this.joined.push(this.recent.join(''))
    this.recent = []
  }

  /** The whole text. */
  text (): string {
    return this.joined.join('') + this.recent.join('')
  }
}
