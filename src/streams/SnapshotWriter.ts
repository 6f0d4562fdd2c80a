/**
 * Writes snapshots into the streams while this host holds the lease `snapshots` (design section 4.1). A snapshot that
 * a former holder still writes is harmless, because whether hosts use a snapshot depends on its `through` alone and not
 * on who wrote it.
 */
import { type Clock, failureOf, type FencingNumber, type Offset, Task } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { LogClient } from '../clients/index.js'
import type { FollowerGroup } from './FollowerGroup.js'
import type { StreamState } from './parseRecord.js'
import type { NewRecord } from './RecordWriter.js'
import type { StreamFollower } from './StreamFollower.js'

/** Options of a `SnapshotWriter`. Times are in milliseconds. */
export interface SnapshotWriterOptions {
  followers: FollowerGroup
  /** The log, whose next offset is read before each snapshot. */
  log: LogClient
  /** This host's authority for the lease `snapshots`; undefined if it does not hold the lease. Called before each step. */
  authority: () => { fencingNumber: FencingNumber } | undefined
  clock: Clock
  events: EventLog
  /** How long the log retains records. A snapshot is written when a third of it has passed since the last one. */
  retentionMilliseconds: number
  /** Number of records after the last snapshot at which the next one is written. Default: 1,000. */
  maxRecords?: number
  /** Interval of the checks whether a snapshot is due; also the maximum delay after the lease was gained. Default: 1,000. */
  checkIntervalMilliseconds?: number
}

const defaultMaxRecords = 1000
const defaultCheckIntervalMilliseconds = 1000

/** Creates a snapshot record. The command `restore` also writes one, from a state that an operator exported. */
export function snapshotRecordOf (through: Offset, state: StreamState): NewRecord {
  return { kind: 'snapshot', through, state }
}

/** Writes the snapshots of all streams that a host follows. */
export class SnapshotWriter {
  private task: Task | undefined
  /** Fencing number of the lease under which this host last wrote a snapshot, by the follower of the stream. */
  private readonly lastFencingNumbers = new Map<StreamFollower, FencingNumber>()

  constructor (private readonly options: SnapshotWriterOptions) {}

  /** Starts the periodic checks. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('snapshot_writer_failed', { reason: failureOf(error).message })
    })
  }

  /** Stops the checks; a snapshot that is being written is finished first. */
  async stop (): Promise<void> {
    await this.task?.stop()
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock, followers, checkIntervalMilliseconds = defaultCheckIntervalMilliseconds } = this.options
    while (!signal.aborted) {
      await Promise.all(followers.followers().map(follower => this.writeIfDue(follower)))
      await clock.sleep(checkIntervalMilliseconds, signal)
    }
  }

  private async writeIfDue (follower: StreamFollower): Promise<void> {
    if (!this.isDue(follower) || !await this.hasAppliedAll(follower)) return
    // While the log was read, this host can have lost the lease and the replica can have run into a gap.
    const authority = this.options.authority()
    if (authority === undefined || follower.replica.writeRefusal !== undefined) return
    const record = snapshotRecordOf(follower.through, follower.replica.state())
    const submitted = await this.options.followers.submit(follower.stream, record)
    if (submitted.isErr) {
      const { kind, message } = submitted.error
      this.options.events.warn('snapshot_failed', { stream: follower.stream, kind, reason: message })
      return
    }
    this.lastFencingNumbers.set(follower, authority.fencingNumber)
    this.options.events.info('snapshot_written', { stream: follower.stream, offset: submitted.value.offset })
  }

  private isDue (follower: StreamFollower): boolean {
    const authority = this.options.authority()
    if (authority === undefined || follower.through === 0 || follower.replica.writeRefusal !== undefined) return false
    const lastSnapshot = follower.replica.lastSnapshot
    if (lastSnapshot === undefined || this.lastFencingNumbers.get(follower) !== authority.fencingNumber) return true
    const { clock, retentionMilliseconds, maxRecords = defaultMaxRecords } = this.options
    if (follower.through - lastSnapshot.offset >= maxRecords) return true
    return clock.monotonic() - lastSnapshot.readAt >= retentionMilliseconds / 3
  }

  /** Compares with the next offset of the log itself, because a relaying host can lag without reporting the lag. */
  private async hasAppliedAll (follower: StreamFollower): Promise<boolean> {
    const from = follower.replica.wantedOffset()
    const page = await this.options.log.read(follower.stream, { from, limit: 1, waitMilliseconds: 0 })
    return page.isOk && follower.through >= page.value.nextOffset - 1
  }
}
