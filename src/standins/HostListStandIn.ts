/**
 * Stand-in of the platform's host list: versions as ETags, and a lag after which readers see a change. An entry stays
 * until a call removes it; it needs no refresh and does not expire.
 */
import { z } from 'zod'
import { errorResponseOf } from '../common/index.js'
import { type HostList, type ListedHost, listedHostSchema } from '../clients/index.js'
import { listenAddressSchema } from '../settings/index.js'
import { LaggedValue } from './LaggedValue.js'
import { readJson, StandIn, type StandInContext, type StandInOptions } from './StandIn.js'

/** Settings of the host list stand-in. */
export const hostListStandInSettingsSchema = z.strictObject({
  listen: listenAddressSchema.default('127.0.0.1:0'),
  /** Lag of reads, which return the list as it was that long ago. */
  lagMilliseconds: z.number().nonnegative().default(0)
})
export type HostListStandInSettings = z.input<typeof hostListStandInSettingsSchema>

/** Serves a host list whose version increases with each change. */
export class HostListStandIn extends StandIn {
  private readonly list: LaggedValue<HostList>

  private constructor (private readonly settings: z.infer<typeof hostListStandInSettingsSchema>, options: StandInOptions) {
    super(options)
    this.list = new LaggedValue<HostList>(this.clock, { version: 0, hosts: [] })
    this.app.get('/hosts', c => this.read(c))
    this.app.post('/hosts', c => this.register(c))
    this.app.put('/hosts/:id', c => this.register(c, c.req.param('id')))
    this.app.delete('/hosts/:id', c => c.json(this.remove(c.req.param('id'), c.req.query('incarnation'))))
  }

  /** Starts a host list stand-in. */
  static async start (settings: HostListStandInSettings = {}, options: StandInOptions = {}): Promise<HostListStandIn> {
    const parsed = hostListStandInSettingsSchema.parse(settings)
    return await new HostListStandIn(parsed, options).listen(parsed.listen)
  }

  private read (c: StandInContext): Response {
    const lag = this.faults.lagMilliseconds({ method: 'GET', path: '/hosts' }, this.settings.lagMilliseconds)
    const visibleList = this.list.withLag(lag)
    const etag = `"${visibleList.version}"`
    if (c.req.header('if-none-match') === etag) return c.body(null, 304, { etag })
    return c.json(visibleList, 200, { etag })
  }

  private async register (c: StandInContext, id?: string): Promise<Response> {
    const body = await readJson(c, listedHostSchema.refine(host => id === undefined || host.hostId === id, 'hostId differs from the id in the path'))
    if (body.isErr) return errorResponseOf(body.error)
    const others = this.list.current.hosts.filter(({ hostId }) => hostId !== body.value.hostId)
    return c.json({ version: this.setHosts([...others, body.value]) })
  }

  /**
   * Removes a host if it has the given incarnation, or if none is given. So a delayed removal by a replaced incarnation
   * does not remove the entry of its successor.
   */
  private remove (id: string, incarnation: string | undefined): { version: number } {
    const { version, hosts } = this.list.current
    const remainingHosts = hosts.filter(host => {
      return host.hostId !== id || (incarnation !== undefined && host.incarnation !== incarnation)
    })
    return { version: remainingHosts.length === hosts.length ? version : this.setHosts(remainingHosts) }
  }

  private setHosts (hosts: ListedHost[]): number {
    const version = this.list.current.version + 1
    this.list.set({ version, hosts })
    return version
  }
}
