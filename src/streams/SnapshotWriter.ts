/**
 * Writes snapshots into the streams while this host holds the lease `snapshots` (design section 4.1). A former
 * holder that still writes one does no harm: whether a snapshot is used depends on its `through` alone.
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
  /** The log, asked for the head of a stream before each snapshot. */
  log: LogClient
  /** This host's authority for the lease `snapshots`, asked anew before each step. */
  authority: () => { fencingNumber: FencingNumber } | undefined
  clock: Clock
  events: EventLog
  /** How long the log keeps records; a snapshot is written after a third of it. */
  retentionMilliseconds: number
  /** Most records of a stream after its last snapshot. Default: 1,000. */
  maxRecords?: number
  /** Time between checks, and so the longest delay after the lease was gained. Default: 1,000. */
  checkMilliseconds?: number
}

const defaultMaxRecords = 1000
const defaultCheckMilliseconds = 1000

/** Makes a snapshot record. `restore` of the command line writes one for a state that an operator exported. */
export function snapshotRecordOf (through: Offset, state: StreamState): NewRecord {
  return { kind: 'snapshot', through, state }
}

/** The snapshot writer of a host. */
export class SnapshotWriter {
  private task: Task | undefined
  /** The fencing number under which this host last wrote a snapshot of each stream. */
  private readonly writtenUnder = new Map<StreamFollower, FencingNumber>()

  constructor (private readonly options: SnapshotWriterOptions) {}

  /** Starts to check. */
  start (): void {
    this.task ??= Task.start(signal => this.run(signal), error => {
      this.options.events.error('snapshot_writer_failed', { reason: failureOf(error).message })
    })
  }

  /** Stops; a snapshot that is being written is finished first. */
  async stop (): Promise<void> {
    await this.task?.stop()
  }

  private async run (signal: AbortSignal): Promise<void> {
    const { clock, followers, checkMilliseconds = defaultCheckMilliseconds } = this.options
    while (!signal.aborted) {
      await Promise.all(followers.followers().map(follower => this.check(follower)))
      await clock.sleep(checkMilliseconds, signal)
    }
  }

  private async check (follower: StreamFollower): Promise<void> {
    if (!this.isDue(follower) || !await this.hasAppliedAll(follower)) return
    // The lease can have been lost, and the reader can have met a gap, while the log was asked.
    const authority = this.options.authority()
    if (authority === undefined || follower.replica.writeObstacle !== undefined) return
    const record = snapshotRecordOf(follower.through, follower.replica.state())
    const submitted = await this.options.followers.submit(follower.stream, record)
    if (submitted.isErr) {
      const { kind, message } = submitted.error
      this.options.events.warn('snapshot_failed', { stream: follower.stream, kind, reason: message })
      return
    }
    this.writtenUnder.set(follower, authority.fencingNumber)
    this.options.events.info('snapshot_written', { stream: follower.stream, offset: submitted.value.offset })
  }

  private isDue (follower: StreamFollower): boolean {
    const authority = this.options.authority()
    if (authority === undefined || follower.through === 0 || follower.replica.writeObstacle !== undefined) return false
    const last = follower.replica.lastSnapshot
    if (last === undefined || this.writtenUnder.get(follower) !== authority.fencingNumber) return true
    const { clock, retentionMilliseconds, maxRecords = defaultMaxRecords } = this.options
    if (follower.through - last.offset >= maxRecords) return true
    return clock.monotonic() - last.readAt >= retentionMilliseconds / 3
  }

  /** Asks the log itself, since a relay can lag without showing it. */
  private async hasAppliedAll (follower: StreamFollower): Promise<boolean> {
    const from = follower.replica.wanted()
    const page = await this.options.log.read(follower.stream, { from, limit: 1, waitMilliseconds: 0 })
    return page.isOk && follower.through >= page.value.nextOffset - 1
  }
}
