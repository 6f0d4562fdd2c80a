/**
 * Orders to the platform's workers to change their stage. An order names the worker's life and the number of orders
 * that it has taken, so one that arrives late has no effect, and it is sent only with authority that the store has
 * just confirmed.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Clock, type Failure, failure, type HostId, type WorkerId } from '../common/index.js'
import { HttpClient } from '../clients/index.js'
import type { EngineRole } from '../configuration/index.js'
import type { RoleChanger } from '../fleet/index.js'
import type { GroupLease } from '../leases/index.js'
import type { EventLog } from '../observability/index.js'
import type { Upstream, UpstreamManager } from '../upstreams/index.js'
import { headerNames } from './WorkerProtocol.js'

/** Options of `WorkerOrders`. */
export interface WorkerOrdersOptions {
  lease: GroupLease
  upstreams: UpstreamManager
  hostId: HostId
  clock: Clock
  events: EventLog
}

/** Time for the answer to an order or a report, in milliseconds; workers answer within a few. */
const answerTimeoutMilliseconds = 600

/** Longest time from an order to its effect, in milliseconds: a delayed order is carried out within 12 s, and takes 3 s. */
const longestEffectMilliseconds = 15_000

/** Time between two looks at the effect, in milliseconds. */
const effectCheckMilliseconds = 250

const stages: Record<EngineRole, string> = { prefill: 'prefill', decode: 'decode', mixed: 'colocated' }

const reportSchema = z.object({
  /** Orders that the worker has accepted. */
  sequence: z.number().int(),
  /** True while an order is being carried out. */
  busy: z.boolean()
})

/** Gives orders. */
export class WorkerOrders implements RoleChanger {
  constructor (private readonly options: WorkerOrdersOptions) {}

  /** Changes the stage of a worker. Errors: `lost_authority`, `conflict`, `not_run`, `outcome_unknown`. */
  async changeRole (id: WorkerId, role: EngineRole): Promise<Result<{ result: string }, Failure>> {
    const worker = this.options.upstreams.worker(id)
    if (worker === undefined) return Result.err(failure('not_run', `${id} is gone`))
    const http = new HttpClient(worker.origin)
    const ordered = await this.order(worker, role, http)
    await http.close()
    if (ordered.isErr && ordered.error.kind !== 'outcome_unknown') return Result.err(ordered.error)
    return await this.awaitEffect(worker, role)
  }

  private async order (worker: Upstream, role: EngineRole, http: HttpClient): Promise<Result<void, Failure>> {
    const { lease, hostId, events } = this.options
    const reported = await http.send({ method: 'GET', path: '/v1/report', timeoutMilliseconds: answerTimeoutMilliseconds })
    const report = reported.isOk ? reportSchema.safeParse(reported.value.body) : undefined
    if (report?.success !== true) return Result.err(failure('not_run', `${worker.id} does not report its state`))
    if (report.data.busy) return Result.err(failure('conflict', `${worker.id} is carrying out another order`))
    const fencingNumber = await lease.confirmedAuthority()
    if (fencingNumber === undefined) return Result.err(failure('lost_authority', 'the store does not confirm the duty'))
    const sent = await http.send({
      method: 'POST',
      path: '/v1/order',
      headers: { [headerNames.wantedWorker]: worker.id },
      body: { operation: 'stage', stage: stages[role], holder: hostId, 'fencing-token': fencingNumber, expect: report.data.sequence },
      timeoutMilliseconds: answerTimeoutMilliseconds
    })
    const status = sent.isOk ? sent.value.status : undefined
    events.info('order_sent', { worker: worker.id, role, fencing: fencingNumber, sequence: report.data.sequence, status })
    if (sent.isErr) return Result.err(failure(sent.error.kind === 'platform_unavailable' ? 'not_run' : 'outcome_unknown', sent.error.message))
    if (status === 412) lease.noteRefusal(fencingNumber)
    if (status === 200 || status === 202) return Result.ok(undefined)
    return Result.err(failure('conflict', `${worker.id} refused the order with status ${status}`))
  }

  private async awaitEffect (worker: Upstream, role: EngineRole): Promise<Result<{ result: string }, Failure>> {
    const { clock } = this.options
    const limit = clock.monotonic() + longestEffectMilliseconds
    while (clock.monotonic() < limit && !worker.removed) {
      if (worker.role === role) return Result.ok({ result: 'done' })
      await clock.sleep(effectCheckMilliseconds)
    }
    return Result.err(failure('outcome_unknown', `${worker.id} does not show the role ${role}`))
  }
}
