/**
 * The followers of all streams that a host follows. The host's managers append records through the group, and
 * other hosts use the group as a record source.
 */
import type { Result } from 'true-myth'
import { type Clock, failure, type Failure, FailureError, type Offset, toOffset } from '../common/index.js'
import type { EventLog, Metrics } from '../observability/index.js'
import type { LogClient, StreamName } from '../clients/index.js'
import { RecordSource, type SourceDirectory, type SourceMessage } from './RecordSource.js'
import { RecordSubmitter } from './RecordSubmitter.js'
import type { NewRecord, RecordWriter, SubmittedRecord } from './RecordWriter.js'
import type { RelayBufferOptions } from './RelayBuffer.js'
import type { StreamProjection } from './StreamProjection.js'
import { StreamFollower } from './StreamFollower.js'

/** Options of a `FollowerGroup`. Times are in milliseconds. */
export interface FollowerGroupOptions {
  /** One projection per followed stream. */
  projections: StreamProjection[]
  directory: SourceDirectory
  /** The log that records are appended to. */
  log: LogClient
  clock: Clock
  events: EventLog
  metrics?: Metrics
  /** Time without a message after which a follower abandons its source. Default: 3,000. */
  silenceMilliseconds?: number
  /** Interval at which a follower tries the sources that it prefers over its current one. Default: 10,000. */
  betterSourceMilliseconds?: number
  /** Interval of heartbeats to the followers of this host while there are no records to send. Default: 1,000. */
  heartbeatMilliseconds?: number
  /** Maximum wait of `submit` until this host's projection has applied the record. Default: 4,000; `configuration`: 8,000. */
  applyTimeoutMilliseconds?: number
  /** Limits of each stream's relay buffer. Default: 10,000 records and 4 MiB. */
  buffer?: RelayBufferOptions
  /** Source of random numbers from 0 to 1 for the backoff jitter; tests replace it. */
  random?: () => number
}

const defaultHeartbeatMilliseconds = 1000

/** Two lease renewal intervals: a renewal that has not been applied by then has to be retried. */
const defaultApplyTimeoutMilliseconds = 4000

/**
 * Operators' changes have a longer timeout: after an outage of the log, a host may read the log again only 5 s later (see
 * `LogSource`). With 4 s, the first change after an outage failed with `outcome_unknown` although it was stored.
 */
const streamApplyTimeoutMilliseconds: Partial<Record<StreamName, number>> = { configuration: 8000 }

interface FollowedStream {
  follower: StreamFollower
  submitter: RecordSubmitter
}

/** Follows all streams of a host, appends to them, and relays them to other hosts. */
export class FollowerGroup extends RecordSource implements RecordWriter {
  readonly name = 'local'
  private readonly streams = new Map<StreamName, FollowedStream>()

  constructor (private readonly options: FollowerGroupOptions) {
    super()
    const countSkipped = this.registerMetrics()
    for (const projection of options.projections) this.streams.set(projection.stream, this.createStream(projection, countSkipped))
  }

  /** True if this host has had a complete state of every stream. */
  get isReady (): boolean {
    return this.followers().every(follower => follower.isReady)
  }

  /** Starts following all streams. */
  start (): void {
    for (const follower of this.followers()) follower.start()
  }

  /** Stops following; the projections keep their state. */
  async stop (): Promise<void> {
    await Promise.all(this.followers().map(follower => follower.stop()))
  }

  /** Waits until every stream has a complete state. Returns false if the signal aborts first. */
  async waitUntilReady (signal?: AbortSignal): Promise<boolean> {
    const results = await Promise.all(this.followers().map(follower => follower.waitUntilReady(signal)))
    return results.every(isReady => isReady)
  }

  /** Returns one follower for each followed stream. */
  followers (): StreamFollower[] {
    return [...this.streams.values()].map(({ follower }) => follower)
  }

  /** The follower of a stream; undefined if the stream is not followed. */
  follower (stream: StreamName): StreamFollower | undefined {
    return this.streams.get(stream)?.follower
  }

  /**
   * Waits until the record at the offset is applied. Returns false if the signal aborts first. Throws `FailureError`
   * with `not_found` if the stream is not followed.
   */
  async waitUntilApplied (stream: StreamName, offset: Offset, signal?: AbortSignal): Promise<boolean> {
    return await this.followedStream(stream).follower.waitUntilApplied(offset, signal)
  }

  async submit (stream: StreamName, record: NewRecord): Promise<Result<SubmittedRecord, Failure>> {
    const { follower, submitter } = this.followedStream(stream)
    return await submitter.submit(follower.replica, record)
  }

  async * follow (stream: StreamName, from: Offset, signal: AbortSignal): AsyncIterable<SourceMessage> {
    const { replica } = this.followedStream(stream).follower
    const { clock, heartbeatMilliseconds = defaultHeartbeatMilliseconds } = this.options
    let nextOffset = from
    let isFirstMessage = true
    while (!signal.aborted) {
      const relayed = replica.nextRelayMessage(nextOffset)
      if (relayed.isErr) throw new FailureError(relayed.error)
      const message = relayed.value
      if (message !== undefined) {
        yield message
        nextOffset = nextOffsetAfter(message, nextOffset)
      } else {
        // The first heartbeat is sent at once, so that the other host learns quickly whether this host responds.
        const hasMore = (): boolean => replica.buffer.nextOffset > nextOffset
        const isDue = isFirstMessage || !await replica.changes.waitUntilOrTimeout(heartbeatMilliseconds, clock, hasMore, signal)
        if (isDue) yield { kind: 'heartbeat', nextOffset: replica.nextOffset }
      }
      isFirstMessage = false
    }
  }

  private followedStream (stream: StreamName): FollowedStream {
    const followed = this.streams.get(stream)
    if (followed === undefined) throw new FailureError(failure('not_found', `this host does not follow stream ${stream}`))
    return followed
  }

  private createStream (
    projection: StreamProjection,
    countSkipped: (stream: StreamName, reason: string) => void
  ): FollowedStream {
    const { log, clock } = this.options
    const applyTimeoutMilliseconds = this.options.applyTimeoutMilliseconds ??
      streamApplyTimeoutMilliseconds[projection.stream] ?? defaultApplyTimeoutMilliseconds
    const submitter = new RecordSubmitter({ stream: projection.stream, log, clock, applyTimeoutMilliseconds })
    const follower = new StreamFollower({
      ...this.options,
      projection,
      onApplied: ({ offset, id }, outcome) => submitter.markApplied(id, { offset, outcome }),
      onSkipped: reason => countSkipped(projection.stream, reason)
    })
    return { follower, submitter }
  }

  private registerMetrics (): (stream: StreamName, reason: string) => void {
    const { metrics } = this.options
    if (metrics === undefined) return () => {}
    const skippedRecords = metrics.counter('stream_records_skipped_total', 'Records without effect.', ['stream', 'reason'])
    metrics.gauge('stream_through', 'Offset of the last applied record.', ['stream'], gauge => {
      for (const [stream, { follower }] of this.streams) gauge.set({ stream }, follower.through)
    })
    return (stream, reason) => skippedRecords.inc({ stream, reason })
  }
}

function nextOffsetAfter (message: SourceMessage, currentOffset: Offset): Offset {
  if (message.kind === 'snapshot') return toOffset(message.through + 1)
  const lastRecord = message.kind === 'records' ? message.records.at(-1) : undefined
  return lastRecord === undefined ? currentOffset : toOffset(lastRecord.offset + 1)
}
