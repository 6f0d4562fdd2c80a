/**
 * A record source that reads the platform's log by long polling.
 */
import { Backoff, type Clock, failure, FailureError, type Offset, toOffset } from '../common/index.js'
import type { LogClient, StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from './RecordSource.js'

/** `RecordSource.name` of the log. */
export const logSourceName = 'log'

/** Options of a `LogSource`. */
export interface LogSourceOptions {
  log: LogClient
  clock: Clock
  /** Maximum wait of one read, in milliseconds. Must be below the follower's `silenceMilliseconds`. Default: 1,000. */
  waitMilliseconds?: number
  /** Maximum number of records in one read. Default: 500. */
  pageSize?: number
  /** Source of random numbers from 0 to 1 for the backoff jitter; tests replace it. */
  random?: () => number
}

/** A follower abandons a source after 3 s without a message; one wait plus one slow response must stay below that. */
const defaultWaitMilliseconds = 1000
const defaultPageSize = 500

/** The maximum spreads the retries of 1,500 hosts during an outage of the log over 5 s: 300 failed reads per second. */
const backoffOptions = { firstMilliseconds: 100, maxMilliseconds: 5000 }

/** Reads the log. After a failed read, `follow` throws for that stream, without reading, until the backoff delay has passed. */
export class LogSource extends RecordSource {
  readonly name = logSourceName
  private readonly backoffs = new Map<StreamName, Backoff>()
  /** Local monotonic time, in milliseconds, before which a stream is not read again. */
  private readonly retryAt = new Map<StreamName, number>()

  constructor (private readonly options: LogSourceOptions) {
    super()
  }

  async * follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    this.throwDuringBackoff(stream)
    let nextOffset = from
    let isFirstRead = true
    while (!signal.aborted) {
      // The first read does not wait for new records, so that the follower learns quickly whether the log responds.
      const waitMilliseconds = isFirstRead ? 0 : this.options.waitMilliseconds ?? defaultWaitMilliseconds
      const page = await this.read(stream, nextOffset, waitMilliseconds, signal)
      const isEmpty = page.records.length === 0 && page.startOffset <= nextOffset
      if (isEmpty && !isFirstRead) {
        yield { kind: 'heartbeat', nextOffset: page.nextOffset }
        continue
      }
      isFirstRead = false
      yield { kind: 'records', ...page }
      const lastRecord = page.records.at(-1)
      nextOffset = lastRecord === undefined ? toOffset(Math.max(nextOffset, page.startOffset)) : toOffset(lastRecord.offset + 1)
    }
  }

  private async read (stream: StreamName, from: Offset, waitMilliseconds: number, signal: AbortSignal) {
    const limit = this.options.pageSize ?? defaultPageSize
    const page = await this.options.log.read(stream, { from, limit, waitMilliseconds, signal })
    const backoff = this.backoffOf(stream)
    if (page.isOk) {
      backoff.reset()
      return page.value
    }
    if (!signal.aborted) this.retryAt.set(stream, this.options.clock.monotonic() + backoff.next())
    throw new FailureError(page.error)
  }

  private throwDuringBackoff (stream: StreamName): void {
    if (this.options.clock.monotonic() >= (this.retryAt.get(stream) ?? 0)) return
    throw new FailureError(failure('platform_unavailable', 'the last read of the log failed and the backoff delay has not passed yet'))
  }

  private backoffOf (stream: StreamName): Backoff {
    const existing = this.backoffs.get(stream)
    if (existing !== undefined) return existing
    const created = new Backoff({ ...backoffOptions, random: this.options.random })
    this.backoffs.set(stream, created)
    return created
  }
}
