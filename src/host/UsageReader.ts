/**
 * Reads the usage ledger from the log when somebody asks for it. The stream `use` carries much more than the
 * other streams, so hosts do not follow it all the time; this one follows it from the first question on.
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

/** The ledger of this host's operators. */
export class UsageReader {
  /** The followers of the stream `use`; snapshots of the ledger are written through them. */
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

  /** Starts to follow the stream. Calling it again does nothing. */
  start (): void {
    if (this.hasStarted) return
    this.hasStarted = true
    this.followers.start()
  }

  /** Reads up to the end of the log and reports. Errors: `platform_unavailable`. */
  async statement (owner?: Owner): Promise<Result<UsageStatement, Failure>> {
    this.start()
    const end = await this.options.log.read('use', { from: this.through, limit: 1, waitMilliseconds: 0 })
    if (end.isErr) return Result.err(end.error)
    await this.followers.waitUntilApplied('use', (end.value.nextOffset - 1) as typeof end.value.nextOffset)
    const { from, until, totals } = this.projection.view()
    return Result.ok({
      through: this.through,
      ...(from === undefined ? {} : { from }),
      ...(until === undefined ? {} : { until }),
      lines: totals.filter(total => owner === undefined || total.owner === owner).map(lineOf)
    })
  }

  /** Stops following. */
  async stop (): Promise<void> {
    if (this.hasStarted) await this.followers.stop()
  }

  private get through () {
    return this.followers.follower('use')!.through
  }
}

function lineOf ({ owner, team, model, ...counts }: UsageTotal): UsageStatement['lines'][number] {
  return { owner: owner as Owner, team: team as Team, subject: model, ...counts }
}
