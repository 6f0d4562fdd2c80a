/**
 * Asks the scheduler of a worker's cell for permits. While that host does not answer, it is not asked for a moment, so
 * that requests are not held up.
 */
import { Result } from 'true-myth'
import { type Clock, failure, type Failure } from '../common/index.js'
import { type PermitDecision, PermitClient, type PermitRequest } from '../limits/index.js'
import { cellOf } from '../placement/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'
import type { PeerSchedulerClient } from './PeerSchedulerClient.js'

/** Options of a `SchedulerPermitClient`. */
export interface SchedulerPermitClientOptions {
  client: PeerSchedulerClient
  upstreams: UpstreamManager
  clock: Clock
}

/** Time for which a host that did not answer is not asked again, in milliseconds. */
const failedMilliseconds = 500

/** Obtains permits through the connections to the schedulers. */
export class SchedulerPermitClient extends PermitClient {
  private avoidedUntil = -Infinity

  constructor (private readonly options: SchedulerPermitClientOptions) {
    super()
  }

  get sharingHosts (): number | undefined {
    return this.options.client.sharingHosts
  }

  async request (
    workers: readonly Upstream[],
    request: Omit<PermitRequest, 'workers'>,
    signal: AbortSignal
  ): Promise<Result<PermitDecision, Failure>> {
    const { client, clock } = this.options
    const [preferred] = workers
    if (preferred === undefined || clock.monotonic() < this.avoidedUntil) return Result.err(failure('not_ready', 'no host grants permits'))
    const cell = this.cellOf(preferred)
    const workersOfCell = workers.filter(worker => this.cellOf(worker).zone === cell.zone)
    const decision = await client.permit(cell, { ...request, workers: workersOfCell.map(({ id }) => id) }, signal)
    const isFailed = decision.isErr && decision.error.kind !== 'cancelled'
    if (isFailed) this.avoidedUntil = clock.monotonic() + failedMilliseconds
    return decision
  }

  /** The cell that schedules the prompts of a worker, by its own zone, so that all hosts ask the same one. */
  private cellOf ({ zone, description: { pool } }: Upstream): ReturnType<typeof cellOf> {
    return cellOf(pool, zone, this.options.upstreams.candidatesForPool(pool, 'prefill'))
  }
}
