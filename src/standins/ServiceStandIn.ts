/**
 * Stand-in of a plain service: it accepts calls to any path, takes a set time for each and records each run. It does
 * not deduplicate calls, so that the list of runs shows duplicates too. A call that has started runs to its end, even
 * when the caller disconnects. Faults with `when: 'after'` fail the call, or end the process, between the run and the
 * response.
 */
import { z } from 'zod'
import { errorResponseOf, failure } from '../common/index.js'
import { listenAddressSchema } from '../settings/index.js'
import type { StandInContext, StandInOptions } from './StandIn.js'
import { UpstreamStandIn } from './UpstreamStandIn.js'

/** Settings of the service stand-in. */
export const serviceStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  /** Processing time of each call. */
  processingMilliseconds: z.number().nonnegative().default(5),
  /** Maximum number of calls that run concurrently; further ones are queued in the order of arrival. */
  maxConcurrent: z.number().int().positive().default(64),
  /** Maximum number of queued calls; further ones fail with status 429 and do not run. */
  maxQueued: z.number().int().nonnegative().default(1024),
  /** Lag of load reports, which show the load as it was that long ago. */
  loadLagMilliseconds: z.number().nonnegative().default(0),
  /** Maximum number of recorded runs; the oldest are dropped. */
  maxRuns: z.number().int().positive().default(100_000)
})
export type ServiceStandInSettings = z.input<typeof serviceStandInSettingsSchema>

/** A run of a call, as `GET /runs` lists it. */
export interface ServiceRun {
  /** Number of the run, from 1. */
  run: number
  /** Unix time in milliseconds of the end of the run. */
  at: number
  method: string
  /** Path with the query string. */
  path: string
  /** Header `idempotency-key`. */
  idempotencyKey: string | null
  /** Header `x-request-id`. */
  requestId: string | null
}

interface ServiceLoad {
  running: number
  queued: number
  maxConcurrent: number
  leaving: boolean
}

/** Runs calls within its concurrency limit and records the runs. */
export class ServiceStandIn extends UpstreamStandIn<ServiceLoad> {
  private readonly runs: ServiceRun[] = []
  private readonly queue: Array<() => void> = []
  /** Number of runs since the start, including those dropped from the record. */
  runCount = 0
  private running = 0

  private constructor (private readonly settings: z.infer<typeof serviceStandInSettingsSchema>, options: StandInOptions) {
    super(options, settings.loadLagMilliseconds)
    this.app.get('/runs', c => c.json({ runs: this.runs }))
    this.app.all('*', c => this.handleCall(c))
    this.recordLoad()
  }

  /** Starts a service stand-in. */
  static async start (settings: ServiceStandInSettings = {}, options: StandInOptions = {}): Promise<ServiceStandIn> {
    const parsed = serviceStandInSettingsSchema.parse(settings)
    return await new ServiceStandIn(parsed, options).listen(parsed.listen)
  }

  protected override currentLoad (): ServiceLoad {
    const { maxConcurrent } = this.settings
    return { running: this.running, queued: this.queue.length, maxConcurrent, leaving: this.isLeaving }
  }

  private async handleCall (c: StandInContext): Promise<Response> {
    const body = await c.req.text()
    const closed = this.closedSignal(c, 'work')
    if (!await this.acquireSlot()) return errorResponseOf(failure('overloaded', 'the call queue is full'))
    try {
      if (closed.aborted) return errorResponseOf(failure('cancelled', 'the caller disconnected before the call ran'))
      await this.clock.sleep(this.settings.processingMilliseconds)
      const run = this.recordRun(c)
      return c.json({ run: run.run, method: run.method, path: run.path, body })
    } finally {
      this.releaseSlot()
    }
  }

  private recordRun (c: StandInContext): ServiceRun {
    this.runCount += 1
    const { pathname, search } = new URL(c.req.url)
    const run: ServiceRun = {
      run: this.runCount,
      at: this.clock.wall(),
      method: c.req.method,
      path: `${pathname}${search}`,
      idempotencyKey: c.req.header('idempotency-key') ?? null,
      requestId: c.req.header('x-request-id') ?? null
    }
    this.runs.push(run)
    if (this.runs.length > this.settings.maxRuns) this.runs.shift()
    return run
  }

  /** Waits for a free slot; returns false if the queue is full. */
  private async acquireSlot (): Promise<boolean> {
    if (this.running < this.settings.maxConcurrent) {
      this.running += 1
      this.recordLoad()
      return true
    }
    if (this.queue.length >= this.settings.maxQueued) return false
    // A call that ends passes its slot to the next queued call, so the number of running calls stays the same.
    const slotReceived = new Promise<void>(resolve => this.queue.push(resolve))
    this.recordLoad()
    await slotReceived
    return true
  }

  private releaseSlot (): void {
    const next = this.queue.shift()
    if (next === undefined) this.running -= 1
    else next()
    this.recordLoad()
  }
}
