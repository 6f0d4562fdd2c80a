/**
 * The state of one stream's reader and the rules by which messages of a source change it (design section
 * 4.1). It has two positions. `through` is the last record that the fold has applied. `wanted` is the next
 * raw record; it runs ahead of `through` while the fold is paused, since raw records are relayed all the same.
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
import { type ApplyOutcome, currentRecordVersion, type RecordHead, type StreamFold } from './StreamFold.js'

/** How far a reader is. */
export type ReplicaStatus =
  /** No state yet. */
  | 'starting'
  /** Applies records as they come. */
  | 'following'
  /** Records between the state and the first readable record are missing. */
  | 'gap'
  /** Stands before a record of a newer version. */
  | 'newer_version'

/** What the caller has to do after a message. */
export type ReceiveResult =
  /** Take the next message. */
  | 'continue'
  /** Follow a source anew from `wanted`, since records before it are needed again. */
  | 'follow_again'
  /** Turn to another source: this one lacks what is needed. */
  | 'source_lacks_records'

/** Called for each record that reached the fold. */
export type AppliedListener = (record: { offset: Offset, id: string, kind: string }, outcome: ApplyOutcome) => void

/** Why a record was not given to the fold or had no effect there. */
export type SkipReason = 'corrupt' | 'duplicate' | 'rejected' | 'fold_error'

/** Limits of one relayed message; gRPC refuses messages of more than 4 MB. */
const maxRelayedRecords = 500
const maxRelayedBytes = 262_144

/** Options of a `StreamReplica`. */
export interface StreamReplicaOptions {
  fold: StreamFold
  clock: Clock
  events: EventLog
  /** Limits of the relay buffer. */
  buffer?: RelayBufferOptions
  /** Called for each record that reached the fold. */
  onApplied?: AppliedListener
  /** Called for each record without effect. */
  onSkipped?: (reason: SkipReason) => void
}

/** Reader state of one stream. */
export class StreamReplica {
  readonly buffer: RelayBuffer
  /** Announces every change of this object. */
  readonly changes = new ChangeNotifier()
  private readonly recentIds = new RecentIds()
  private applied = noOffset
  private nextRaw = toOffset(1)
  /** A snapshot must cover this offset before the fold can go on; undefined while the fold is not held up. */
  private neededThrough: Offset | undefined
  private hold: 'gap' | 'newer_version' | undefined
  private knownStart = toOffset(1)
  private knownNext = toOffset(1)
  private hasState = false
  /** Head of the stream when the first source answered; the state counts as present from there on. */
  private startTarget: Offset | undefined
  private snapshotSeen: { offset: Offset, readAt: number } | undefined

  constructor (private readonly options: StreamReplicaOptions) {
    this.buffer = new RelayBuffer(options.buffer)
  }

  /** Last applied offset. */
  get through (): Offset {
    return this.applied
  }

  get status (): ReplicaStatus {
    if (this.hold !== undefined) return this.hold
    return this.hasState ? 'following' : 'starting'
  }

  /** True once the reader has had a complete state; a later gap or pause leaves it true. */
  get isReady (): boolean {
    return this.hasState
  }

  /** Why this host may not write to the stream now; undefined if it may. */
  get writeObstacle (): Failure | undefined {
    const stream = this.options.fold.stream
    return match(this.status)
      .with('following', () => undefined)
      .with('starting', () => failure('not_ready', `the state of stream ${stream} is not complete yet`))
      .with('gap', () => failure('not_ready', `records of stream ${stream} after ${this.applied} were missed`))
      .with('newer_version', () => failure('newer_version', `stream ${stream} has a newer record after ${this.applied}`))
      .exhaustive()
  }

  /** First retained offset of the log, as far as known. */
  get startOffset (): Offset {
    return this.knownStart
  }

  /** Offset of the next append, as far as known. */
  get nextOffset (): Offset {
    return this.knownNext
  }

  /** The last snapshot record read, with the local monotonic time of reading it. */
  get lastSnapshot (): { offset: Offset, readAt: number } | undefined {
    return this.snapshotSeen
  }

  /** The offset from which a source has to be followed now. */
  wanted (): Offset {
    return this.hold === 'newer_version' ? this.nextRaw : toOffset(this.applied + 1)
  }

  /** The whole state as it stands at `through`. */
  state (): StreamState {
    return { version: currentRecordVersion, recentIds: this.recentIds.list(), fold: this.options.fold.snapshot() }
  }

  /** Has to be called before the first message of another source. */
  beginSource (): void {
    this.nextRaw = this.wanted()
  }

  /**
   * The next message for a host that follows this one and wants records from the given offset on; undefined
   * if there is nothing to send yet. Errors: `not_ready` if this host lacks what the other one needs.
   */
  relay (from: Offset): Result<SourceMessage | undefined, Failure> {
    if (!this.hasState) return Result.err(failure('not_ready', 'this host has no state to relay'))
    if (from >= this.buffer.nextOffset) return Result.ok(undefined)
    if (this.buffer.covers(from)) {
      const records = this.buffer.slice(from, maxRelayedRecords, maxRelayedBytes)
      return Result.ok({ kind: 'records', startOffset: this.knownStart, nextOffset: this.knownNext, records })
    }
    if (this.applied >= from && this.buffer.covers(this.applied + 1)) {
      return Result.ok({ kind: 'snapshot', through: this.applied, state: this.state() })
    }
    return Result.err(failure('not_ready', `this host lacks records after ${this.applied}`))
  }

  /** Takes a message of the followed source. */
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
    this.noteHead(message.nextOffset)
    this.knownStart = toOffset(Math.max(this.knownStart, message.startOffset))
    for (const record of message.records) {
      if (record.offset < this.nextRaw) continue
      if (record.offset > this.nextRaw && !this.skipTo(record.offset, message.startOffset)) return 'source_lacks_records'
      if (this.takeRaw(record) === 'follow_again') return 'follow_again'
    }
    if (message.records.length === 0 && message.startOffset > this.nextRaw) this.skipTo(message.startOffset, message.startOffset)
    return this.resultAtEnd(message.nextOffset)
  }

  private receiveHeartbeat (message: Extract<SourceMessage, { kind: 'heartbeat' }>): ReceiveResult {
    this.noteHead(message.nextOffset)
    return this.resultAtEnd(message.nextOffset)
  }

  private receiveSnapshot (message: Extract<SourceMessage, { kind: 'snapshot' }>): ReceiveResult {
    this.noteHead(toOffset(message.through + 1))
    if (message.through <= this.applied) return 'continue'
    if (message.through < (this.neededThrough ?? 0)) return 'source_lacks_records'
    const state = streamStateSchema.safeParse(message.state)
    if (!state.success || state.data.version > currentRecordVersion) return 'source_lacks_records'
    if (!this.restore(state.data, message.through)) return 'source_lacks_records'
    // The source itself goes on after `through`, so records that are not buffered follow.
    this.replay()
    return 'continue'
  }

  /** A source that has sent all it has and left a gap open cannot help. */
  private resultAtEnd (sourceNext: Offset): ReceiveResult {
    return this.hold === 'gap' && this.nextRaw >= sourceNext ? 'source_lacks_records' : 'continue'
  }

  private noteHead (nextOffset: Offset): void {
    this.knownNext = toOffset(Math.max(this.knownNext, nextOffset))
    this.startTarget ??= nextOffset
  }

  private updateReadiness (): void {
    if (this.hasState || this.startTarget === undefined) return
    const isCaughtUp = this.hold === undefined && this.applied + 1 >= this.startTarget
    const standsBeforeNewer = this.hold === 'newer_version' && this.applied > 0
    this.hasState = isCaughtUp || standsBeforeNewer
  }

  /**
   * Goes on with raw records at a later offset because the log no longer has those between. False if the log
   * still has them, so that only this source lacks them.
   */
  private skipTo (offset: Offset, startOffset: Offset): boolean {
    if (startOffset <= this.nextRaw) return false
    this.neededThrough = toOffset(Math.max(this.neededThrough ?? 0, offset - 1))
    this.nextRaw = offset
    this.buffer.reset(offset)
    if (this.hold !== 'gap') {
      this.options.events.warn('stream_gap', { stream: this.options.fold.stream, offset: this.applied, reason: `first readable offset ${offset}` })
    }
    this.hold ??= 'gap'
    return true
  }

  private takeRaw (record: LogRecord): 'done' | 'follow_again' {
    this.buffer.push(record)
    this.nextRaw = toOffset(record.offset + 1)
    // Another source still had the missing records.
    if (this.hold === 'gap' && record.offset === this.applied + 1) this.release()
    if (this.hold !== undefined) return this.trySnapshotRecord(record)
    if (record.offset === this.applied + 1) this.apply(record)
    return 'done'
  }

  /** While the fold is held up, only a snapshot that covers all that cannot be applied lets it go on. */
  private trySnapshotRecord (record: LogRecord): 'done' | 'follow_again' {
    const parsed = parseRecord(record.value)
    if (parsed.kind !== 'record' || parsed.value.kind !== 'snapshot') return 'done'
    const snapshot = parseSnapshot(record.offset, parsed.value)
    if (snapshot === undefined || snapshot.through < (this.neededThrough ?? 0)) return 'done'
    if (!this.restore(snapshot.state, snapshot.through)) return 'done'
    this.noteSnapshot(record.offset)
    return this.replay() === 'complete' ? 'done' : 'follow_again'
  }

  private restore (state: StreamState, through: Offset): boolean {
    const stream = this.options.fold.stream
    const restored = this.options.fold.restore(state.fold, through)
    if (restored.isErr) {
      this.options.events.warn('stream_snapshot_refused', { stream, offset: through, reason: restored.error.message })
      return false
    }
    this.recentIds.restore(state.recentIds)
    this.applied = through
    this.release()
    this.options.events.info('stream_restored', { stream, offset: through })
    return true
  }

  private release (): void {
    this.hold = undefined
    this.neededThrough = undefined
  }

  /** Applies buffered records after a snapshot. `incomplete` if some of them are no longer buffered. */
  private replay (): 'complete' | 'incomplete' {
    if (!this.buffer.covers(this.applied + 1)) {
      this.buffer.reset(this.applied + 1)
      this.nextRaw = toOffset(this.applied + 1)
      return 'incomplete'
    }
    for (const record of this.buffer.slice(this.applied + 1, Infinity, Infinity)) {
      if (this.hold !== undefined) break
      this.apply(record)
    }
    this.nextRaw = toOffset(Math.max(this.nextRaw, this.applied + 1))
    return 'complete'
  }

  private apply (record: LogRecord): void {
    const parsed = parseRecord(record.value)
    if (parsed.kind === 'newer') {
      this.pauseBefore(record.offset, parsed.version)
      return
    }
    this.applied = record.offset
    if (parsed.kind === 'corrupt') {
      this.skip(record.offset, 'corrupt', parsed.reason)
      return
    }
    const { id, kind } = parsed.value
    if (this.recentIds.has(id)) {
      this.skip(record.offset, 'duplicate', `id ${id}`)
      return
    }
    this.recentIds.add(id)
    const outcome = this.outcomeOf(record, parsed.value)
    if (!outcome.accepted) this.skip(record.offset, outcome.failure.kind === 'internal' ? 'fold_error' : 'rejected', outcome.failure.message)
    this.options.onApplied?.({ offset: record.offset, id, kind }, outcome)
  }

  private outcomeOf (record: LogRecord, value: RecordHead & Record<string, unknown>): ApplyOutcome {
    if (value.kind === 'snapshot') {
      this.noteSnapshot(record.offset)
      return { accepted: true }
    }
    try {
      return this.options.fold.apply({ offset: record.offset, at: record.at, value })
    } catch (caught) {
      // A fault of the fold is the same on every reader and must not stop any of them for good.
      return { accepted: false, failure: failure('internal', (caught as Error).message) }
    }
  }

  private pauseBefore (offset: Offset, version: number): void {
    this.hold = 'newer_version'
    this.neededThrough = offset
    this.options.events.warn('stream_newer_version', { stream: this.options.fold.stream, offset, reason: `version ${version}` })
  }

  private noteSnapshot (offset: Offset): void {
    this.snapshotSeen = { offset, readAt: this.options.clock.monotonic() }
  }

  private skip (offset: Offset, reason: SkipReason, message: string): void {
    this.options.onSkipped?.(reason)
    const level = reason === 'rejected' ? 'debug' : 'warn'
    this.options.events[level]('record_skipped', { stream: this.options.fold.stream, offset, kind: reason, reason: message })
  }
}
