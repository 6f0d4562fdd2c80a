/**
 * What the stand-ins of upstreams (engine and service) have in common: an incarnation, load reports with a
 * lag, and leaving.
 */
import { z } from 'zod'
import { errorResponseOf, type Incarnation, newIncarnation } from '../common/index.js'
import { LaggedValue } from './LaggedValue.js'
import { readJson, StandIn, type StandInOptions } from './StandIn.js'

const leavingSchema = z.strictObject({ leaving: z.boolean().default(true) })

/** A stand-in that takes work. `Load` has the figures of its load report. */
export abstract class UpstreamStandIn<Load extends object> extends StandIn {
  readonly incarnation: Incarnation = newIncarnation()
  protected isLeaving = false
  private reports: LaggedValue<Load> | undefined

  protected constructor (options: StandInOptions, private readonly loadLagMilliseconds: number) {
    super(options)
    this.app.get('/load', c => c.json(this.loadReport()))
    this.app.post('/leaving', async c => {
      const body = await readJson(c, leavingSchema, {})
      if (body.isErr) return errorResponseOf(body.error)
      this.isLeaving = body.value.leaving
      this.noteLoad()
      return c.json({ leaving: this.isLeaving })
    })
  }

  /** The figures of the load report, without lag. */
  protected abstract loadFigures (): Load

  /** To be called after each change of the figures. */
  protected noteLoad (): void {
    this.reportedLoad().set(this.loadFigures())
  }

  /** Created late, since the first figures need the members of the subclass. */
  private reportedLoad (): LaggedValue<Load> {
    this.reports ??= new LaggedValue<Load>(this.clock, this.loadFigures())
    return this.reports
  }

  private loadReport (): Load & { at: number, incarnation: Incarnation } {
    const lag = this.faults.lagMilliseconds({ method: 'GET', path: '/load' }, this.loadLagMilliseconds)
    return { at: this.clock.wall() - lag, incarnation: this.incarnation, ...this.reportedLoad().at(lag) }
  }
}
