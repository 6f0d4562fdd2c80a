/**
 * Sends orders to the platform's workers to change their stage. An order names the worker instance and the number of
 * orders that this instance has accepted, so that a delayed order has no effect. A host sends an order only right after
 * the store has confirmed the host's authority.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Clock, type Failure, failure, type HostId, type WorkerId } from '../common/index.js'
import { type HttpCall, HttpClient, type HttpResponse } from '../clients/index.js'
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

/**
 * Time limit for the response to an order or to a query of the report, in milliseconds; workers respond within a
 * few milliseconds.
 */
export const responseTimeoutMilliseconds = 600

/** Maximum time from an order to its effect, in milliseconds: a delayed order starts within 12 s and takes 3 s. */
const maxEffectMilliseconds = 15_000

/** Interval of the checks whether an order has taken effect, in milliseconds. */
const effectPollMilliseconds = 250

const stageNames: Record<EngineRole, string> = { prefill: 'prefill', decode: 'decode', mixed: 'colocated' }

const reportSchema = z.object({
  /** Number of orders that the worker has accepted. */
  sequence: z.number().int(),
  /** True while an order is being carried out. */
  busy: z.boolean()
})

/** Sends orders to workers and waits for their effect. */
export class WorkerOrders implements RoleChanger {
  constructor (private readonly options: WorkerOrdersOptions) {}

  /**
   * Changes the stage of a worker and waits until the worker reports its new role. Errors: `lost_authority`, `conflict`,
   * `not_run`, `outcome_unknown`.
   */
  async changeRole (id: WorkerId, role: EngineRole): Promise<Result<{ result: string }, Failure>> {
    const worker = this.options.upstreams.worker(id)
    if (worker === undefined) return Result.err(failure('not_run', `worker ${id} no longer exists`))
    const orderResult = await this.sendOrder(worker, role)
    if (orderResult.isErr && orderResult.error.kind !== 'outcome_unknown') return Result.err(orderResult.error)
    return await this.waitForRole(worker, role)
  }

  private async sendOrder (worker: Upstream, role: EngineRole): Promise<Result<void, Failure>> {
    const { lease, hostId, events } = this.options
    const reportResponse = await this.call(worker, { method: 'GET', path: '/v1/report', timeoutMilliseconds: responseTimeoutMilliseconds })
    const report = reportResponse.isOk ? reportSchema.safeParse(reportResponse.value.body) : undefined
    if (report?.success !== true) return Result.err(failure('not_run', `worker ${worker.id} did not report its state`))
    if (report.data.busy) return Result.err(failure('conflict', `worker ${worker.id} is carrying out another order`))
    const fencingNumber = await lease.confirmedAuthority()
    if (fencingNumber === undefined) return Result.err(failure('lost_authority', 'the store did not confirm that this host holds the duty'))
    const orderResponse = await this.call(worker, {
      method: 'POST',
      path: '/v1/order',
      headers: { [headerNames.expectedWorker]: worker.id },
      body: { operation: 'stage', stage: stageNames[role], holder: hostId, 'fencing-token': fencingNumber, expect: report.data.sequence },
      timeoutMilliseconds: responseTimeoutMilliseconds
    })
    const status = orderResponse.isOk ? orderResponse.value.status : undefined
    events.info('order_sent', { worker: worker.id, role, fencing: fencingNumber, sequence: report.data.sequence, status })
    if (orderResponse.isErr) return Result.err(failure(orderResponse.error.kind === 'platform_unavailable' ? 'not_run' : 'outcome_unknown', orderResponse.error.message))
    if (status === 412) lease.handleRefusal(fencingNumber)
    if (status === 200 || status === 202) return Result.ok(undefined)
    return Result.err(failure('conflict', `worker ${worker.id} rejected the order with status ${status}`))
  }

  /**
   * Makes a call on a new connection. Its response bears no id, so that a late copy of the report could otherwise be taken
   * for the response to the order.
   */
  private async call (worker: Upstream, call: HttpCall): Promise<Result<HttpResponse, Failure>> {
    const http = new HttpClient(worker.origin)
    const response = await http.send(call)
    await http.close()
    return response
  }

  private async waitForRole (worker: Upstream, role: EngineRole): Promise<Result<{ result: string }, Failure>> {
    const { clock } = this.options
    const deadline = clock.monotonic() + maxEffectMilliseconds
    while (clock.monotonic() < deadline && !worker.removed) {
      if (worker.role === role) return Result.ok({ result: 'done' })
      await clock.sleep(effectPollMilliseconds)
    }
    return Result.err(failure('outcome_unknown', `worker ${worker.id} did not report the role ${role} after the order`))
  }
}
