/**
 * Receives orders and executes them one at a time. Records every order message, so that tests can verify that no
 * conflicting order was sent.
 */
import { isDeepStrictEqual } from 'node:util'
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { type Clock, type Failure, failure, type Incarnation } from '../../common/index.js'
import type { StandInOrder, StandInOrderMessage, OrderReception, StandInOrderStatus, ReceivedOrderMessage } from './orders.js'

/** Options of `OrderExecutor`. */
export interface OrderExecutorOptions {
  clock: Clock
  incarnation: Incarnation
  /** If true, orders with an old fencing number are rejected. */
  checksFencing: boolean
  /** Executes an order. The order fails if the promise rejects. */
  execute: (order: StandInOrder) => Promise<void>
}

/** Maximum number of received messages kept, and of accepted orders kept; the oldest are dropped. */
const maxRetained = 10_000

interface AcceptedOrder {
  order: StandInOrder
  status: StandInOrderStatus
  /** Resolves when the order is done or has failed. */
  ended: Promise<void>
}

function dropOldest<Key> (entries: Map<Key, unknown>): void {
  const oldest = entries.keys().next()
  if (entries.size > maxRetained && oldest.done !== true) entries.delete(oldest.value)
}

/** Executes the orders of one engine. */
export class OrderExecutor {
  private readonly acceptedOrders = new Map<string, AcceptedOrder>()
  private readonly receivedMessages: ReceivedOrderMessage[] = []
  private runningOrderId: string | undefined
  private lastOrderId: string | undefined
  private greatestFencingNumber = 0

  constructor (private readonly options: OrderExecutorOptions) {}

  /**
   * Records a message and starts its order unless it was accepted before. Errors: `lost_authority` (old fencing
   * number), `wrong_incarnation`, `conflict`.
   */
  receive (message: StandInOrderMessage): Result<StandInOrderStatus, Failure> {
    const reception = this.receptionOf(message)
    this.receivedMessages.push({
      ...message,
      at: this.options.clock.wall(),
      reception,
      ...(reception === 'conflict' ? { conflictsWith: this.runningOrderId ?? message.orderId } : {})
    })
    if (this.receivedMessages.length > maxRetained) this.receivedMessages.shift()
    return match(reception)
      .with('accepted', () => Result.ok<StandInOrderStatus, Failure>(this.accept(message)))
      .with('repeated', () => Result.ok<StandInOrderStatus, Failure>(this.status(message.orderId) as StandInOrderStatus))
      .with('fenced', () => Result.err<StandInOrderStatus, Failure>(
        failure('lost_authority', `a greater fencing number was accepted before: ${this.greatestFencingNumber}`)))
      .with('wrong_incarnation', () => Result.err<StandInOrderStatus, Failure>(
        failure('wrong_incarnation', `the engine has incarnation ${this.options.incarnation}`)))
      .with('conflict', () => Result.err<StandInOrderStatus, Failure>(
        failure('conflict', `the order conflicts with order ${this.runningOrderId ?? message.orderId}, which was accepted before`)))
      .exhaustive()
  }

  /** Status of an order; undefined if it was not accepted, or is no longer kept. */
  status (orderId: string): StandInOrderStatus | undefined {
    return this.acceptedOrders.get(orderId)?.status
  }

  /** Resolves when the order has ended, after the given time, or when the signal aborts. */
  async waitForEnd (orderId: string, milliseconds: number, signal: AbortSignal): Promise<void> {
    const controller = new AbortController()
    const abort = () => controller.abort()
    signal.addEventListener('abort', abort, { once: true })
    if (signal.aborted) abort()
    this.acceptedOrders.get(orderId)?.ended.then(abort, abort)
    await this.options.clock.sleep(milliseconds, controller.signal)
    signal.removeEventListener('abort', abort)
  }

  /** The received messages, and those of them that were rejected with `conflict`; for `GET /orders`. */
  listMessages (): { received: ReceivedOrderMessage[], conflicts: ReceivedOrderMessage[] } {
    return { received: this.receivedMessages, conflicts: this.receivedMessages.filter(({ reception }) => reception === 'conflict') }
  }

  /** The members that orders contribute to `GET /state`. */
  describe () {
    return {
      lastOrderId: this.lastOrderId ?? null,
      runningOrderId: this.runningOrderId ?? null,
      greatestFencingNumber: this.greatestFencingNumber,
      checksFencing: this.options.checksFencing
    }
  }

  private receptionOf (message: StandInOrderMessage): OrderReception {
    const { orderId, order, fencingNumber, engineIncarnation } = message
    if (engineIncarnation !== undefined && engineIncarnation !== this.options.incarnation) return 'wrong_incarnation'
    if (this.options.checksFencing && fencingNumber < this.greatestFencingNumber) return 'fenced'
    const existing = this.acceptedOrders.get(orderId)
    if (existing !== undefined) return isDeepStrictEqual(existing.order, order) ? 'repeated' : 'conflict'
    if (order.kind !== 'fence' && this.runningOrderId !== undefined) return 'conflict'
    return 'accepted'
  }

  private accept (message: StandInOrderMessage): StandInOrderStatus {
    const { orderId, order } = message
    this.greatestFencingNumber = Math.max(this.greatestFencingNumber, message.fencingNumber)
    const status: StandInOrderStatus = { orderId, state: 'running' }
    const acceptedOrder = { order, status, ended: Promise.resolve() }
    this.acceptedOrders.set(orderId, acceptedOrder)
    dropOldest(this.acceptedOrders)
    if (order.kind === 'fence') {
      status.state = 'done'
      return status
    }
    this.runningOrderId = orderId
    this.lastOrderId = orderId
    acceptedOrder.ended = this.runOrder(order, status)
    return status
  }

  private async runOrder (order: StandInOrder, status: StandInOrderStatus): Promise<void> {
    try {
      await this.options.execute(order)
      status.state = 'done'
    } catch (error) {
      status.state = 'failed'
      status.detail = error instanceof Error ? error.message : String(error)
    } finally {
      this.runningOrderId = undefined
    }
  }
}
