/**
 * The cache events of the engine stand-in: numbered from 1 without gaps when they happen, published late, and
 * some of them never, as the settings say. A reader that meets a gap in the numbers has missed events.
 */
import type { Clock, Incarnation } from '../../common/index.js'
import type { CacheChange } from './PrefixCache.js'

/** Options of a feed. */
export interface CacheEventFeedOptions {
  clock: Clock
  incarnation: Incarnation
  delayMilliseconds: number
  /** Events whose number is a multiple of this are not published. */
  gapEvery: number | undefined
}

/** One event. Readers compare the incarnation, since the numbers start anew with the engine. */
export type CacheEvent = CacheChange & { sequence: number, at: number, incarnation: Incarnation }

/** Published events beyond this number are forgotten, the oldest first. */
const maxEvents = 10_000

/** The feed. */
export class CacheEventFeed {
  private readonly events: CacheEvent[] = []
  private readonly waiting = new Set<() => void>()
  private sequence = 0

  constructor (private readonly options: CacheEventFeedOptions) {}

  /** Numbers a change and publishes it after the delay. */
  add (change: CacheChange): void {
    const { clock, incarnation, delayMilliseconds, gapEvery } = this.options
    this.sequence += 1
    if (gapEvery !== undefined && this.sequence % gapEvery === 0) return
    const event = { ...change, sequence: this.sequence, at: clock.wall(), incarnation }
    if (delayMilliseconds === 0) this.publish(event)
    else clock.sleep(delayMilliseconds).then(() => this.publish(event), () => {})
  }

  /** Server-sent events from the given number on, until the signal aborts. */
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
      await this.change(signal)
    }
  }

  private async change (signal: AbortSignal): Promise<void> {
    await new Promise<void>(resolve => {
      this.waiting.add(resolve)
      signal.addEventListener('abort', () => resolve(), { once: true })
    })
  }

  private publish (event: CacheEvent): void {
    this.events.push(event)
    if (this.events.length > maxEvents) this.events.shift()
    for (const wake of this.waiting) wake()
    this.waiting.clear()
  }
}
