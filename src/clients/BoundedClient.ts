/**
 * HTTP connections that are closed when the peer sends bytes without end that are no part of a body: interim responses, a
 * status line, the extension of a chunk. undici itself limits only the header fields and the trailers.
 */
import type { Socket } from 'node:net'
import { buildConnector, Client, errors, type Dispatcher } from 'undici'

/** Maximum number of bytes that a peer may send without completing a head or sending a part of a body. */
const maxFramingBytes = 1_048_576

/** Message of the error with which undici closes a connection on which a response begins without a request. */
const unexpectedResponseMessage = 'bad response'

/** True if the error shows that the peer sent bytes, if no request was open on its connection. */
function isSurplus (error: Error): boolean {
  return error instanceof errors.HTTPParserError || error.message === unexpectedResponseMessage
}

/**
 * Counts the bytes that a peer has sent since its latest head or part of a body. `onSurplus` is called if the peer sends
 * bytes while no request is open.
 */
class FramingMeter {
  private socket: Socket | undefined
  private bytesAtProgress = 0
  private hasOpenRequest = false

  constructor (private readonly onSurplus?: () => void) {}

  /** Follows a new connection. */
  watch (socket: Socket): void {
    this.socket = socket
    this.bytesAtProgress = 0
    socket.prependListener('readable', () => {
      if (this.socket !== socket || socket.bytesRead - this.bytesAtProgress <= maxFramingBytes) return
      socket.destroy(new Error(`the peer sent more than ${maxFramingBytes} bytes that are no part of a body`))
    })
    socket.prependListener('error', error => { if (!this.hasOpenRequest && isSurplus(error)) this.onSurplus?.() })
  }

  /** Records that a request is about to be written. */
  recordRequest (): void {
    this.hasOpenRequest = true
    this.recordProgress()
  }

  /** Records that the response is complete or has failed. */
  recordEnd (): void {
    this.hasOpenRequest = false
  }

  /** Records that the bytes so far belong to a head that is complete, or to a part of a body. */
  recordProgress (): void {
    this.bytesAtProgress = this.socket?.bytesRead ?? 0
  }
}

/**
 * Tells the meter when a request starts, and when a head or a part of a body has arrived. It has the methods that undici
 * calls for its own requests, since adapting them to its newer interface parses each head twice.
 */
class MeteredHandler implements Dispatcher.DispatchHandler {
  constructor (
    private readonly inner: Dispatcher.DispatchHandler,
    private readonly meter: FramingMeter,
    private readonly onSent?: () => void
  ) {}

  onConnect (...values: Parameters<NonNullable<Dispatcher.DispatchHandler['onConnect']>>): void {
    this.meter.recordRequest()
    this.onSent?.()
    this.inner.onConnect?.(...values)
  }

  onHeaders (...values: Parameters<NonNullable<Dispatcher.DispatchHandler['onHeaders']>>): boolean {
    const isInterim = values[0] < 200
    if (!isInterim) this.meter.recordProgress()
    return this.inner.onHeaders?.(...values) ?? true
  }

  onData (chunk: Buffer): boolean {
    this.meter.recordProgress()
    return this.inner.onData?.(chunk) ?? true
  }

  onComplete (trailers: string[] | null): void {
    this.meter.recordEnd()
    this.inner.onComplete?.(trailers)
  }

  onError (error: Error): void {
    this.meter.recordEnd()
    this.inner.onError?.(error)
  }
}

/** Options of a request; `onSent` is called when its first byte is about to be written. */
export type DispatchOptions = Dispatcher.DispatchOptions & { onSent?: () => void }

/** Options of a client; `onSurplus` is called when the peer has sent bytes while no request was open. */
export type BoundedClientOptions = Client.Options & { onSurplus?: () => void }

/** A `Client` that closes its connection when the peer sends more than 1 MiB that is no part of a body. */
export class BoundedClient extends Client {
  private readonly meter: FramingMeter

  constructor (origin: string | URL, options: BoundedClientOptions = {}) {
    const { connectTimeout, onSurplus, ...clientOptions } = options
    const meter = new FramingMeter(onSurplus)
    const connect = typeof options.connect === 'function'
      ? options.connect
      : buildConnector({ ...options.connect, ...(connectTimeout === undefined ? {} : { timeout: connectTimeout }) })
    super(origin, {
      ...clientOptions,
      connect: (target, callback) => {
        connect(target, (...result) => {
          if (result[0] === null) meter.watch(result[1])
          callback(...result)
        })
      }
    })
    this.meter = meter
  }

  override dispatch (options: DispatchOptions, handler: Dispatcher.DispatchHandler): boolean {
    const isOwnHandler = handler.onRequestStart === undefined
    return super.dispatch(options, isOwnHandler ? new MeteredHandler(handler, this.meter, options.onSent) : handler)
  }
}
