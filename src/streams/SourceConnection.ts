/**
 * A follower's subscription to a source. A source that sends no message for `silenceMilliseconds` counts as failed,
 * because an established connection can stop delivering for good while new connections still work.
 */
import { type Clock, failure, FailureError, failureOf, type Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import type { RecordSource, SourceMessage } from './RecordSource.js'

/** Options of a `SourceConnection`. */
export interface SourceConnectionOptions {
  source: RecordSource
  /** Index of the source in the order of preference; 0 is the most preferred. */
  rank: number
  stream: StreamName
  from: Offset
  clock: Clock
  /** Time without a message after which the source counts as failed, in milliseconds. */
  silenceMilliseconds: number
  signal: AbortSignal
}

/** A subscription to one stream at one source, which fails if the source stays silent. */
export class SourceConnection {
  readonly rank: number
  readonly source: RecordSource
  private readonly controller = new AbortController()
  private readonly iterator: AsyncIterator<SourceMessage>
  /** The message that `open` waited for, until `next` has returned it. */
  private unreadFirstMessage: SourceMessage | undefined

  private constructor (private readonly options: SourceConnectionOptions) {
    this.rank = options.rank
    this.source = options.source
    const signal = AbortSignal.any([options.signal, this.controller.signal])
    this.iterator = options.source.follow(options.stream, options.from, signal)[Symbol.asyncIterator]()
  }

  /** Subscribes and waits for the first message. Throws `FailureError` if the source fails, ends or stays silent. */
  static async open (options: SourceConnectionOptions): Promise<SourceConnection> {
    const connection = new SourceConnection(options)
    connection.unreadFirstMessage = await connection.next()
    return connection
  }

  /** The first message, without consuming it; undefined once `next` has returned it. */
  get firstMessage (): SourceMessage | undefined {
    return this.unreadFirstMessage
  }

  /** Returns the next message. Throws `FailureError` if the source fails, ends or stays silent. */
  async next (): Promise<SourceMessage> {
    if (this.unreadFirstMessage !== undefined) {
      const message = this.unreadFirstMessage
      this.unreadFirstMessage = undefined
      return message
    }
    const silenceTimer = new AbortController()
    const cancelTimer = (): void => silenceTimer.abort()
    this.options.signal.addEventListener('abort', cancelTimer, { once: true })
    const silenceElapsed = this.options.clock.sleep(this.options.silenceMilliseconds, silenceTimer.signal).then(() => undefined)
    try {
      const received = await Promise.race([this.iterator.next(), silenceElapsed])
      if (received === undefined) throw new FailureError(failure('platform_unavailable', 'the source sent no message within the silence limit'))
      if (received.done) throw new FailureError(failure('platform_unavailable', 'the source ended the subscription'))
      return received.value
    } catch (caught) {
      this.close()
      throw new FailureError(failureOf(caught))
    } finally {
      this.options.signal.removeEventListener('abort', cancelTimer)
      silenceTimer.abort()
    }
  }

  /** Ends the subscription without waiting for the source, which may not respond. */
  close (): void {
    this.controller.abort()
    this.iterator.return?.().catch(() => {})
  }
}
