/**
 * Whether the kept connections to an upstream can be trusted. An upstream that answers out of turn does so for a while, and
 * nothing shows when it stops as long as no connection is used again. So each time that it answers out of turn soon after
 * the connections were used again, they stay in doubt for twice as long.
 */
import type { Clock } from '../common/index.js'

/** Time after a response out of turn for which no connection is used again, in milliseconds, and its upper bound. */
const firstDoubtMilliseconds = 3000
const maxDoubtMilliseconds = 60_000

/** Records responses out of turn. */
export class ConnectionDoubt {
  private milliseconds = 0
  private until = -Infinity

  constructor (private readonly clock: Clock) {}

  /** True while each call has a connection to itself. */
  get isActive (): boolean {
    return this.clock.monotonic() < this.until
  }

  /** Records a response out of turn. Returns false if the connections were already in doubt. */
  record (): boolean {
    const now = this.clock.monotonic()
    const wasActive = now < this.until
    const isRenewed = now < this.until + this.milliseconds
    if (!wasActive) this.milliseconds = isRenewed ? Math.min(maxDoubtMilliseconds, this.milliseconds * 2) : firstDoubtMilliseconds
    this.until = now + this.milliseconds
    return !wasActive
  }
}
