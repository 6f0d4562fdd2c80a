/**
 * A host's replica of one stream, and the rules by which messages from a source change it (design section 4.1). It
 * tracks two offsets: `through` is the last record that the projection has applied, and `wantedOffset` is the next raw
 * record to receive. While the projection is paused before a record of a newer version, `wantedOffset` runs ahead of
 * `through`, because raw records are still relayed.
 */
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { ChangeNotifier, type Clock, failure, type Failure, noOffset, type Offset, toOffset } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { LogRecord } from '../clients/index.js'
import { parseRecord, parseSnapshot, type StreamState, streamStateSchema } from './parseRecord.js'
import { RecentIds } from './RecentIds.js'
import type { SourceMessage } from './RecordSource.js'
import { RelayBuffer, type RelayBufferOptions } from './RelayBuffer.js'
import { type ApplyOutcome, currentRecordVersion, type RecordHead, type StreamProjection } from './StreamProjection.js'

/** Progress of a replica. */
export type ReplicaStatus =
  /** The replica has not had a complete state yet. */
  | 'starting'
  /** The replica applies records as they arrive. */
  | 'following'
  /** The log no longer has the records between the state and the first readable record. */
  | 'gap'
  /** The projection is paused before a record of a newer version. */
  | 'newer_version'

/** What the caller must do after a message. */
export type ReceiveResult =
  /** Receive the next message from the same source. */
  | 'continue'
  /** Subscribe to a source again from `wantedOffset`, because records that were already received are needed again. */
  | 'follow_again'
  /** Switch to another source, because this one lacks records that are needed. */
  | 'source_lacks_records'

/** Called for each record that was passed to the projection; a `snapshot` record counts as accepted. */
export type AppliedListener = (record: { offset: Offset, id: string, kind: string }, outcome: ApplyOutcome) => void

/** Why a record was not passed to the projection or had no effect on it. */
export type SkipReason = 'corrupt' | 'duplicate' | 'rejected' | 'fold_error'

/** Limits of one relayed message; gRPC refuses messages larger than 4 MB. */
const maxRelayedRecords = 500
const maxRelayedBytes = 262_144

/** Options of a `StreamReplica`. */
export interface StreamReplicaOptions {
  projection: StreamProjection
  clock: Clock
  events: EventLog
  /** Limits of the relay buffer. */
  buffer?: RelayBufferOptions
  /** Called for each record that was passed to the projection. */
  onApplied?: AppliedListener
  /** Called for each record without effect. */
  onSkipped?: (reason: SkipReason) => void
}

/** Applies the messages of sources to one stream's projection, and keeps raw records for relaying. */
export class StreamReplica {
  readonly buffer: RelayBuffer
  /** Notified after every received message. */
  readonly changes = new ChangeNotifier()
  private readonly recentIds = new RecentIds()
  private appliedOffset = noOffset
  private nextRawOffset = toOffset(1)
  /** Offset that a snapshot must cover to resume the paused projection; undefined while the projection is not paused. */
  private requiredSnapshotOffset: Offset | undefined
  private pauseReason: 'gap' | 'newer_version' | undefined
  private knownStartOffset = toOffset(1)
  private knownNextOffset = toOffset(1)
  private hasCompleteState = false
  /** Next offset that the first source reported. The state is complete once all records before it are applied. */
  private readinessTarget: Offset | undefined
  private lastSnapshotRead: { offset: Offset, readAt: number } | undefined

  constructor (private readonly options: StreamReplicaOptions) {
    this.buffer = new RelayBuffer(options.buffer)
  }

  /** Offset of the last applied record. */
  get through (): Offset {
    return this.appliedOffset
  }

  get status (): ReplicaStatus {
    if (this.pauseReason !== undefined) return this.pauseReason
    return this.hasCompleteState ? 'following' : 'starting'
  }

  /** True once the replica has had a complete state; stays true during a later gap or pause. */
  get isReady (): boolean {
    return this.hasCompleteState
  }

  /** The failure with which this host must refuse to write to the stream now; undefined if writing is allowed. */
  get writeRefusal (): Failure | undefined {
    const stream = this.options.projection.stream
    return match(this.status)
      .with('following', () => undefined)
      .with('starting', () => failure('not_ready', `the state of stream ${stream} is not complete yet`))
      .with('gap', () => failure('not_ready', `the log no longer has all records of stream ${stream} after offset ${this.appliedOffset}`))
      .with('newer_version', () => failure('newer_version', `stream ${stream} has a record of a newer version after offset ${this.appliedOffset}`))
      .exhaustive()
  }

  /** First offset that the log retains; the highest that any source has reported. */
  get startOffset (): Offset {
    return this.knownStartOffset
  }

  /** Offset of the next append; the highest that any source has reported. */
  get nextOffset (): Offset {
    return this.knownNextOffset
  }

  /** The snapshot record that was read last, with the local monotonic time of reading it, in milliseconds. */
  get lastSnapshot (): { offset: Offset, readAt: number } | undefined {
    return this.lastSnapshotRead
  }

  /** Offset from which the next source must be followed. */
  wantedOffset (): Offset {
    return this.pauseReason === 'newer_version' ? this.nextRawOffset : toOffset(this.appliedOffset + 1)
  }

  /** The complete state at `through`. */
  state (): StreamState {
    return { version: currentRecordVersion, recentIds: this.recentIds.list(), fold: this.options.projection.snapshot() }
  }

  /** Must be called before the first message of another source. */
  switchSource (): void {
    this.nextRawOffset = this.wantedOffset()
  }

  /**
   * The next message for a host that follows this one and needs records starting at the given offset; undefined if
   * there is nothing to send yet. Errors: `not_ready` if this host lacks the records or the state that the other host
   * needs.
   */
  nextRelayMessage (from: Offset): Result<SourceMessage | undefined, Failure> {
    if (!this.hasCompleteState) return Result.err(failure('not_ready', 'this host has no complete state to relay yet'))
    if (from >= this.buffer.nextOffset) return Result.ok(undefined)
    if (this.buffer.covers(from)) {
      const records = this.buffer.slice(from, maxRelayedRecords, maxRelayedBytes)
      return Result.ok({ kind: 'records', startOffset: this.knownStartOffset, nextOffset: this.knownNextOffset, records })
    }
    if (this.appliedOffset >= from && this.buffer.covers(this.appliedOffset + 1)) {
      return Result.ok({ kind: 'snapshot', through: this.appliedOffset, state: this.state() })
    }
    return Result.err(failure('not_ready', `this host lacks records after offset ${this.appliedOffset}`))
  }

  /** Processes a message from the followed source. */
  receive (message: SourceMessage): ReceiveResult {
    const result = match(message)
      .with({ kind: 'records' }, records => this.receiveRecords(records))
      .with({ kind: 'snapshot' }, snapshot => this.receiveSnapshot(snapshot))
      .with({ kind: 'heartbeat' }, heartbeat => this.receiveHeartbeat(heartbeat))
      .exhaustive()
    this.updateReadiness()
    this.changes.notify()
    return result
  }

  private receiveRecords (message: Extract<SourceMessage, { kind: 'records' }>): ReceiveResult {
    this.advanceKnownNextOffset(message.nextOffset)
    this.knownStartOffset = toOffset(Math.max(this.knownStartOffset, message.startOffset))
    for (const record of message.records) {
      if (record.offset < this.nextRawOffset) continue
      if (record.offset > this.nextRawOffset && !this.skipExpired(record.offset, message.startOffset)) return 'source_lacks_records'
      if (this.receiveRawRecord(record) === 'follow_again') return 'follow_again'
    }
    if (message.records.length === 0 && message.startOffset > this.nextRawOffset) {
      this.skipExpired(message.startOffset, message.startOffset)
    }
    return this.resultAfterMessage(message.nextOffset)
  }

  private receiveHeartbeat (message: Extract<SourceMessage, { kind: 'heartbeat' }>): ReceiveResult {
    this.advanceKnownNextOffset(message.nextOffset)
    return this.resultAfterMessage(message.nextOffset)
  }

  private receiveSnapshot (message: Extract<SourceMessage, { kind: 'snapshot' }>): ReceiveResult {
    this.advanceKnownNextOffset(toOffset(message.through + 1))
    if (message.through <= this.appliedOffset) return 'continue'
    if (message.through < (this.requiredSnapshotOffset ?? 0)) return 'source_lacks_records'
    const state = streamStateSchema.safeParse(message.state)
    if (!state.success || state.data.version > currentRecordVersion) return 'source_lacks_records'
    if (!this.restore(state.data, message.through)) return 'source_lacks_records'
    // An incomplete replay is no problem here: the source sends the records after `through` next.
    this.replayBuffer()
    return 'continue'
  }

  /** Reports `source_lacks_records` if a source has sent all its records and the replica still has a gap. */
  private resultAfterMessage (sourceNextOffset: Offset): ReceiveResult {
    return this.pauseReason === 'gap' && this.nextRawOffset >= sourceNextOffset ? 'source_lacks_records' : 'continue'
  }

  private advanceKnownNextOffset (nextOffset: Offset): void {
    this.knownNextOffset = toOffset(Math.max(this.knownNextOffset, nextOffset))
    this.readinessTarget ??= nextOffset
  }

  private updateReadiness (): void {
    if (this.hasCompleteState || this.readinessTarget === undefined) return
    const isCaughtUp = this.pauseReason === undefined && this.appliedOffset + 1 >= this.readinessTarget
    const isPausedAtNewerVersion = this.pauseReason === 'newer_version' && this.appliedOffset > 0
    this.hasCompleteState = isCaughtUp || isPausedAtNewerVersion
  }

  /**
   * Continues with raw records at a later offset if the log no longer has the records before it. Returns false if the
   * log still has them, which means that only this source lacks them.
   */
  private skipExpired (offset: Offset, startOffset: Offset): boolean {
    if (startOffset <= this.nextRawOffset) return false
    this.requiredSnapshotOffset = toOffset(Math.max(this.requiredSnapshotOffset ?? 0, offset - 1))
    this.nextRawOffset = offset
    this.buffer.reset(offset)
    if (this.pauseReason !== 'gap') {
      this.options.events.warn('stream_gap', { stream: this.options.projection.stream, offset: this.appliedOffset, reason: `first readable offset ${offset}` })
    }
    this.pauseReason ??= 'gap'
    return true
  }

  private receiveRawRecord (record: LogRecord): 'done' | 'follow_again' {
    this.buffer.push(record)
    this.nextRawOffset = toOffset(record.offset + 1)
    // The source that is followed now still had the missing records.
    if (this.pauseReason === 'gap' && record.offset === this.appliedOffset + 1) this.resume()
    if (this.pauseReason !== undefined) return this.restoreFromRecord(record)
    if (record.offset === this.appliedOffset + 1) this.apply(record)
    return 'done'
  }

  /** Resumes a paused projection if the record is a snapshot that covers all records that cannot be applied. */
  private restoreFromRecord (record: LogRecord): 'done' | 'follow_again' {
    const parsed = parseRecord(record.value)
    if (parsed.kind !== 'record' || parsed.value.kind !== 'snapshot') return 'done'
    const snapshot = parseSnapshot(record.offset, parsed.value)
    if (snapshot === undefined || snapshot.through < (this.requiredSnapshotOffset ?? 0)) return 'done'
    if (!this.restore(snapshot.state, snapshot.through)) return 'done'
    this.recordSnapshotRead(record.offset)
    return this.replayBuffer() === 'complete' ? 'done' : 'follow_again'
  }

  private restore (state: StreamState, through: Offset): boolean {
    const stream = this.options.projection.stream
    const restored = this.options.projection.restore(state.fold, through)
    if (restored.isErr) {
      this.options.events.warn('stream_snapshot_refused', { stream, offset: through, reason: restored.error.message })
      return false
    }
    this.recentIds.restore(state.recentIds)
    this.appliedOffset = through
    this.resume()
    this.options.events.info('stream_restored', { stream, offset: through })
    return true
  }

  private resume (): void {
    this.pauseReason = undefined
    this.requiredSnapshotOffset = undefined
  }

  /** Applies buffered records after a snapshot was restored. Returns `incomplete` if some of them are no longer buffered. */
  private replayBuffer (): 'complete' | 'incomplete' {
    if (!this.buffer.covers(this.appliedOffset + 1)) {
      this.buffer.reset(this.appliedOffset + 1)
      this.nextRawOffset = toOffset(this.appliedOffset + 1)
      return 'incomplete'
    }
    for (const record of this.buffer.slice(this.appliedOffset + 1, Infinity, Infinity)) {
      if (this.pauseReason !== undefined) break
      this.apply(record)
    }
    this.nextRawOffset = toOffset(Math.max(this.nextRawOffset, this.appliedOffset + 1))
    return 'complete'
  }

  private apply (record: LogRecord): void {
    const parsed = parseRecord(record.value)
    if (parsed.kind === 'newer') {
      this.pauseBefore(record.offset, parsed.version)
      return
    }
    this.appliedOffset = record.offset
    if (parsed.kind === 'corrupt') {
      this.reportSkipped(record.offset, 'corrupt', parsed.reason)
      return
    }
    const { id, kind } = parsed.value
    if (this.recentIds.has(id)) {
      this.reportSkipped(record.offset, 'duplicate', `id ${id}`)
      return
    }
    this.recentIds.add(id)
    const outcome = this.applyToProjection(record, parsed.value)
    if (!outcome.accepted) this.reportSkipped(record.offset, outcome.failure.kind === 'internal' ? 'fold_error' : 'rejected', outcome.failure.message)
    this.options.onApplied?.({ offset: record.offset, id, kind }, outcome)
  }

  private applyToProjection (record: LogRecord, value: RecordHead & Record<string, unknown>): ApplyOutcome {
    if (value.kind === 'snapshot') {
      this.recordSnapshotRead(record.offset)
      return { accepted: true }
    }
    try {
      return this.options.projection.apply({ offset: record.offset, at: record.at, value })
    } catch (caught) {
      // The projection throws on every host alike. Skipping the record prevents one such record from stopping all hosts for good.
      return { accepted: false, failure: failure('internal', (caught as Error).message) }
    }
  }

  private pauseBefore (offset: Offset, version: number): void {
    this.pauseReason = 'newer_version'
    this.requiredSnapshotOffset = offset
    this.options.events.warn('stream_newer_version', { stream: this.options.projection.stream, offset, reason: `version ${version}` })
  }

  private recordSnapshotRead (offset: Offset): void {
    this.lastSnapshotRead = { offset, readAt: this.options.clock.monotonic() }
  }

  private reportSkipped (offset: Offset, reason: SkipReason, message: string): void {
    this.options.onSkipped?.(reason)
    const level = reason === 'rejected' ? 'debug' : 'warn'
    this.options.events[level]('record_skipped', { stream: this.options.projection.stream, offset, kind: reason, reason: message })
  }
}
