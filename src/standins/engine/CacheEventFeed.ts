/**
 * The cache events of the engine stand-in. Every event is assigned the next sequence number, starting at 1, when it
 * occurs. The settings can delay the publication of events and omit some events; a gap in the numbers tells a reader
 * that it has missed events.
 */
import type { Clock, Incarnation } from '../../common/index.js'
import type { CacheChange } from './PrefixCache.js'

/** Options of `CacheEventFeed`. */
export interface CacheEventFeedOptions {
  clock: Clock
  incarnation: Incarnation
  delayMilliseconds: number
  /** Events whose sequence number is a multiple of this number are not published. Undefined: all are published. */
  gapEvery: number | undefined
}

/** A cache event. Readers compare the incarnation, since the sequence numbers restart from 1 with each incarnation. */
export type CacheEvent = CacheChange & { sequence: number, at: number, incarnation: Incarnation }

/** Maximum number of published events that are kept; the oldest are dropped. */
const maxEvents = 10_000

/** Numbers cache changes and publishes them as events. */
export class CacheEventFeed {
  private readonly events: CacheEvent[] = []
  private readonly waitingReaders = new Set<() => void>()
  private sequence = 0

  constructor (private readonly options: CacheEventFeedOptions) {}

  /** Assigns the next sequence number to a change and publishes it after the delay, unless it is omitted. */
  add (change: CacheChange): void {
    const { clock, incarnation, delayMilliseconds, gapEvery } = this.options
    this.sequence += 1
    if (gapEvery !== undefined && this.sequence % gapEvery === 0) return
    const event = { ...change, sequence: this.sequence, at: clock.wall(), incarnation }
    if (delayMilliseconds === 0) this.publish(event)
    else clock.sleep(delayMilliseconds).then(() => this.publish(event), () => {})
  }

  /** Server-sent events starting at sequence number `from`, until the signal aborts. */
  stream (from: number, signal: AbortSignal): ReadableStream<Uint8Array> {
    const encoder = new TextEncoder()
    let next = from
    return new ReadableStream({
      start: controller => controller.enqueue(encoder.encode(': cache events\n\n')),
      pull: async controller => {
        const events = await this.eventsFrom(next, signal)
        if (signal.aborted) {
          controller.close()
          return
        }
        for (const event of events) {
          controller.enqueue(encoder.encode(`id: ${event.sequence}\ndata: ${JSON.stringify(event)}\n\n`))
          next = event.sequence + 1
        }
      }
    })
  }

  private async eventsFrom (from: number, signal: AbortSignal): Promise<CacheEvent[]> {
    for (;;) {
      const events = this.events.filter(({ sequence }) => sequence >= from)
      if (events.length > 0 || signal.aborted) return events
      await this.waitForEvent(signal)
    }
  }

  private async waitForEvent (signal: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      this.waitingReaders.add(resolve)
      signal.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  private publish (event: CacheEvent): void {
    this.events.push(event)
    if (this.events.length > maxEvents) this.events.shift()
    for (const wake of this.waitingReaders) wake()
    this.waitingReaders.clear()
  }
}
