/**
 * Reads the usage ledger from the log for usage statements. The stream `use` carries far more data than the other
 * streams, so a host starts to follow it only when the first statement is requested, or when the host gains the lease
 * whose holder writes the snapshots: without snapshots, a host that starts after records have expired could not know
 * the totals.
 */
import { Result } from 'true-myth'
import type { UsageStatement } from '../administration/index.js'
import { type Clock, failure, type Failure, failureOf, type FencingNumber, type Offset, type Owner, Task, type Team, toOffset } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { LogClient } from '../clients/index.js'
import { FollowerGroup, LogSource, SnapshotWriter, type StreamFollower } from '../streams/index.js'
import { UsageLedgerProjection, type UsageTotal } from '../usage/index.js'

/** Options of a `UsageReader`. */
export interface UsageReaderOptions {
  log: LogClient
  clock: Clock
  events: EventLog
  /** This host's authority to write snapshots; undefined if it does not hold the lease. */
  snapshotAuthority: () => { fencingNumber: FencingNumber } | undefined
  /** How long the log retains records, in milliseconds. */
  retentionMilliseconds: number
}

/** Interval of the checks whether this host has gained the lease for snapshots, in milliseconds. */
const leaseCheckMilliseconds = 1000

/**
 * Maximum time in milliseconds in which a statement reads the stream to its end. A host that has to read all retained
 * records first answers `not_ready` and continues to read.
 */
const maxReadMilliseconds = 10_000

/** Follows the usage ledger and creates usage statements from it. */
export class UsageReader {
  /** Follows only the stream `use`. */
  readonly followers: FollowerGroup
  private readonly projection = new UsageLedgerProjection()
  private readonly snapshotWriter: SnapshotWriter
  private snapshotTask: Task | undefined
  private hasStarted = false

  constructor (private readonly options: UsageReaderOptions) {
    const { log, clock, events, snapshotAuthority, retentionMilliseconds } = options
    const source = new LogSource({ log, clock })
    this.followers = new FollowerGroup({
      projections: [this.projection], directory: { sources: () => [source] }, log, clock, events
    })
    this.snapshotWriter = new SnapshotWriter({
      followers: this.followers, log, authority: snapshotAuthority, clock, events, retentionMilliseconds
    })
  }

  /** Starts to follow the stream. Further calls have no effect. */
  start (): void {
    if (this.hasStarted) return
    this.hasStarted = true
    this.followers.start()
  }

  /** Starts to write snapshots of the ledger whenever this host holds the lease for them. */
  startSnapshots (): void {
    this.snapshotTask ??= Task.start(signal => this.followOnceAuthorized(signal), error => {
      this.options.events.error('snapshot_writer_failed', { stream: 'use', reason: failureOf(error).message })
    })
    this.snapshotWriter.start()
  }

  /** Stops writing snapshots; must be called before this host releases the lease. */
  async stopSnapshots (): Promise<void> {
    await Promise.all([this.snapshotTask?.stop(), this.snapshotWriter.stop()])
  }

  /**
   * Reads the stream to its current end and returns the usage of one owner, or of all. Errors: `platform_unavailable`,
   * `not_ready` if records have expired that this host would need, or if it has not read all records yet.
   */
  async statement (owner?: Owner): Promise<Result<UsageStatement, Failure>> {
    this.start()
    const endOfLog = await this.options.log.read('use', { from: this.through, limit: 1, waitMilliseconds: 0 })
    if (endOfLog.isErr) return Result.err(endOfLog.error)
    const incomplete = await this.readThrough(toOffset(endOfLog.value.nextOffset - 1))
    if (incomplete !== undefined) return Result.err(incomplete)
    const { from, until, totals } = this.projection.view()
    return Result.ok({
      through: this.through,
      ...(from === undefined ? {} : { from }),
      ...(until === undefined ? {} : { until }),
      lines: totals.filter(total => owner === undefined || total.owner === owner).map(statementLineOf)
    })
  }

  /** Stops following the stream. */
  async stop (): Promise<void> {
    if (this.hasStarted) await this.followers.stop()
  }

  private async followOnceAuthorized (signal: AbortSignal): Promise<void> {
    while (!signal.aborted && this.options.snapshotAuthority() === undefined) {
      await this.options.clock.sleep(leaseCheckMilliseconds, signal)
    }
    if (!signal.aborted) this.start()
  }

  /** Waits until the record at the offset is applied; returns the reason if that did not happen in time. */
  private async readThrough (offset: Offset): Promise<Failure | undefined> {
    const { replica } = this.follower
    const isApplied = (): boolean => this.through >= offset
    await replica.changes.waitUntilOrTimeout(maxReadMilliseconds, this.options.clock, isApplied)
    if (isApplied()) return undefined
    return replica.writeRefusal ?? failure('not_ready', `this host has read stream use only up to offset ${this.through} of ${offset}`)
  }

  private get follower (): StreamFollower {
    return this.followers.follower('use')!
  }

  private get through (): Offset {
    return this.follower.through
  }
}

function statementLineOf ({ owner, team, model, ...counts }: UsageTotal): UsageStatement['lines'][number] {
  return { owner: owner as Owner, team: team as Team, subject: model, ...counts }
}
