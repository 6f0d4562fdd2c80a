/**
 * Stand-in of the platform's weight store: all downloads share one bandwidth limit, and the number of concurrent
 * downloads is limited.
 */
import { z } from 'zod'
import { errorResponseOf, failure, modelSchema } from '../common/index.js'
import { listenAddressSchema } from '../settings/index.js'
import { StandIn, type StandInContext, type StandInOptions } from './StandIn.js'
import { StandInTokenBucket } from './StandInTokenBucket.js'

/** Settings of the weight store stand-in. */
export const weightStoreStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  /** Bandwidth shared by all downloads. */
  bytesPerSecond: z.number().positive().default(50_000_000),
  /** Maximum number of concurrent downloads; further ones fail with status 429. */
  maxConcurrent: z.number().int().positive().default(4),
  /** Seconds in the `retry-after` header of status 429. */
  retryAfterSeconds: z.number().int().positive().default(1),
  /** Size of weights that `weights` does not list. Absent: such weights do not exist. */
  otherBytes: z.number().int().nonnegative().optional(),
  weights: z.array(z.strictObject({
    model: modelSchema,
    version: z.string(),
    bytes: z.number().int().nonnegative()
  })).default([])
})
export type WeightStoreStandInSettings = z.input<typeof weightStoreStandInSettingsSchema>

/** Size of each chunk of a download; the last one can be smaller. */
const chunkBytes = 65_536

/** Serves downloads of weights, whose bytes are all zero. */
export class WeightStoreStandIn extends StandIn {
  private readonly bandwidth: StandInTokenBucket
  private runningDownloads = 0

  private constructor (
    private readonly settings: z.infer<typeof weightStoreStandInSettingsSchema>,
    options: StandInOptions
  ) {
    super(options)
    this.bandwidth = new StandInTokenBucket({ clock: this.clock, tokensPerSecond: settings.bytesPerSecond, capacity: chunkBytes })
    this.app.get('/weights/:model/:version', c => this.download(c, c.req.param('model'), c.req.param('version')))
  }

  /** Starts a weight store stand-in. */
  static async start (settings: WeightStoreStandInSettings = {}, options: StandInOptions = {}): Promise<WeightStoreStandIn> {
    const parsed = weightStoreStandInSettingsSchema.parse(settings)
    return await new WeightStoreStandIn(parsed, options).listen(parsed.listen)
  }

  private download (c: StandInContext, model: string, version: string): Response {
    const listedWeights = this.settings.weights.find(weights => weights.model === model && weights.version === version)
    const bytes = listedWeights?.bytes ?? this.settings.otherBytes
    if (bytes === undefined) return errorResponseOf(failure('not_found', `no weights for model "${model}", version "${version}"`))
    if (this.runningDownloads >= this.settings.maxConcurrent) {
      const response = errorResponseOf(failure('overloaded', 'the limit on concurrent downloads is reached'))
      response.headers.set('retry-after', String(this.settings.retryAfterSeconds))
      return response
    }
    this.runningDownloads += 1
    c.env.outgoing.once('close', () => { this.runningDownloads -= 1 })
    const headers = { 'content-type': 'application/octet-stream', 'content-length': String(bytes) }
    return c.body(this.zeroStream(bytes, this.closedSignal(c, 'work')), 200, headers)
  }

  /** A stream of zero bytes, sent within the shared bandwidth. */
  private zeroStream (totalBytes: number, signal: AbortSignal): ReadableStream<Uint8Array> {
    let remainingBytes = totalBytes
    return new ReadableStream({
      pull: async controller => {
        const length = Math.min(remainingBytes, chunkBytes)
        const waitMilliseconds = this.bandwidth.reserve(length)
        if (waitMilliseconds > 0) await this.clock.sleep(waitMilliseconds, signal)
        if (signal.aborted) return
        if (length > 0) controller.enqueue(new Uint8Array(length))
        remainingBytes -= length
        if (remainingBytes === 0) controller.close()
      }
    })
  }
}
