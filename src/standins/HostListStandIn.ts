/**
 * Stand-in of the platform's list of hosts: versions with ETag, and a lag between a change and what readers
 * see. An entry stays until it is removed; nothing refreshes it.
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
  /** Readers see the list as it was this long ago. */
  lagMilliseconds: z.number().nonnegative().default(0)
})
export type HostListStandInSettings = z.input<typeof hostListStandInSettingsSchema>

/** The host list stand-in. */
export class HostListStandIn extends StandIn {
  private readonly list: LaggedValue<HostList>

  private constructor (private readonly settings: z.infer<typeof hostListStandInSettingsSchema>, options: StandInOptions) {
    super(options)
    this.list = new LaggedValue<HostList>(this.clock, { version: 0, hosts: [] })
    this.app.get('/hosts', c => this.read(c))
    this.app.post('/hosts', c => this.put(c))
    this.app.put('/hosts/:id', c => this.put(c, c.req.param('id')))
    this.app.delete('/hosts/:id', c => c.json(this.remove(c.req.param('id'), c.req.query('incarnation'))))
  }

  /** Starts a host list. */
  static async start (settings: HostListStandInSettings = {}, options: StandInOptions = {}): Promise<HostListStandIn> {
    const parsed = hostListStandInSettingsSchema.parse(settings)
    return await new HostListStandIn(parsed, options).listen(parsed.listen)
  }

  private read (c: StandInContext): Response {
    const lag = this.faults.lagMilliseconds({ method: 'GET', path: '/hosts' }, this.settings.lagMilliseconds)
    const seen = this.list.at(lag)
    const etag = `"${seen.version}"`
    if (c.req.header('if-none-match') === etag) return c.body(null, 304, { etag })
    return c.json(seen, 200, { etag })
  }

  private async put (c: StandInContext, id?: string): Promise<Response> {
    const body = await readJson(c, listedHostSchema.refine(host => id === undefined || host.hostId === id, 'hostId differs from the path'))
    if (body.isErr) return errorResponseOf(body.error)
    const others = this.list.current.hosts.filter(({ hostId }) => hostId !== body.value.hostId)
    return c.json({ version: this.change([...others, body.value]) })
  }

  /** Removes a host; an incarnation that was replaced does not remove its successor. */
  private remove (id: string, incarnation: string | undefined): { version: number } {
    const { version, hosts } = this.list.current
    const kept = hosts.filter(host => {
      return host.hostId !== id || (incarnation !== undefined && host.incarnation !== incarnation)
    })
    return { version: kept.length === hosts.length ? version : this.change(kept) }
  }

  private change (hosts: ListedHost[]): number {
    const version = this.list.current.version + 1
    this.list.set({ version, hosts })
    return version
  }
}
