/**
 * Whether the store answers, as opposed to one connection to it. An open connection may go silent while new ones work, so
 * only a call on a new connection shows that the store itself is unavailable to this host.
 */
import type { Clock } from '../common/index.js'

/** Follows the calls of all clients of a host. */
export class StoreAvailability {
  private isAvailable = true
  private latestReturn = -Infinity

  constructor (private readonly clock: Clock) {}

  /** Monotonic time in milliseconds of the first answer after the store was unavailable; `-Infinity` if it never was. */
  get returnedAt (): number {
    return this.latestReturn
  }

  /** Records a call that the store answered. */
  recordAnswer (): void {
    if (!this.isAvailable) this.recordReturn()
    this.isAvailable = true
  }

  /** Records that the store refused a call, or did not answer one on a connection that had carried no other. */
  recordFailure (): void {
    this.isAvailable = false
  }

  /** Records that the store has returned from a short outage that no call has shown, as at a restore. */
  recordReturn (): void {
    this.latestReturn = this.clock.monotonic()
  }
}
