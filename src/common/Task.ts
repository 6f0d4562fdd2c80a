/**
 * A long-running asynchronous task that can be stopped. One task serves one connection, peer or poll loop.
 */

/** The function that a task runs. It has to return when the signal aborts. */
export type TaskBody = (signal: AbortSignal) => Promise<void>

/** A running task, which is stopped through the abort signal of its body. */
export class Task {
  private readonly controller = new AbortController()
  private readonly ended: Promise<void>

  private constructor (body: TaskBody, onError: (error: unknown) => void) {
    this.ended = body(this.controller.signal).catch(error => {
      if (!this.controller.signal.aborted) onError(error)
    })
  }

  /** Starts a task. `onError` receives the exception if the body throws before the task is stopped. */
  static start (body: TaskBody, onError: (error: unknown) => void): Task {
    return new Task(body, onError)
  }

  /** Stops the task and waits until its body has returned. */
  async stop (): Promise<void> {
    this.controller.abort()
    await this.ended
  }
}
