/**
 * Reads the usage ledger from the log for usage statements. The stream `use` carries far more data than the other
 * streams, so a host starts to follow it only when the first statement is requested.
 */
import { Result } from 'true-myth'
import type { UsageStatement } from '../administration/index.js'
import type { Clock, Failure, Owner, Team } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { LogClient } from '../clients/index.js'
import { FollowerGroup, LogSource } from '../streams/index.js'
import { UsageLedgerProjection, type UsageTotal } from '../usage/index.js'

/** Options of a `UsageReader`. */
export interface UsageReaderOptions {
  log: LogClient
  clock: Clock
  events: EventLog
}

/** Follows the usage ledger and creates usage statements from it. */
export class UsageReader {
  /** Follows only the stream `use`. */
  readonly followers: FollowerGroup
  private readonly projection = new UsageLedgerProjection()
  private hasStarted = false

  constructor (private readonly options: UsageReaderOptions) {
    const { log, clock, events } = options
    const source = new LogSource({ log, clock })
    this.followers = new FollowerGroup({
      projections: [this.projection], directory: { sources: () => [source] }, log, clock, events
    })
  }

  /** Starts to follow the stream. Further calls have no effect. */
  start (): void {
    if (this.hasStarted) return
    this.hasStarted = true
    this.followers.start()
  }

  /** Reads the stream to its current end and returns the usage of one owner, or of all. Errors: `platform_unavailable`. */
  async statement (owner?: Owner): Promise<Result<UsageStatement, Failure>> {
    this.start()
    const endOfLog = await this.options.log.read('use', { from: this.through, limit: 1, waitMilliseconds: 0 })
    if (endOfLog.isErr) return Result.err(endOfLog.error)
    await this.followers.waitUntilApplied('use', (endOfLog.value.nextOffset - 1) as typeof endOfLog.value.nextOffset)
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

  private get through () {
    return this.followers.follower('use')!.through
  }
}

function statementLineOf ({ owner, team, model, ...counts }: UsageTotal): UsageStatement['lines'][number] {
  return { owner: owner as Owner, team: team as Team, subject: model, ...counts }
}
