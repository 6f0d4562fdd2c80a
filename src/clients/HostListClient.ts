/**
 * Client of the platform's list of hosts. The list can be out of date: it may still hold a host that no longer
 * runs, and a new host may be missing.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import { type Failure, failure, hostIdSchema, incarnationSchema, regionSchema, zoneSchema } from '../common/index.js'
import { HttpClient } from './HttpClient.js'

/** The entry of one host in the list. Addresses are `ip:port`. */
export const listedHostSchema = z.object({
  hostId: hostIdSchema,
  incarnation: incarnationSchema,
  zone: zoneSchema,
  region: regionSchema,
  addresses: z.object({
    callers: z.array(z.string()),
    administration: z.string(),
    peers: z.string()
  }),
  state: z.enum(['live', 'leaving'])
})
export type ListedHost = z.infer<typeof listedHostSchema>

/** The list of hosts at one version. */
export const hostListSchema = z.object({ version: z.number(), hosts: z.array(listedHostSchema) })
export type HostList = z.infer<typeof hostListSchema>

/** Reads the host list and changes the entries of hosts. */
export abstract class HostListClient {
  /** Reads the list; returns `unchanged` if its version is still the given one. Errors: `platform_unavailable`. */
  abstract read (knownVersion?: number): Promise<Result<HostList | 'unchanged', Failure>>
  /** Adds a host to the list or replaces its entry. Errors: `platform_unavailable`. */
  abstract register (host: ListedHost): Promise<Result<void, Failure>>
  /** Removes a host from the list. Errors: `platform_unavailable`. */
  abstract remove (host: Pick<ListedHost, 'hostId' | 'incarnation'>): Promise<Result<void, Failure>>
}

const responseTimeoutMilliseconds = 2000

/** Maximum size of the list, in bytes; the entry of a host takes about 300. */
const maxListBytes = 16_777_216

/** HTTP client of the host list. */
export class HttpHostListClient extends HostListClient {
  private readonly http: HttpClient

  constructor (origin: string) {
    super()
    this.http = new HttpClient(origin)
  }

  async read (knownVersion?: number): Promise<Result<HostList | 'unchanged', Failure>> {
    const sent = await this.http.send({
      method: 'GET',
      path: '/hosts',
      headers: knownVersion === undefined ? {} : { 'if-none-match': `"${knownVersion}"` },
      timeoutMilliseconds: responseTimeoutMilliseconds,
      maxResponseBytes: maxListBytes
    })
    if (sent.isErr) return Result.err(failure('platform_unavailable', sent.error.message))
    if (sent.value.status === 304) return Result.ok('unchanged')
    const list = hostListSchema.safeParse(sent.value.body)
    if (sent.value.status !== 200 || !list.success) {
      return Result.err(failure('platform_unavailable', `unexpected response from the host list: status ${sent.value.status}`))
    }
    return Result.ok(list.data)
  }

  async register (host: ListedHost): Promise<Result<void, Failure>> {
    return await this.change('PUT', host.hostId, host)
  }

  async remove (host: Pick<ListedHost, 'hostId' | 'incarnation'>): Promise<Result<void, Failure>> {
    return await this.change('DELETE', `${host.hostId}?incarnation=${host.incarnation}`)
  }

  private async change (method: 'PUT' | 'DELETE', path: string, body?: unknown): Promise<Result<void, Failure>> {
    const sent = await this.http.send({ method, path: `/hosts/${path}`, body, timeoutMilliseconds: responseTimeoutMilliseconds })
    if (sent.isErr) return Result.err(failure('platform_unavailable', sent.error.message))
    if (sent.value.status >= 300) {
      return Result.err(failure('platform_unavailable', `the host list answered ${method} with status ${sent.value.status}`))
    }
    return Result.ok(undefined)
  }

  /** Closes the connections. */
  async close (): Promise<void> {
    await this.http.close()
  }
}
