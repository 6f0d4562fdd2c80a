/**
 * Stand-in of the platform's append-only log: named streams with dense offsets from 1, retention by time, a
 * limit on appends per second, and reads that wait for a record. Everything is kept in memory.
 */
import { z } from 'zod'
import { type Clock, errorResponseOf, failure } from '../common/index.js'
import { listenAddressSchema } from '../settings/index.js'
import { readJson, StandIn, type StandInContext, type StandInOptions } from './StandIn.js'
import { TokenBucket } from './TokenBucket.js'

/** Settings of the log stand-in. */
export const logStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  /** How long records are kept. */
  retentionSeconds: z.number().positive().default(86_400),
  /** Limit on append calls per second over all streams; calls beyond it get status 429. */
  appendsPerSecond: z.number().positive().default(500),
  /** Time that each append takes before it is stored. */
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
  at: number
  value: string
  /** Monotonic time of storing. */
  storedAt: number
}

/** One stream. */
class LogStream {
  nextOffset = 1
  private records: StoredRecord[] = []
  private readonly waiting = new Set<() => void>()

  constructor (private readonly clock: Clock, private readonly retentionMilliseconds: number) {}

  append (values: string[]): number {
    const firstOffset = this.nextOffset
    for (const value of values) {
      this.records.push({ offset: this.nextOffset, at: this.clock.wall(), value, storedAt: this.clock.monotonic() })
      this.nextOffset += 1
    }
    for (const wake of [...this.waiting]) wake()
    return firstOffset
  }

  /** Records from an offset on, of those that were stored before the lag. */
  page (from: number, limit: number, lagMilliseconds: number) {
    this.expire()
    const startOffset = this.records[0]?.offset ?? this.nextOffset
    const visibleUntil = this.clock.monotonic() - lagMilliseconds
    const start = Math.max(0, from - startOffset)
    const records = this.records
      .slice(start, start + limit)
      .filter(({ storedAt }) => storedAt <= visibleUntil)
      .map(({ offset, at, value }) => ({ offset, at, value }))
    const hidden = lagMilliseconds === 0 ? undefined : this.records.find(({ storedAt }) => storedAt > visibleUntil)
    const nextOffset = hidden?.offset ?? this.nextOffset
    return { startOffset: Math.min(startOffset, nextOffset), nextOffset, records }
  }

  /** Resolves with the next append, after the time, or when the signal aborts. */
  async change (milliseconds: number, signal: AbortSignal): Promise<void> {
    const controller = new AbortController()
    const wake = () => controller.abort()
    this.waiting.add(wake)
    signal.addEventListener('abort', wake, { once: true })
    if (signal.aborted) wake()
    await this.clock.sleep(milliseconds, controller.signal)
    this.waiting.delete(wake)
    signal.removeEventListener('abort', wake)
  }

  private expire (): void {
    const oldest = this.clock.monotonic() - this.retentionMilliseconds
    const kept = this.records.findIndex(({ storedAt }) => storedAt > oldest)
    if (kept !== 0) this.records = kept < 0 ? [] : this.records.slice(kept)
  }
}

/** While reads lag, a waiting read looks again after this time, since no append wakes it. */
const lagPollMilliseconds = 20

/** The log stand-in. */
export class LogStandIn extends StandIn {
  private readonly streams = new Map<string, LogStream>()
  private readonly appendLimit: TokenBucket

  private constructor (private readonly settings: z.infer<typeof logStandInSettingsSchema>, options: StandInOptions) {
    super(options)
    const perSecond = settings.appendsPerSecond
    this.appendLimit = new TokenBucket({ clock: this.clock, perSecond, burst: Math.max(1, perSecond) })
    this.app.post('/streams/:stream/records', c => this.append(c, c.req.param('stream')))
    this.app.get('/streams/:stream/records', c => this.read(c, c.req.param('stream')))
  }

  /** Starts a log. */
  static async start (settings: LogStandInSettings = {}, options: StandInOptions = {}): Promise<LogStandIn> {
    const parsed = logStandInSettingsSchema.parse(settings)
    return await new LogStandIn(parsed, options).listen(parsed.listen)
  }

  private async append (c: StandInContext, name: string): Promise<Response> {
    const body = await readJson(c, appendSchema)
    if (body.isErr) return errorResponseOf(body.error)
    if (!streamNamePattern.test(name)) return errorResponseOf(failure('bad_request', `invalid stream name "${name}"`))
    if (!this.appendLimit.tryTake(1)) return errorResponseOf(failure('overloaded', 'over the limit on appends per second'))
    if (this.settings.appendMilliseconds > 0) await this.clock.sleep(this.settings.appendMilliseconds)
    return c.json({ firstOffset: this.streamOf(name).append(body.value.records) })
  }

  private async read (c: StandInContext, name: string): Promise<Response> {
    const query = readSchema.safeParse(c.req.query())
    if (!query.success) return errorResponseOf(failure('bad_request', z.prettifyError(query.error)))
    const { from, limit, 'wait-ms': waitMilliseconds } = query.data
    const stream = this.streamOf(name)
    const lag = this.faults.lagMilliseconds({ method: c.req.method, path: c.req.path }, 0)
    const signal = this.closedSignal(c, 'wait')
    const deadline = this.clock.monotonic() + waitMilliseconds
    for (;;) {
      const page = stream.page(from, limit, lag)
      const left = deadline - this.clock.monotonic()
      if (page.records.length > 0 || left <= 0 || signal.aborted) return c.json(page)
      await stream.change(lag > 0 ? Math.min(left, lagPollMilliseconds) : left, signal)
    }
  }

  private streamOf (name: string): LogStream {
    const known = this.streams.get(name)
    if (known !== undefined) return known
    const stream = new LogStream(this.clock, this.settings.retentionSeconds * 1000)
    this.streams.set(name, stream)
    return stream
  }
}
