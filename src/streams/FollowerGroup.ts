/**
 * All streams that a host follows. It is what the host's managers write through, and the source from which
 * other hosts are served.
 */
import type { Result } from 'true-myth'
import { type Clock, failure, type Failure, FailureError, type Offset, toOffset } from '../common/index.js'
import type { EventLog, Metrics } from '../observability/index.js'
import type { LogClient, StreamName } from '../clients/index.js'
import { RecordSource, type SourceDirectory, type SourceMessage } from './RecordSource.js'
import { RecordSubmitter } from './RecordSubmitter.js'
import type { NewRecord, RecordWriter, SubmittedRecord } from './RecordWriter.js'
import type { RelayBufferOptions } from './RelayBuffer.js'
import type { StreamFold } from './StreamFold.js'
import { StreamFollower } from './StreamFollower.js'

/** Options of a `FollowerGroup`. Times are in milliseconds. */
export interface FollowerGroupOptions {
  /** One fold for each stream to follow. */
  folds: StreamFold[]
  directory: SourceDirectory
  /** The log to append to. */
  log: LogClient
  clock: Clock
  events: EventLog
  metrics?: Metrics
  /** A source without a message for this long is given up. Default: 3,000. */
  silenceMilliseconds?: number
  /** How often the better sources are tried while a worse one is followed. Default: 10,000. */
  betterSourceMilliseconds?: number
  /** Time between heartbeats to a follower of this host. Default: 1,000. */
  heartbeatMilliseconds?: number
  /** Time from an append until the record must have come back through the fold. Default: 4,000; `configuration`: 8,000. */
  applyTimeoutMilliseconds?: number
  /** Limits of the relay buffer of each stream. Default: 10,000 records or 4 MB. */
  buffer?: RelayBufferOptions
  /** Random number from 0 to 1 for the jitter; tests set it. */
  random?: () => number
}

const defaultHeartbeatMilliseconds = 1000

/** Two renewal periods of a lease; a renewal that is not back by then must be tried anew. */
const defaultApplyTimeoutMilliseconds = 4000

/**
 * Operators' changes may wait longer: after an outage the log is read again up to 5 s later (see `LogSource`),
 * and with 4 s the first change after an outage was answered as unknown although it was stored.
 */
const applyTimeouts: Partial<Record<StreamName, number>> = { configuration: 8000 }

interface FollowedStream {
  follower: StreamFollower
  submitter: RecordSubmitter
}

/** The followers of a host. */
export class FollowerGroup extends RecordSource implements RecordWriter {
  readonly name = 'local'
  private readonly streams = new Map<StreamName, FollowedStream>()

  constructor (private readonly options: FollowerGroupOptions) {
    super()
    const countSkipped = this.addMetrics()
    for (const fold of options.folds) this.streams.set(fold.stream, this.createStream(fold, countSkipped))
  }

  /** True if every stream has a complete state. */
  get isReady (): boolean {
    return this.followers().every(follower => follower.isReady)
  }

  /** Starts all followers. */
  start (): void {
    for (const follower of this.followers()) follower.start()
  }

  /** Stops all followers. */
  async stop (): Promise<void> {
    await Promise.all(this.followers().map(follower => follower.stop()))
  }

  /** Waits until every stream has a complete state; false if the signal aborted first. */
  async waitUntilReady (signal?: AbortSignal): Promise<boolean> {
    const results = await Promise.all(this.followers().map(follower => follower.waitUntilReady(signal)))
    return results.every(isReady => isReady)
  }

  /** All followers. */
  followers (): StreamFollower[] {
    return [...this.streams.values()].map(({ follower }) => follower)
  }

  /** The follower of a stream; undefined if the stream is not followed. */
  follower (stream: StreamName): StreamFollower | undefined {
    return this.streams.get(stream)?.follower
  }

  /** Waits until the record at the offset is applied; false if the signal aborted first. */
  async waitUntilApplied (stream: StreamName, offset: Offset, signal?: AbortSignal): Promise<boolean> {
    return await this.followed(stream).follower.waitUntilApplied(offset, signal)
  }

  async submit (stream: StreamName, record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    const { follower, submitter } = this.followed(stream)
    return await submitter.submit(follower.replica, record)
  }

  async * follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    const { replica } = this.followed(stream).follower
    const { clock, heartbeatMilliseconds = defaultHeartbeatMilliseconds } = this.options
    let next = from
    let isFirst = true
    while (!signal.aborted) {
      const relayed = replica.relay(next)
      if (relayed.isErr) throw new FailureError(relayed.error)
      const message = relayed.value
      if (message !== undefined) {
        yield message
        next = nextAfter(message, next)
      } else {
        // The first heartbeat does not wait, so that the other host soon knows whether this one answers.
        const hasMore = (): boolean => replica.buffer.nextOffset > next
        const isDue = isFirst || !await replica.changes.waitAtMost(heartbeatMilliseconds, clock, hasMore, signal)
        if (isDue) yield { kind: 'heartbeat', nextOffset: replica.nextOffset }
      }
      isFirst = false
    }
  }

  private followed (stream: StreamName): FollowedStream {
    const followed = this.streams.get(stream)
    if (followed === undefined) throw new FailureError(failure('not_found', `stream ${stream} is not followed here`))
    return followed
  }

  private createStream (fold: StreamFold, countSkipped: (stream: StreamName, reason: string) => void): FollowedStream {
    const { log, clock } = this.options
    const applyTimeoutMilliseconds = this.options.applyTimeoutMilliseconds ??
      applyTimeouts[fold.stream] ?? defaultApplyTimeoutMilliseconds
    const submitter = new RecordSubmitter({ stream: fold.stream, log, clock, applyTimeoutMilliseconds })
    const follower = new StreamFollower({
      ...this.options,
      fold,
      onApplied: ({ offset, id }, outcome) => submitter.noteApplied(id, { offset, outcome }),
      onSkipped: reason => countSkipped(fold.stream, reason)
    })
    return { follower, submitter }
  }

  private addMetrics (): (stream: StreamName, reason: string) => void {
    const { metrics } = this.options
    if (metrics === undefined) return () => {}
    const skipped = metrics.counter('stream_records_skipped_total', 'Records without effect.', ['stream', 'reason'])
    metrics.gauge('stream_through', 'Offset of the last applied record.', ['stream'], gauge => {
      for (const [stream, { follower }] of this.streams) gauge.set({ stream }, follower.through)
    })
    return (stream, reason) => skipped.inc({ stream, reason })
  }
}

function nextAfter (message: SourceMessage, next: Offset): Offset {
  if (message.kind === 'snapshot') return toOffset(message.through + 1)
  const last = message.kind === 'records' ? message.records.at(-1) : undefined
  return last === undefined ? next : toOffset(last.offset + 1)
}
