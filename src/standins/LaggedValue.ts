/**
 * A value whose readers see an earlier state of it.
 */
import type { Clock } from '../common/index.js'

/** Earlier states beyond this number are forgotten, the oldest first. */
const maxHistory = 4096

/** The value and its recent history. */
export class LaggedValue<Value> {
  private readonly history: Array<{ since: number, value: Value }>

  constructor (private readonly clock: Clock, initial: Value) {
    this.history = [{ since: -Infinity, value: initial }]
  }

  /** The value without lag. */
  get current (): Value {
    return this.at(0)
  }

  /** Changes the value. */
  set (value: Value): void {
    const since = this.clock.monotonic()
    if (this.history.at(-1)?.since === since) this.history.pop()
    this.history.push({ since, value })
    if (this.history.length > maxHistory) this.history.shift()
  }

  /** What was true so many milliseconds ago, or the oldest state that is known. */
  at (lagMilliseconds: number): Value {
    const time = this.clock.monotonic() - lagMilliseconds
    const seen = this.history.findLast(({ since }) => since <= time) ?? this.history[0]
    if (seen === undefined) throw new Error('the history of a lagged value is empty')
    return seen.value
  }
}
