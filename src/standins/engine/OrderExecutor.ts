/**
 * Receives and carries out orders, one at a time, and records every message, so that tests can prove that no
 * conflicting order was ever sent.
 */
import { isDeepStrictEqual } from 'node:util'
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { type Clock, type Failure, failure, type Incarnation } from '../../common/index.js'
import type { EngineOrder, OrderMessage, OrderReception, OrderStatus, ReceivedOrder } from './orders.js'

/** Options of an executor. */
export interface OrderExecutorOptions {
  clock: Clock
  incarnation: Incarnation
  checksFencing: boolean
  /** Carries out an order. A rejection makes the order fail. */
  execute: (order: EngineOrder) => Promise<void>
}

/** Messages and orders that are remembered; the oldest are forgotten beyond this number. */
const maxRemembered = 10_000

interface KnownOrder {
  order: EngineOrder
  status: OrderStatus
  ended: Promise<void>
}

function forgetOldest<Key> (known: Map<Key, unknown>): void {
  const oldest = known.keys().next()
  if (known.size > maxRemembered && oldest.done !== true) known.delete(oldest.value)
}

/** The executor. */
export class OrderExecutor {
  private readonly known = new Map<string, KnownOrder>()
  private readonly received: ReceivedOrder[] = []
  private running: string | undefined
  private lastOrderId: string | undefined
  private greatestFencingNumber = 0

  constructor (private readonly options: OrderExecutorOptions) {}

  /** Receives a message. Errors: `lost_authority` (old fencing number), `wrong_incarnation`, `conflict`. */
  receive (message: OrderMessage): Result<OrderStatus, Failure> {
    const reception = this.receptionOf(message)
    this.received.push({
      ...message,
      at: this.options.clock.wall(),
      reception,
      ...(reception === 'conflict' ? { conflictsWith: this.running ?? message.orderId } : {})
    })
    if (this.received.length > maxRemembered) this.received.shift()
    return match(reception)
      .with('accepted', () => Result.ok<OrderStatus, Failure>(this.accept(message)))
      .with('repeated', () => Result.ok<OrderStatus, Failure>(this.status(message.orderId) as OrderStatus))
      .with('fenced', () => Result.err<OrderStatus, Failure>(
        failure('lost_authority', `the greatest fencing number seen is ${this.greatestFencingNumber}`)))
      .with('wrong_incarnation', () => Result.err<OrderStatus, Failure>(
        failure('wrong_incarnation', `the engine has incarnation ${this.options.incarnation}`)))
      .with('conflict', () => Result.err<OrderStatus, Failure>(
        failure('conflict', `order ${this.running ?? message.orderId} was received before`)))
      .exhaustive()
  }

  /** Status of an order; undefined if it was never accepted. */
  status (orderId: string): OrderStatus | undefined {
    return this.known.get(orderId)?.status
  }

  /** Resolves when the order has ended, after the time, or when the signal aborts. */
  async ended (orderId: string, milliseconds: number, signal: AbortSignal): Promise<void> {
    const controller = new AbortController()
    const abort = () => controller.abort()
    signal.addEventListener('abort', abort, { once: true })
    if (signal.aborted) abort()
    this.known.get(orderId)?.ended.then(abort, abort)
    await this.options.clock.sleep(milliseconds, controller.signal)
    signal.removeEventListener('abort', abort)
  }

  /** All messages, and those of them that conflicted. */
  record (): { received: ReceivedOrder[], conflicts: ReceivedOrder[] } {
    return { received: this.received, conflicts: this.received.filter(({ reception }) => reception === 'conflict') }
  }

  /** For `GET /state`. */
  describe () {
    return {
      lastOrderId: this.lastOrderId ?? null,
      runningOrderId: this.running ?? null,
      greatestFencingNumber: this.greatestFencingNumber,
      checksFencing: this.options.checksFencing
    }
  }

  private receptionOf (message: OrderMessage): OrderReception {
    const { orderId, order, fencingNumber, engineIncarnation } = message
    if (engineIncarnation !== undefined && engineIncarnation !== this.options.incarnation) return 'wrong_incarnation'
    if (this.options.checksFencing && fencingNumber < this.greatestFencingNumber) return 'fenced'
    const known = this.known.get(orderId)
    if (known !== undefined) return isDeepStrictEqual(known.order, order) ? 'repeated' : 'conflict'
    if (order.kind !== 'fence' && this.running !== undefined) return 'conflict'
    return 'accepted'
  }

  private accept (message: OrderMessage): OrderStatus {
    const { orderId, order } = message
    this.greatestFencingNumber = Math.max(this.greatestFencingNumber, message.fencingNumber)
    const status: OrderStatus = { orderId, state: 'running' }
    const known = { order, status, ended: Promise.resolve() }
    this.known.set(orderId, known)
    forgetOldest(this.known)
    if (order.kind === 'fence') {
      status.state = 'done'
      return status
    }
    this.running = orderId
    this.lastOrderId = orderId
    known.ended = this.carryOut(order, status)
    return status
  }

  private async carryOut (order: EngineOrder, status: OrderStatus): Promise<void> {
    try {
      await this.options.execute(order)
      status.state = 'done'
    } catch (caught) {
      status.state = 'failed'
      status.detail = caught instanceof Error ? caught.message : String(caught)
    } finally {
      this.running = undefined
    }
  }
}
