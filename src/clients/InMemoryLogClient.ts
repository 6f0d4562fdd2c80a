/**
 * An in-memory log for tests and single-process tools. Its user can cause outages, lost responses, duplicate and
 * delayed appends, the expiry of records, and records of other writers.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, type Offset, toOffset } from '../common/index.js'
import { LogClient, type LogPage, type LogRecord, type ReadOptions, type StreamName } from './LogClient.js'

interface StoredStream {
  startOffset: number
  records: LogRecord[]
  /** Each wakes one long poll that waits for a change of this stream. */
  waiters: Set<() => void>
}

/** A `LogClient` that needs no log service. Components that share a log share one instance. */
export class InMemoryLogClient extends LogClient {
  private readonly streams = new Map<StreamName, StoredStream>()
  private isUnavailable = false
  private responsesToLose = 0
  private appendsToDuplicate = 0
  private appendDelay = 0
  private appends = 0
  private reads = 0

  constructor (private readonly clock: Clock) {
    super()
  }

  /** Number of calls of `append` that took effect. */
  get appendCount (): number {
    return this.appends
  }

  /** Number of calls of `read`. */
  get readCount (): number {
    return this.reads
  }

  async append (stream: StreamName, values: string[], signal?: AbortSignal): Promise<Result<Offset, Failure>> {
    if (this.appendDelay > 0) await this.clock.sleep(this.appendDelay, signal)
    if (this.isUnavailable || signal?.aborted) return Result.err(failure('platform_unavailable', 'the log is unavailable'))
    const firstOffset = this.store(stream, values)
    if (this.appendsToDuplicate > 0) {
      this.appendsToDuplicate -= 1
      this.store(stream, values)
    }
    if (this.responsesToLose === 0) return Result.ok(firstOffset)
    this.responsesToLose -= 1
    return Result.err(failure('outcome_unknown', 'the response of the log to an append was lost'))
  }

  async read (stream: StreamName, options: ReadOptions): Promise<Result<LogPage, Failure>> {
    this.reads += 1
    if (this.isUnavailable || options.signal?.aborted) return Result.err(failure('platform_unavailable', 'the log is unavailable'))
    const stored = this.stream(stream)
    if (options.from >= this.nextOffset(stream) && options.waitMilliseconds > 0) {
      await this.waitForChange(stored, options)
    }
    if (this.isUnavailable || options.signal?.aborted) return Result.err(failure('platform_unavailable', 'the log is unavailable'))
    const firstIndex = Math.max(options.from, stored.startOffset) - stored.startOffset
    return Result.ok({
      startOffset: toOffset(stored.startOffset),
      nextOffset: this.nextOffset(stream),
      records: stored.records.slice(firstIndex, firstIndex + options.limit)
    })
  }

  /** Appends records as another writer would, also during an outage. Returns the offset of the first record. */
  appendFromOtherWriter (stream: StreamName, ...values: string[]): Offset {
    return this.store(stream, values)
  }

  /** The retained records of a stream. */
  records (stream: StreamName): LogRecord[] {
    return this.stream(stream).records.slice()
  }

  /** First retained offset of a stream. */
  startOffset (stream: StreamName): Offset {
    return toOffset(this.stream(stream).startOffset)
  }

  /** Offset of the next record that is appended to a stream. */
  nextOffset (stream: StreamName): Offset {
    const stored = this.stream(stream)
    return toOffset(stored.startOffset + stored.records.length)
  }

  /** Drops the records of a stream below the given offset. An offset beyond the end drops all of them. */
  expireBefore (stream: StreamName, offset: number): void {
    const stored = this.stream(stream)
    const firstOffset = Math.min(offset, this.nextOffset(stream))
    if (firstOffset <= stored.startOffset) return
    stored.records = stored.records.slice(firstOffset - stored.startOffset)
    stored.startOffset = firstOffset
    this.wakeWaiters(stored)
  }

  /** Starts or ends an outage. When one starts, waiting long polls fail at once. */
  setOutage (isUnavailable: boolean): void {
    this.isUnavailable = isUnavailable
    for (const stored of this.streams.values()) this.wakeWaiters(stored)
  }

  /** Makes the next `count` appends take effect but return `outcome_unknown`. */
  loseAppendResponses (count: number): void {
    this.responsesToLose = count
  }

  /** Makes the next `count` appends store their records twice in a row. */
  duplicateAppends (count: number): void {
    this.appendsToDuplicate = count
  }

  /** Delays the effect of all later appends by the given time in milliseconds. */
  delayAppends (milliseconds: number): void {
    this.appendDelay = milliseconds
  }

  private stream (name: StreamName): StoredStream {
    const known = this.streams.get(name)
    if (known !== undefined) return known
    const created: StoredStream = { startOffset: 1, records: [], waiters: new Set() }
    this.streams.set(name, created)
    return created
  }

  private store (name: StreamName, values: string[]): Offset {
    const stored = this.stream(name)
    const firstOffset = this.nextOffset(name)
    const at = this.clock.wall()
    values.forEach((value, index) => stored.records.push({ offset: toOffset(firstOffset + index), at, value }))
    this.appends += 1
    this.wakeWaiters(stored)
    return firstOffset
  }

  private wakeWaiters (stored: StoredStream): void {
    for (const waiter of [...stored.waiters]) waiter()
  }

  private async waitForChange (stored: StoredStream, options: ReadOptions): Promise<void> {
    const timer = new AbortController()
    const wake = (): void => timer.abort()
    stored.waiters.add(wake)
    options.signal?.addEventListener('abort', wake, { once: true })
    await this.clock.sleep(options.waitMilliseconds, timer.signal)
    stored.waiters.delete(wake)
    options.signal?.removeEventListener('abort', wake)
  }
}
