/**
 * A value that can be read as it was some time ago.
 */
import type { Clock } from '../common/index.js'

/** Maximum number of states kept, the current one included; the oldest are dropped. */
const maxHistoryEntries = 4096

/** A value with its recent history. */
export class LaggedValue<Value> {
  /** Monotonic start time and value of each state, the oldest first. */
  private readonly history: Array<{ since: number, value: Value }>

  constructor (private readonly clock: Clock, initial: Value) {
    this.history = [{ since: -Infinity, value: initial }]
  }

  /** The value without lag. */
  get current (): Value {
    return this.withLag(0)
  }

  /** Sets the current value. */
  set (value: Value): void {
    const since = this.clock.monotonic()
    if (this.history.at(-1)?.since === since) this.history.pop()
    this.history.push({ since, value })
    if (this.history.length > maxHistoryEntries) this.history.shift()
  }

  /** The value as it was `lagMilliseconds` ago, or the oldest one kept. */
  withLag (lagMilliseconds: number): Value {
    const time = this.clock.monotonic() - lagMilliseconds
    const entry = this.history.findLast(({ since }) => since <= time) ?? this.history[0]
    if (entry === undefined) throw new Error('the history of a lagged value is empty')
    return entry.value
  }
}
