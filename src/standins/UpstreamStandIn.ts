/**
 * Base class of the stand-ins of upstreams (engine and service): an incarnation, load reports with a lag, and
 * the `leaving` flag that a load report carries.
 */
import { z } from 'zod'
import { errorResponseOf, type Incarnation, newIncarnation } from '../common/index.js'
import { LaggedValue } from './LaggedValue.js'
import { readJson, StandIn, type StandInOptions } from './StandIn.js'

const leavingSchema = z.strictObject({ leaving: z.boolean().default(true) })

/** A stand-in that requests are routed to. `Load` is the type of the figures in its load report. */
export abstract class UpstreamStandIn<Load extends object> extends StandIn {
  readonly incarnation: Incarnation = newIncarnation()
  protected isLeaving = false
  private laggedLoad: LaggedValue<Load> | undefined

  protected constructor (options: StandInOptions, private readonly loadLagMilliseconds: number) {
    super(options)
    this.app.get('/load', c => c.json(this.loadReport()))
    this.app.post('/leaving', async c => {
      const body = await readJson(c, leavingSchema, {})
      if (body.isErr) return errorResponseOf(body.error)
      this.isLeaving = body.value.leaving
      this.recordLoad()
      return c.json({ leaving: this.isLeaving })
    })
  }

  /** The current figures of the load report, without lag. */
  protected abstract currentLoad (): Load

  /** Records the current load; call it after each change of the figures. */
  protected recordLoad (): void {
    this.ensureLaggedLoad().set(this.currentLoad())
  }

  /** Creates the lagged value on first use, since the initial figures need the members of the subclass. */
  private ensureLaggedLoad (): LaggedValue<Load> {
    this.laggedLoad ??= new LaggedValue<Load>(this.clock, this.currentLoad())
    return this.laggedLoad
  }

  private loadReport (): Load & { at: number, incarnation: Incarnation } {
    const lag = this.faults.lagMilliseconds({ method: 'GET', path: '/load' }, this.loadLagMilliseconds)
    return { at: this.clock.wall() - lag, incarnation: this.incarnation, ...this.ensureLaggedLoad().withLag(lag) }
  }
}
