/**
 * One subscription of a follower at a source. A source that sends nothing for the configured silence counts
 * as failed, since a connection can go silent for good while new ones work.
 */
import { type Clock, failure, FailureError, failureOf, type Offset } from '../common/index.js'
import type { StreamName } from '../clients/index.js'
import type { RecordSource, SourceMessage } from './RecordSource.js'

/** What a subscription needs. */
export interface SourceConnectionOptions {
  source: RecordSource
  /** Position of the source in the order of preference, from 0. */
  rank: number
  stream: StreamName
  from: Offset
  clock: Clock
  silenceMilliseconds: number
  signal: AbortSignal
}

/** A subscription. */
export class SourceConnection {
  readonly rank: number
  readonly source: RecordSource
  private readonly controller = new AbortController()
  private readonly iterator: AsyncIterator<SourceMessage>
  private first: SourceMessage | undefined

  private constructor (private readonly options: SourceConnectionOptions) {
    this.rank = options.rank
    this.source = options.source
    const signal = AbortSignal.any([options.signal, this.controller.signal])
    this.iterator = options.source.follow(options.stream, options.from, signal)[Symbol.asyncIterator]()
  }

  /** Subscribes and waits for the first message. Throws `FailureError` if the source fails or stays silent. */
  static async open (options: SourceConnectionOptions): Promise<SourceConnection> {
    const connection = new SourceConnection(options)
    connection.first = await connection.next()
    return connection
  }

  /** The first message, which `next` returns once more. */
  get firstMessage (): SourceMessage | undefined {
    return this.first
  }

  /** The next message. Throws `FailureError` when the source fails, ends or stays silent. */
  async next (): Promise<SourceMessage> {
    if (this.first !== undefined) {
      const message = this.first
      this.first = undefined
      return message
    }
    const timer = new AbortController()
    const stop = (): void => timer.abort()
    this.options.signal.addEventListener('abort', stop, { once: true })
    const silence = this.options.clock.sleep(this.options.silenceMilliseconds, timer.signal).then(() => undefined)
    try {
      const received = await Promise.race([this.iterator.next(), silence])
      if (received === undefined) throw new FailureError(failure('platform_unavailable', 'the source is silent'))
      if (received.done) throw new FailureError(failure('platform_unavailable', 'the source ended'))
      return received.value
    } catch (caught) {
      this.close()
      throw new FailureError(failureOf(caught))
    } finally {
      this.options.signal.removeEventListener('abort', stop)
      timer.abort()
    }
  }

  /** Ends the subscription; does not wait for the source, which may be stuck. */
  close (): void {
    this.controller.abort()
    this.iterator.return?.().catch(() => {})
  }
}
