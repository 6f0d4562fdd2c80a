/**
 * The task of one engine that reads its cache events into the `PrefixIndex`. Events come late and some never.
 */
import { createParser } from 'eventsource-parser'
import { Client } from 'undici'
import { z } from 'zod'
import { type Clock, incarnationSchema, type WorkerId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { cacheEventSchema, type PrefixIndex } from './PrefixIndex.js'

/** Options of `followCacheEvents`. */
export interface FollowOptions {
  worker: WorkerId
  /** `http://ip:port` of the engine. */
  origin: string
  index: PrefixIndex
  clock: Clock
  events: EventLog
}

const stateSchema = z.object({ incarnation: incarnationSchema })

/** Wait before the next connection. */
const reconnectMilliseconds = 1000

/** Follows the events of one engine until the signal aborts; then the hints about it are dropped. */
export async function followCacheEvents (options: FollowOptions, signal: AbortSignal): Promise<void> {
  let askedAgain = 0
  while (!signal.aborted) {
    const client = new Client(options.origin, { connectTimeout: reconnectMilliseconds, bodyTimeout: 0, headersTimeout: 0 })
    const close = (): void => { client.destroy().catch(() => {}) }
    signal.addEventListener('abort', close, { once: true })
    try {
      askedAgain = await readEvents(client, options, askedAgain)
    } catch (caught) {
      options.events.debug('cache_events_ended', { worker: options.worker, reason: (caught as Error).message })
    }
    signal.removeEventListener('abort', close)
    await client.destroy()
    await options.clock.sleep(reconnectMilliseconds, signal)
  }
  options.index.forget(options.worker)
}

/**
 * Reads events over one connection. At a gap the missing event is asked for once more, since it may only be
 * late; returns its number then. If it is still missing, the hints about the engine start anew.
 */
async function readEvents (client: Client, options: FollowOptions, askedAgain: number): Promise<number> {
  const { worker, index } = options
  const state = await client.request({ method: 'GET', path: '/state' })
  const next = index.nextEvent(worker, stateSchema.parse(await state.body.json()).incarnation)
  const answer = await client.request({ method: 'GET', path: `/cache-events?from=${next}` })
  const received: string[] = []
  const parser = createParser({ onEvent: ({ data }) => { received.push(data) } })
  const decoder = new TextDecoder()
  let missing = askedAgain
  for await (const bytes of answer.body) {
    parser.feed(decoder.decode(bytes as Buffer, { stream: true }))
    for (const data of received.splice(0)) {
      const event = cacheEventSchema.parse(JSON.parse(data))
      if (index.apply(worker, event) !== 'gap') continue
      const wanted = index.nextEvent(worker, event.incarnation)
      if (missing !== wanted) return wanted
      missing = 0
      index.resynchronise(worker, event.sequence)
      index.apply(worker, event)
      options.events.info('cache_hints_resynchronised', { worker, sequence: event.sequence })
    }
  }
  return missing
}
