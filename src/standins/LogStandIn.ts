/**
 * Stand-in of the platform's append-only log: named streams with consecutive offsets from 1, retention by time, a
 * limit on appends per second, and long polls for new records. All records are kept in memory.
 */
import { z } from 'zod'
import { type Clock, errorResponseOf, failure } from '../common/index.js'
import { listenAddressSchema } from '../settings/index.js'
import { readJson, StandIn, type StandInContext, type StandInOptions } from './StandIn.js'
import { StandInTokenBucket } from './StandInTokenBucket.js'

/** Settings of the log stand-in. */
export const logStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  /** Time after which a stored record is dropped. */
  retentionSeconds: z.number().positive().default(86_400),
  /** Limit on append calls per second over all streams; calls beyond it fail with status 429. */
  appendsPerSecond: z.number().positive().default(500),
  /** Delay of each append before its records are stored. */
  appendMilliseconds: z.number().nonnegative().default(0)
})
export type LogStandInSettings = z.input<typeof logStandInSettingsSchema>

const appendSchema = z.object({ records: z.array(z.string()).min(1).max(10_000) })
const readSchema = z.object({
  from: z.coerce.number().int().nonnegative().default(1),
  limit: z.coerce.number().int().positive().max(10_000).default(1000),
  'wait-ms': z.coerce.number().int().nonnegative().max(60_000).default(0)
})
const streamNamePattern = /^[a-z0-9][a-z0-9-]{0,62}$/

interface StoredRecord {
  offset: number
  /** Unix time in milliseconds. */
  at: number
  value: string
  /** Monotonic time in milliseconds. */
  storedAt: number
}

/** The records of one stream and the reads that wait for more. */
class LogStream {
  nextOffset = 1
  private records: StoredRecord[] = []
  private readonly waitingReaders = new Set<() => void>()

  constructor (private readonly clock: Clock, private readonly retentionMilliseconds: number) {}

  append (values: string[]): number {
    const firstOffset = this.nextOffset
    for (const value of values) {
      this.records.push({ offset: this.nextOffset, at: this.clock.wall(), value, storedAt: this.clock.monotonic() })
      this.nextOffset += 1
    }
    for (const wake of [...this.waitingReaders]) wake()
    return firstOffset
  }

  /** At most `limit` records starting at offset `from`, without those stored during the last `lagMilliseconds`. */
  readPage (from: number, limit: number, lagMilliseconds: number) {
    this.expire()
    const startOffset = this.records[0]?.offset ?? this.nextOffset
    const visibleThrough = this.clock.monotonic() - lagMilliseconds
    const start = Math.max(0, from - startOffset)
    const records = this.records
      .slice(start, start + limit)
      .filter(({ storedAt }) => storedAt <= visibleThrough)
      .map(({ offset, at, value }) => ({ offset, at, value }))
    const firstHidden = lagMilliseconds === 0 ? undefined : this.records.find(({ storedAt }) => storedAt > visibleThrough)
    const nextOffset = firstHidden?.offset ?? this.nextOffset
    return { startOffset: Math.min(startOffset, nextOffset), nextOffset, records }
  }

  /** Resolves at the next append, after the given time, or when the signal aborts. */
  async waitForAppend (milliseconds: number, signal: AbortSignal): Promise<void> {
    const controller = new AbortController()
    const wake = () => controller.abort()
    this.waitingReaders.add(wake)
    signal.addEventListener('abort', wake, { once: true })
    if (signal.aborted) wake()
    await this.clock.sleep(milliseconds, controller.signal)
    this.waitingReaders.delete(wake)
    signal.removeEventListener('abort', wake)
  }

  private expire (): void {
    const expiredThrough = this.clock.monotonic() - this.retentionMilliseconds
    const firstKept = this.records.findIndex(({ storedAt }) => storedAt > expiredThrough)
    if (firstKept !== 0) this.records = firstKept < 0 ? [] : this.records.slice(firstKept)
  }
}

/**
 * Poll interval of a waiting read under a lag, in milliseconds: a record becomes visible when its lag is over, without an
 * append that would wake the read.
 */
const lagPollMilliseconds = 20

/** Serves appends to and reads of streams. */
export class LogStandIn extends StandIn {
  private readonly streams = new Map<string, LogStream>()
  private readonly appendRateLimit: StandInTokenBucket

  private constructor (private readonly settings: z.infer<typeof logStandInSettingsSchema>, options: StandInOptions) {
    super(options)
    const tokensPerSecond = settings.appendsPerSecond
    this.appendRateLimit = new StandInTokenBucket({ clock: this.clock, tokensPerSecond, capacity: Math.max(1, tokensPerSecond) })
    this.app.post('/streams/:stream/records', c => this.append(c, c.req.param('stream')))
    this.app.get('/streams/:stream/records', c => this.read(c, c.req.param('stream')))
  }

  /** Starts a log stand-in. */
  static async start (settings: LogStandInSettings = {}, options: StandInOptions = {}): Promise<LogStandIn> {
    const parsed = logStandInSettingsSchema.parse(settings)
    return await new LogStandIn(parsed, options).listen(parsed.listen)
  }

  private async append (c: StandInContext, name: string): Promise<Response> {
    const body = await readJson(c, appendSchema)
    if (body.isErr) return errorResponseOf(body.error)
    if (!streamNamePattern.test(name)) return errorResponseOf(failure('bad_request', `invalid stream name "${name}"`))
    if (!this.appendRateLimit.tryTake(1)) return errorResponseOf(failure('overloaded', 'over the limit on appends per second'))
    if (this.settings.appendMilliseconds > 0) await this.clock.sleep(this.settings.appendMilliseconds)
    return c.json({ firstOffset: this.findOrCreateStream(name).append(body.value.records) })
  }

  private async read (c: StandInContext, name: string): Promise<Response> {
    const query = readSchema.safeParse(c.req.query())
    if (!query.success) return errorResponseOf(failure('bad_request', z.prettifyError(query.error)))
    const { from, limit, 'wait-ms': waitMilliseconds } = query.data
    const stream = this.findOrCreateStream(name)
    const lag = this.faults.lagMilliseconds({ method: c.req.method, path: c.req.path }, 0)
    const signal = this.closedSignal(c, 'wait')
    const deadline = this.clock.monotonic() + waitMilliseconds
    for (;;) {
      const page = stream.readPage(from, limit, lag)
      const remainingMilliseconds = deadline - this.clock.monotonic()
      if (page.records.length > 0 || remainingMilliseconds <= 0 || signal.aborted) return c.json(page)
      await stream.waitForAppend(lag > 0 ? Math.min(remainingMilliseconds, lagPollMilliseconds) : remainingMilliseconds, signal)
    }
  }

  private findOrCreateStream (name: string): LogStream {
    const existing = this.streams.get(name)
    if (existing !== undefined) return existing
    const stream = new LogStream(this.clock, this.settings.retentionSeconds * 1000)
    this.streams.set(name, stream)
    return stream
  }
}
