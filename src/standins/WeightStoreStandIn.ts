/**
 * Stand-in of the platform's weight store: all downloads share one rate of bytes, and only so many run at a
 * time.
 */
import { z } from 'zod'
import { errorResponseOf, failure, modelSchema } from '../common/index.js'
import { listenAddressSchema } from '../settings/index.js'
import { StandIn, type StandInContext, type StandInOptions } from './StandIn.js'
import { TokenBucket } from './TokenBucket.js'

/** Settings of the weight store stand-in. */
export const weightStoreStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  /** Shared by all downloads. */
  bytesPerSecond: z.number().positive().default(50_000_000),
  /** Downloads at a time; further ones get status 429. */
  maxConcurrent: z.number().int().positive().default(4),
  /** Seconds in the `retry-after` header of status 429. */
  retryAfterSeconds: z.number().int().positive().default(1),
  /** Size of weights that are not listed. Absent: they do not exist. */
  otherBytes: z.number().int().nonnegative().optional(),
  weights: z.array(z.strictObject({
    model: modelSchema,
    version: z.string(),
    bytes: z.number().int().nonnegative()
  })).default([])
})
export type WeightStoreStandInSettings = z.input<typeof weightStoreStandInSettingsSchema>

/** Bytes that are sent at a time. */
const partBytes = 65_536

/** The weight store stand-in. */
export class WeightStoreStandIn extends StandIn {
  private readonly rate: TokenBucket
  private running = 0

  private constructor (
    private readonly settings: z.infer<typeof weightStoreStandInSettingsSchema>,
    options: StandInOptions
  ) {
    super(options)
    this.rate = new TokenBucket({ clock: this.clock, perSecond: settings.bytesPerSecond, burst: partBytes })
    this.app.get('/weights/:model/:version', c => this.download(c, c.req.param('model'), c.req.param('version')))
  }

  /** Starts a weight store. */
  static async start (settings: WeightStoreStandInSettings = {}, options: StandInOptions = {}): Promise<WeightStoreStandIn> {
    const parsed = weightStoreStandInSettingsSchema.parse(settings)
    return await new WeightStoreStandIn(parsed, options).listen(parsed.listen)
  }

  private download (c: StandInContext, model: string, version: string): Response {
    const listed = this.settings.weights.find(weights => weights.model === model && weights.version === version)
    const bytes = listed?.bytes ?? this.settings.otherBytes
    if (bytes === undefined) return errorResponseOf(failure('not_found', `no weights of "${model}" version "${version}"`))
    if (this.running >= this.settings.maxConcurrent) {
      const refused = errorResponseOf(failure('overloaded', 'too many downloads'))
      refused.headers.set('retry-after', String(this.settings.retryAfterSeconds))
      return refused
    }
    this.running += 1
    c.env.outgoing.once('close', () => { this.running -= 1 })
    const headers = { 'content-type': 'application/octet-stream', 'content-length': String(bytes) }
    return c.body(this.bytes(bytes, this.closedSignal(c, 'work')), 200, headers)
  }

  /** A stream of zeros at the shared rate. */
  private bytes (total: number, signal: AbortSignal): ReadableStream<Uint8Array> {
    let left = total
    return new ReadableStream({
      pull: async controller => {
        const part = Math.min(left, partBytes)
        const wait = this.rate.takeAhead(part)
        if (wait > 0) await this.clock.sleep(wait, signal)
        if (signal.aborted) return
        if (part > 0) controller.enqueue(new Uint8Array(part))
        left -= part
        if (left === 0) controller.close()
      }
    })
  }
}
