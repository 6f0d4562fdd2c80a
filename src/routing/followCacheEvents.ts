/**
 * Applies the cache events of one engine to the `PrefixIndex`. Events may arrive late or not at all.
 */
import { z } from 'zod'
import { BoundedClient, createEventParser, readBounded } from '../clients/index.js'
import { type Clock, type Incarnation, incarnationSchema, parseJson, type WorkerId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { cacheEventSchema, type PrefixIndex } from './PrefixIndex.js'

/** Options of `followCacheEvents`. */
export interface FollowCacheEventsOptions {
  worker: WorkerId
  /** `http://ip:port` of the engine. */
  origin: string
  index: PrefixIndex
  clock: Clock
  events: EventLog
}

const stateSchema = z.object({ incarnation: incarnationSchema })

/** Time limit for the response to a read of an engine's state, in milliseconds, and its maximum size in bytes. */
const stateTimeoutMilliseconds = 3000
const maxStateBytes = 1_048_576

/** Delay before reconnecting, and the timeout of a connection attempt. */
const reconnectDelayMilliseconds = 1000

/** Number of characters that are logged of the reason for the end of a connection, which may quote a response. */
const maxReasonLength = 200

/** A missing event that was requested once more. Each incarnation of an engine numbers its events anew. */
interface RetriedEvent { incarnation: Incarnation, sequence: number }

/** Follows the events of one engine until the signal aborts, then removes the hints about the engine. */
export async function followCacheEvents (options: FollowCacheEventsOptions, signal: AbortSignal): Promise<void> {
  let retried: RetriedEvent | undefined
  let lastReason: string | undefined
  while (!signal.aborted) {
    const client = new BoundedClient(options.origin, {
      connectTimeout: reconnectDelayMilliseconds, bodyTimeout: 0, headersTimeout: 0
    })
    const destroyClient = (): void => { client.destroy().catch(() => {}) }
    signal.addEventListener('abort', destroyClient, { once: true })
    try {
      retried = await readEvents(client, options, retried)
      lastReason = undefined
    } catch (caught) {
      const reason = (caught as Error).message.slice(0, maxReasonLength)
      if (!signal.aborted && reason !== lastReason) options.events.warn('cache_events_ended', { worker: options.worker, reason })
      lastReason = reason
    }
    signal.removeEventListener('abort', destroyClient)
    await client.destroy()
    await options.clock.sleep(reconnectDelayMilliseconds, signal)
  }
  options.index.removeWorker(options.worker)
}

/**
 * Reads events over one connection. At a gap, returns the first missing event, so that the next connection requests it
 * once more: the event may only be late. If the missing event is `previous`, it was already requested once more; the
 * index is then resynchronised at the event after the gap and reading continues. If the connection ends without a
 * further gap, returns `previous`, or undefined after a resynchronisation.
 */
async function readEvents (
  client: BoundedClient,
  options: FollowCacheEventsOptions,
  previous: RetriedEvent | undefined
): Promise<RetriedEvent | undefined> {
  const { worker, index } = options
  const stateResponse = await client.request({
    method: 'GET', path: '/state', signal: AbortSignal.timeout(stateTimeoutMilliseconds)
  })
  const state = await readBounded(stateResponse.body, maxStateBytes)
  const fromSequence = index.nextSequence(worker, stateSchema.parse(parseJson(state.toString('utf8'))).incarnation)
  const eventsResponse = await client.request({ method: 'GET', path: `/cache-events?from=${fromSequence}` })
  const receivedData: string[] = []
  const parser = createEventParser(data => { receivedData.push(data) })
  const decoder = new TextDecoder()
  let retried = previous
  for await (const bytes of eventsResponse.body) {
    parser.feed(decoder.decode(bytes as Buffer, { stream: true }))
    for (const data of receivedData.splice(0)) {
      const event = cacheEventSchema.parse(JSON.parse(data))
      if (index.apply(worker, event) !== 'gap') continue
      const { incarnation } = event
      const sequence = index.nextSequence(worker, incarnation)
      if (retried?.incarnation !== incarnation || retried.sequence !== sequence) return { incarnation, sequence }
      retried = undefined
      index.resynchronise(worker, event.sequence)
      index.apply(worker, event)
      options.events.info('cache_hints_resynchronised', { worker, sequence: event.sequence })
    }
  }
  return retried
}
