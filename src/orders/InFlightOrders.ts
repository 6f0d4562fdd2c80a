/**
 * Tracks the orders that this process may have in flight to engines. An order whose response was lost stays here until
 * the engine's state shows whether the order was received, since its bytes can still arrive after the connection was
 * closed.
 */
import type { FencingNumber, Incarnation, WorkerId } from '../common/index.js'
import type { OrderMessage } from './EngineOrderClient.js'
import type { EngineState } from './orderRecords.js'

/** An order that is being sent to an engine, or that may still arrive there. */
export interface InFlightOrder {
  worker: WorkerId
  orderId: string
  fencingNumber: FencingNumber
  engineIncarnation: Incarnation
  /** True once the response was lost; while false, the order may not have been sent yet. */
  isResponseLost: boolean
}

/** The in-flight orders of this process to all engines. */
export class InFlightOrders {
  private readonly orders = new Set<InFlightOrder>()

  /** Registers an order. Must be called before the authority to send it is checked. */
  add (worker: WorkerId, { orderId, fencingNumber, engineIncarnation }: OrderMessage): InFlightOrder {
    const order = { worker, orderId, fencingNumber, engineIncarnation, isResponseLost: false }
    this.orders.add(order)
    return order
  }

  /** Removes an order to which the engine responded, or that was never sent. */
  remove (order: InFlightOrder): void {
    this.orders.delete(order)
  }

  /** Removes orders with a lost response that the engine has received, or will refuse because it has restarted since. */
  removeResolved (worker: WorkerId, state: EngineState): void {
    for (const order of [...this.orders]) {
      if (order.worker !== worker || !order.isResponseLost) continue
      const wasReceived = state.lastOrderId === order.orderId || state.runningOrderId === order.orderId
      if (wasReceived || state.incarnation !== order.engineIncarnation) this.orders.delete(order)
    }
  }

  /** True if an order with this fencing number may be in flight to the engine. */
  has (worker: WorkerId, fencingNumber: FencingNumber): boolean {
    return [...this.orders].some(order => order.worker === worker && order.fencingNumber === fencingNumber)
  }
}
