/**
 * Sends orders to engines and reads their state.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { failure, type Failure, failureFromBody, type FencingNumber, type Incarnation, type WorkerId } from '../common/index.js'
import { type HttpResponse, HttpClient } from '../clients/index.js'
import { type EngineOrder, type EngineState, engineStateSchema } from './orderRecords.js'

/** An engine to which orders are sent. */
export interface EngineTarget {
  worker: WorkerId
  /** `ip:port` */
  address: string
  /** True if the engine refuses orders with an old fencing number. */
  checksFencing: boolean
}

/** An order as sent to an engine. `fence` changes only the greatest fencing number that the engine has seen. */
export interface OrderMessage {
  orderId: string
  fencingNumber: FencingNumber
  order: EngineOrder | { kind: 'fence' }
  /** Incarnation of the engine that the order is meant for; an engine that has restarted since refuses the order. */
  engineIncarnation: Incarnation
}

const orderStatusSchema = z.object({ state: z.enum(['running', 'done', 'failed']), detail: z.string().optional() })

/** The status of an order that the engine received. */
export type OrderStatus = z.infer<typeof orderStatusSchema>

/** Delivers an order to one engine, or reads the state of one engine. */
export abstract class EngineOrderClient {
  /**
   * Sends an order. Errors: `not_run` (certainly not received), `lost_authority` (the engine has seen a
   * greater fencing number), `wrong_incarnation`, `conflict` (the engine is carrying out another order),
   * `bad_request` (the engine does not know this kind of order), `outcome_unknown`.
   */
  abstract send (engine: EngineTarget, message: OrderMessage): Promise<Result<OrderStatus, Failure>>

  /** Reads the engine's state. Errors: `upstream_failed`. */
  abstract state (engine: EngineTarget): Promise<Result<EngineState, Failure>>
}

const responseTimeoutMilliseconds = 3000

/** Kinds of failures with which an engine refuses an order. */
const refusalKinds = new Set<Failure['kind']>(['lost_authority', 'wrong_incarnation', 'conflict', 'bad_request'])

/** Sends orders over HTTP with `POST /orders` and reads the state with `GET /state`. */
export class HttpEngineOrderClient extends EngineOrderClient {
  private readonly clients = new Map<string, HttpClient>()

  async send (engine: EngineTarget, message: OrderMessage): Promise<Result<OrderStatus, Failure>> {
    const response = await this.client(engine).send({
      method: 'POST', path: '/orders', body: message, timeoutMilliseconds: responseTimeoutMilliseconds
    })
    if (response.isErr) return Result.err(failure(response.error.kind === 'platform_unavailable' ? 'not_run' : 'outcome_unknown', response.error.message))
    return statusOf(response.value)
  }

  async state (engine: EngineTarget): Promise<Result<EngineState, Failure>> {
    const response = await this.client(engine).send({ method: 'GET', path: '/state', timeoutMilliseconds: responseTimeoutMilliseconds })
    if (response.isErr) return Result.err(failure('upstream_failed', response.error.message))
    const state = engineStateSchema.safeParse(response.value.body)
    if (response.value.status === 200 && state.success) return Result.ok(state.data)
    return Result.err(failure('upstream_failed', `unexpected response from the engine to GET /state: status ${response.value.status}`))
  }

  /** Closes all connections. */
  async close (): Promise<void> {
    await Promise.all([...this.clients.values()].map(client => client.close()))
    this.clients.clear()
  }

  private client ({ address }: EngineTarget): HttpClient {
    const existing = this.clients.get(address)
    if (existing !== undefined) return existing
    const created = new HttpClient(`http://${address}`)
    this.clients.set(address, created)
    return created
  }
}

function statusOf ({ status, body }: HttpResponse): Result<OrderStatus, Failure> {
  const parsed = orderStatusSchema.safeParse(body)
  if (status < 300 && parsed.success) return Result.ok(parsed.data)
  const reported = failureFromBody(body)
  if (reported !== undefined && refusalKinds.has(reported.kind)) return Result.err(reported)
  return Result.err(failure('outcome_unknown', `unexpected response from the engine to an order: status ${status}`))
}
