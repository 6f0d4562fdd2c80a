/**
 * A long-running asynchronous task that can be stopped. One task serves one connection, peer or poll loop.
 */

/** Work of a task. It returns when the signal aborts. */
export type TaskBody = (signal: AbortSignal) => Promise<void>

/** A running task. */
export class Task {
  private readonly controller = new AbortController()
  private readonly ended: Promise<void>

  private constructor (body: TaskBody, onError: (error: unknown) => void) {
    this.ended = body(this.controller.signal).catch(error => {
      if (!this.controller.signal.aborted) onError(error)
    })
  }

  /** Starts a task. `onError` gets an exception that ends the task before it was stopped. */
  static start (body: TaskBody, onError: (error: unknown) => void): Task {
    return new Task(body, onError)
  }

  /** Stops the task and waits until its body has returned. */
  async stop (): Promise<void> {
    this.controller.abort()
    await this.ended
  }
}
