/**
 * Holds back calls to the platform after one whose outcome is unknown. The platform may still execute that call, after
 * one with a greater fencing number, and it may not check the numbers.
 */
import type { Clock, FencingNumber } from '../common/index.js'

/** Time for which calls are held back, in milliseconds, unless the settings say otherwise: one lease. */
const defaultHoldMilliseconds = 3000

/** Keeps the calls of one duty in the order of their fencing numbers. */
export class CallHold {
  private latest: { fencingNumber: FencingNumber, at: number } | undefined

  constructor (private readonly clock: Clock, private readonly holdMilliseconds = defaultHoldMilliseconds) {}

  /** Records that the outcome of a call has turned out to be unknown. */
  recordUnknown (fencingNumber: FencingNumber): void {
    this.latest = { fencingNumber, at: this.clock.monotonic() }
  }

  /** True if a call with this fencing number has to wait. */
  holds (fencingNumber: FencingNumber | undefined): boolean {
    if (this.latest === undefined || fencingNumber === undefined || fencingNumber <= this.latest.fencingNumber) return false
    return this.clock.monotonic() < this.latest.at + this.holdMilliseconds
  }
}
