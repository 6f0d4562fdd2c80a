/**
 * The platform's log as a source of records, read by long poll.
 */
import { Backoff, type Clock, failure, FailureError, type Offset, toOffset } from '../common/index.js'
import type { LogClient, StreamName } from '../clients/index.js'
import { RecordSource, type SourceMessage } from './RecordSource.js'

/** Name of the log as a source. */
export const logSourceName = 'log'

/** Options of a `LogSource`. */
export interface LogSourceOptions {
  log: LogClient
  clock: Clock
  /** Longest wait of one read, in milliseconds. It must be below the silence that a follower tolerates. */
  waitMilliseconds?: number
  /** Most records of one read. */
  pageSize?: number
  /** Random number from 0 to 1 for the jitter; tests set it. */
  random?: () => number
}

/** A follower gives a source up after 3 s of silence; one wait and one slow answer fit into it. */
const defaultWaitMilliseconds = 1000
const defaultPageSize = 500

/** Spreads 1,500 hosts that find the log out over 5 s: 300 refused reads a second. */
const backoffOptions = { firstMilliseconds: 100, maxMilliseconds: 5000 }

/** Reads the log. For a while after a failed read, `follow` of the stream fails without reading. */
export class LogSource extends RecordSource {
  readonly name = logSourceName
  private readonly backoffs = new Map<StreamName, Backoff>()
  /** Local time before which a stream is not read again. */
  private readonly notBefore = new Map<StreamName, number>()

  constructor (private readonly options: LogSourceOptions) {
    super()
  }

  async * follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    this.refuseDuringBackoff(stream)
    let next = from
    let isFirst = true
    while (!signal.aborted) {
      // The first read does not wait, so that the follower soon knows whether the log answers.
      const waitMilliseconds = isFirst ? 0 : this.options.waitMilliseconds ?? defaultWaitMilliseconds
      const page = await this.read(stream, next, waitMilliseconds, signal)
      const isEmpty = page.records.length === 0 && page.startOffset <= next
      if (isEmpty && !isFirst) {
        yield { kind: 'heartbeat', nextOffset: page.nextOffset }
        continue
      }
      isFirst = false
      yield { kind: 'records', ...page }
      const last = page.records.at(-1)
      next = last === undefined ? toOffset(Math.max(next, page.startOffset)) : toOffset(last.offset + 1)
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
    if (!signal.aborted) this.notBefore.set(stream, this.options.clock.monotonic() + backoff.next())
    throw new FailureError(page.error)
  }

  private refuseDuringBackoff (stream: StreamName): void {
    if (this.options.clock.monotonic() >= (this.notBefore.get(stream) ?? 0)) return
    throw new FailureError(failure('platform_unavailable', 'the log failed a moment ago and is not read yet'))
  }

  private backoffOf (stream: StreamName): Backoff {
    const known = this.backoffs.get(stream)
    if (known !== undefined) return known
    const created = new Backoff({ ...backoffOptions, random: this.options.random })
    this.backoffs.set(stream, created)
    return created
  }
}
