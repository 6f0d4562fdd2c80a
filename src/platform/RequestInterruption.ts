/**
 * The early end of a caller's request: the caller disconnects before the response is complete, or the host stops.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'

/** Reason for which a request ends early. */
export type InterruptionCause = 'caller_disconnected' | 'host_stopped'

/** Interrupts one request, at most once. */
export class RequestInterruption {
  /** Undefined while the request is not interrupted. */
  cause: InterruptionCause | undefined
  private readonly controller = new AbortController()

  /**
   * Interrupts the request when its caller closes the connection. The end of the caller's side counts as the close: Node
   * then ends the connection, but reports its close only in a later turn of the event loop.
   */
  constructor ({ socket }: IncomingMessage, response: ServerResponse) {
    const disconnect = (): void => { if (!response.writableFinished) this.interrupt('caller_disconnected') }
    socket.once('end', disconnect)
    response.once('close', () => {
      socket.off('end', disconnect)
      disconnect()
    })
  }

  /** Aborts when the request is interrupted. */
  get signal (): AbortSignal {
    return this.controller.signal
  }

  interrupt (cause: InterruptionCause): void {
    this.cause ??= cause
    this.controller.abort()
  }

  /** Resolves to the result, or to the value of `otherwise` if the host stops first. */
  async unlessHostStops<Value> (result: Promise<Value>, otherwise: () => Value): Promise<Value> {
    if (this.cause === 'host_stopped') return otherwise()
    return await new Promise((resolve, reject) => {
      this.signal.addEventListener('abort', () => { if (this.cause === 'host_stopped') resolve(otherwise()) }, { once: true })
      result.then(resolve, reject)
    })
  }
}
