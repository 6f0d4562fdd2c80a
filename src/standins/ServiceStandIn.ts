/**
 * Stand-in of a plain service: it takes calls of any path, spends a time on each and records that it ran. It
 * never looks for duplicates, so that the list of runs shows every one. A call that was started runs to its
 * end, even when its connection closes. Faults with `when: 'after'` fail or end it between the run and the answer.
 */
import { z } from 'zod'
import { errorResponseOf, failure } from '../common/index.js'
import { listenAddressSchema } from '../settings/index.js'
import type { StandInContext, StandInOptions } from './StandIn.js'
import { UpstreamStandIn } from './UpstreamStandIn.js'

/** Settings of the service stand-in. */
export const serviceStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  /** Time that each call takes. */
  processingMilliseconds: z.number().nonnegative().default(5),
  /** Calls that run at a time; further ones wait in the order of their arrival. */
  maxConcurrent: z.number().int().positive().default(64),
  /** Calls that wait; further ones get status 429 and do not run. */
  maxQueued: z.number().int().nonnegative().default(1024),
  /** Load reports show the state of this long ago. */
  loadLagMilliseconds: z.number().nonnegative().default(0),
  /** Runs that are recorded; the oldest are forgotten beyond this number. */
  maxRuns: z.number().int().positive().default(100_000)
})
export type ServiceStandInSettings = z.input<typeof serviceStandInSettingsSchema>

/** One run of a call. */
export interface ServiceRun {
  /** Counts from 1. */
  run: number
  /** Unix time in milliseconds of the end of the run. */
  at: number
  method: string
  /** Path with query. */
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

/** The service stand-in. */
export class ServiceStandIn extends UpstreamStandIn<ServiceLoad> {
  private readonly runs: ServiceRun[] = []
  private readonly queue: Array<() => void> = []
  /** Runs so far. */
  runCount = 0
  private running = 0

  private constructor (private readonly settings: z.infer<typeof serviceStandInSettingsSchema>, options: StandInOptions) {
    super(options, settings.loadLagMilliseconds)
    this.app.get('/runs', c => c.json({ runs: this.runs }))
    this.app.all('*', c => this.call(c))
    this.noteLoad()
  }

  /** Starts a service. */
  static async start (settings: ServiceStandInSettings = {}, options: StandInOptions = {}): Promise<ServiceStandIn> {
    const parsed = serviceStandInSettingsSchema.parse(settings)
    return await new ServiceStandIn(parsed, options).listen(parsed.listen)
  }

  protected override loadFigures (): ServiceLoad {
    const { maxConcurrent } = this.settings
    return { running: this.running, queued: this.queue.length, maxConcurrent, leaving: this.isLeaving }
  }

  private async call (c: StandInContext): Promise<Response> {
    const body = await c.req.text()
    const closed = this.closedSignal(c, 'work')
    if (!await this.enter()) return errorResponseOf(failure('overloaded', 'too many calls wait'))
    try {
      if (closed.aborted) return errorResponseOf(failure('cancelled', 'the connection closed before the call ran'))
      await this.clock.sleep(this.settings.processingMilliseconds)
      const run = this.record(c)
      return c.json({ run: run.run, method: run.method, path: run.path, body })
    } finally {
      this.leave()
    }
  }

  private record (c: StandInContext): ServiceRun {
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

  /** Waits for a free place; false if the queue is full. */
  private async enter (): Promise<boolean> {
    if (this.running < this.settings.maxConcurrent) {
      this.running += 1
      this.noteLoad()
      return true
    }
    if (this.queue.length >= this.settings.maxQueued) return false
    // The call that leaves hands its place over, so the number of running calls stays the same.
    const entered = new Promise<void>(resolve => this.queue.push(resolve))
    this.noteLoad()
    await entered
    return true
  }

  private leave (): void {
    const next = this.queue.shift()
    if (next === undefined) this.running -= 1
    else next()
    this.noteLoad()
  }
}
