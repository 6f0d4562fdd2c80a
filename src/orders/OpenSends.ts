/**
 * The orders that this process may have on their way to engines. A send whose answer was lost stays here until
 * the engine's state shows what became of it: its bytes can still arrive after the connection was given up.
 */
import type { FencingNumber, Incarnation, WorkerId } from '../common/index.js'
import type { OrderMessage } from './EngineOrderClient.js'
import type { EngineState } from './orderRecords.js'

/** One send. */
export interface OpenSend {
  worker: WorkerId
  orderId: string
  fencingNumber: FencingNumber
  engineIncarnation: Incarnation
  /** True once the answer was lost; before that, the order may not even be written yet. */
  isAnswerLost: boolean
}

/** The sends of one process. */
export class OpenSends {
  private readonly sends = new Set<OpenSend>()

  /** Notes a send. Has to be called before the authority for it is checked. */
  begin (worker: WorkerId, { orderId, fencingNumber, engineIncarnation }: OrderMessage): OpenSend {
    const send = { worker, orderId, fencingNumber, engineIncarnation, isAnswerLost: false }
    this.sends.add(send)
    return send
  }

  /** Removes a send that was answered, or that was never written. */
  end (send: OpenSend): void {
    this.sends.delete(send)
  }

  /** Removes the sends with a lost answer that the engine's state shows to have arrived or to be too late. */
  resolve (worker: WorkerId, state: EngineState): void {
    for (const send of [...this.sends]) {
      if (send.worker !== worker || !send.isAnswerLost) continue
      const hasArrived = state.lastOrderId === send.orderId || state.runningOrderId === send.orderId
      if (hasArrived || state.incarnation !== send.engineIncarnation) this.sends.delete(send)
    }
  }

  /** True if an order with this fencing number may be on its way to the engine. */
  has (worker: WorkerId, fencingNumber: FencingNumber): boolean {
    return [...this.sends].some(send => send.worker === worker && send.fencingNumber === fencingNumber)
  }
}
