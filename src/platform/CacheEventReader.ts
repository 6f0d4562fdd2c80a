/**
 * Reads the cache events of one worker over a connection of its own. Reads bear no id by which a response could be told
 * from a late copy of another: on a shared connection, a request could receive the response to a read, and a read that
 * to a request. On its own connection, a read can only receive a copy of an earlier read's response.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type BoundedClient, readBounded } from '../clients/index.js'
import { timeoutSignal } from '../common/index.js'
import type { Upstream } from '../upstreams/index.js'

/** A change of what the worker holds: the tokens of a part that it holds now, 0 if it no longer holds the part. */
export interface CacheEvent { part: string, model: string, tokens: number }

/** Events in their order. `isContinuous`: false if what the worker held before is no longer known. */
export interface CacheEvents { isContinuous: boolean, events: CacheEvent[] }

/** Time for which a worker may hold a read without events, in milliseconds; the longest that it accepts. */
const waitMilliseconds = 1000

/** Time limit of a read, in milliseconds. */
const readTimeoutMilliseconds = 2000

/** Maximum size of the response to a read, in bytes; an event takes about 60. */
const maxResponseBytes = 4_194_304

/**
 * Response to a read of events. `epoch` changes when the worker restarts; `lost`: events before the first one were
 * dropped. An event consists of its number, `+` or `-`, an empty text, the id of a part, the tokens of the part that
 * the worker holds now, and the model.
 */
const responseSchema = z.object({
  epoch: z.union([z.string(), z.number()]),
  'next-token': z.number(),
  lost: z.boolean().or(z.number()),
  events: z.array(z.tuple([z.number(), z.string(), z.unknown(), z.string(), z.number(), z.string()]))
})

/** Reads events one call after the other. */
export class CacheEventReader {
  private connection: BoundedClient | undefined
  private position: { epoch: string, next: number } | undefined

  constructor (private readonly worker: Upstream) {}

  /**
   * Reads the events since the previous read. The error states why there are none; the next read then asks for the same
   * events. A response that cannot be read, or is a copy of an earlier one, ends the connection.
   */
  async read (signal: AbortSignal): Promise<Result<CacheEvents, string>> {
    const isFirstRead = this.connection === undefined
    this.connection ??= this.worker.openConnection()
    try {
      const since = this.position?.next ?? 0
      const response = await this.worker.request({
        method: 'GET',
        path: `/v1/kv-events?since=${since}`,
        headers: { 'wait-ms': String(waitMilliseconds) },
        signal: timeoutSignal(readTimeoutMilliseconds, signal)
      }, this.connection)
      const text = (await readBounded(response.body, maxResponseBytes)).toString('utf8')
      if (response.statusCode !== 200) return Result.err(`the worker refused a read with status ${response.statusCode}`)
      const body = responseSchema.parse(JSON.parse(text))
      const epoch = String(body.epoch)
      const next = body['next-token']
      const isSameEpoch = this.position?.epoch === epoch
      const isEarlier = isSameEpoch && (next < since || body.events.some(([number]) => number < since))
      // The first response on a connection cannot be a copy: the worker may count anew, or send an event late.
      if (isEarlier && !isFirstRead) throw new Error(`the response to a read from ${since} is an earlier one`)
      const isContinuous = this.position === undefined || (isSameEpoch && next >= since)
      this.position = { epoch, next }
      return Result.ok({
        isContinuous: isContinuous && body.lost !== true,
        events: body.events.map(([, , , part, tokens, model]) => ({ part, model, tokens }))
      })
    } catch (caught) {
      this.close()
      return Result.err((caught as Error).message)
    }
  }

  /** Closes the connection; the next read opens another. */
  close (): void {
    this.connection?.destroy().catch(() => {})
    this.connection = undefined
  }
}
