/**
 * The log in the memory of one process, for tests and single-process tools. The caller decides what fails:
 * outages, lost answers, expiry of records, and records of other writers.
 */
import { Result } from 'true-myth'
import { type Clock, type Failure, failure, type Offset, toOffset } from '../common/index.js'
import { LogClient, type LogPage, type LogRecord, type ReadOptions, type StreamName } from './LogClient.js'

interface StoredStream {
  startOffset: number
  records: LogRecord[]
  /** Wake the long polls that wait on this stream. */
  waiters: Set<() => void>
}

/** A `LogClient` without a log service. Several clients of one process share an instance. */
export class InMemoryLogClient extends LogClient {
  private readonly streams = new Map<StreamName, StoredStream>()
  private isOut = false
  private answersToLose = 0
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
    if (this.isOut || signal?.aborted) return Result.err(failure('platform_unavailable', 'the log is out'))
    const firstOffset = this.store(stream, values)
    if (this.appendsToDuplicate > 0) {
      this.appendsToDuplicate -= 1
      this.store(stream, values)
    }
    if (this.answersToLose === 0) return Result.ok(firstOffset)
    this.answersToLose -= 1
    return Result.err(failure('outcome_unknown', 'the answer of the log to an append was lost'))
  }

  async read (stream: StreamName, options: ReadOptions): Promise<Result<LogPage, Failure>> {
    this.reads += 1
    if (this.isOut || options.signal?.aborted) return Result.err(failure('platform_unavailable', 'the log is out'))
    const stored = this.stream(stream)
    if (options.from >= this.nextOffset(stream) && options.waitMilliseconds > 0) {
      await this.waitForChange(stored, options)
    }
    if (this.isOut || options.signal?.aborted) return Result.err(failure('platform_unavailable', 'the log is out'))
    const first = Math.max(options.from, stored.startOffset) - stored.startOffset
    return Result.ok({
      startOffset: toOffset(stored.startOffset),
      nextOffset: this.nextOffset(stream),
      records: stored.records.slice(first, first + options.limit)
    })
  }

  /** Appends records of another writer. Works during an outage too; returns the offset of the first record. */
  appendFromElsewhere (stream: StreamName, ...values: string[]): Offset {
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

  /** Offset that the next append to a stream will get. */
  nextOffset (stream: StreamName): Offset {
    const stored = this.stream(stream)
    return toOffset(stored.startOffset + stored.records.length)
  }

  /** Drops the records of a stream below the given offset, at most all of them. */
  expireBefore (stream: StreamName, offset: number): void {
    const stored = this.stream(stream)
    const first = Math.min(offset, this.nextOffset(stream))
    if (first <= stored.startOffset) return
    stored.records = stored.records.slice(first - stored.startOffset)
    stored.startOffset = first
    this.wake(stored)
  }

  /** Starts or ends an outage. Waiting long polls fail at once when one starts. */
  setOutage (isOut: boolean): void {
    this.isOut = isOut
    for (const stored of this.streams.values()) this.wake(stored)
  }

  /** The next appends take effect, but their answer is `outcome_unknown`. */
  loseAppendAnswers (count: number): void {
    this.answersToLose = count
  }

  /** The next appends are stored twice in a row. */
  duplicateAppends (count: number): void {
    this.appendsToDuplicate = count
  }

  /** Later appends take effect only after this time of the clock. */
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
    this.wake(stored)
    return firstOffset
  }

  private wake (stored: StoredStream): void {
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
