/**
 * Shares reads among callers, each of whom gets the result of one that began after the call.
 */

/** Makes one read at a time, and another one for all who called meanwhile. */
export class FreshReads<Value> {
  private running: Promise<Value> | undefined
  private following: Promise<Value> | undefined

  constructor (private readonly read: () => Promise<Value>) {}

  /** The result of a read that has not begun yet. */
  async next (): Promise<Value> {
    if (this.running === undefined) return await this.start()
    this.following ??= this.afterRunning(this.running)
    return await this.following
  }

  private async afterRunning (running: Promise<Value>): Promise<Value> {
    await running.catch(() => {})
    this.following = undefined
    return await this.start()
  }

  private async start (): Promise<Value> {
    const running = this.read()
    this.running = running
    try {
      return await running
    } finally {
      if (this.running === running) this.running = undefined
    }
  }
}
