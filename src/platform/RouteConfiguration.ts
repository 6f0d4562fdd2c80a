/**
 * The operators' configuration on the platform: decodes the document in the store into routes, services and limits, and
 * matches requests to routes.
 */
import { Result } from 'true-myth'
import { z } from 'zod'
import type { PoolScaling } from '../capacity/index.js'
import { type Failure, failure, type Model, type Pool } from '../common/index.js'
import { accountsSchema, type ClientAccount, ClientAccounts, decodeAccount } from './ClientAccounts.js'
import { scalingOf, scalingSchema } from './decodeScaling.js'

/**
 * How often a request may run: `safe`, any number of times; `once`, at most once; `stream`, again only if resumable.
 */
export type RouteKind = 'safe' | 'once' | 'stream'

/** A service that receives a share of a route's requests in proportion to its weight. */
export interface RouteTarget { pool: Pool, weight: number }

/** Rule for the requests with a host and a path prefix. */
export interface Route {
  name: string
  host: string
  pathPrefix: string
  kind: RouteKind
  /** Time limit of a request. */
  timeoutMilliseconds: number
  /** Latency target within which a response has its full value; for a stream, the latency of its first event. */
  targetMilliseconds: number
  /** Longest time for which a caller waits for the first event of a stream. */
  patienceMilliseconds: number
  /** Maximum number of workers that may run one request. */
  maxAttempts: number
  /** Priority of the requests; 0 is the most urgent. */
  rank: number
  /** True if another worker may continue an interrupted stream. */
  resumable: boolean
  /** True if requests need no key although there are accounts. */
  anonymous: boolean
  targets: RouteTarget[]
}

/** A service and the models that its workers serve. */
export interface ServiceDescription {
  pool: Pool
  /** Empty for a service without models. */
  models: Model[]
  /** How the service may grow and shrink; undefined if its workers are fixed. */
  scaling?: PoolScaling
}

/** Limits for requests and connections of callers. */
export interface CallerLimits {
  maxHeaderBytes: number
  maxBodyBytes: number
  headerTimeoutMilliseconds: number
  idleTimeoutMilliseconds: number
}

/** Routes, services and limits of one version of the operators' configuration. */
export interface RouteConfiguration {
  version: number
  routes: Route[]
  services: ServiceDescription[]
  limits: CallerLimits
  /** Undefined if requests need no keys on any route. */
  accounts: ClientAccount[] | undefined
}

const positive = z.number().positive()

const routeSchema = z.object({
  name: z.string(),
  host: z.string(),
  'path-prefix': z.string(),
  kind: z.enum(['safe', 'non_idempotent', 'streaming']),
  'timeout-ms': positive,
  'target-latency-ms': positive.optional(),
  'gap-aim-ms': positive.optional(),
  'max-attempts': z.number().int().positive().default(1),
  priority: z.number().default(0),
  resumable: z.boolean().default(false),
  anonymous: z.boolean().default(false),
  service: z.string().optional(),
  'traffic-split': z.array(z.object({ service: z.string(), weight: z.number().nonnegative() })).optional()
})

const configurationSchema = z.object({
  version: z.number().int(),
  routes: z.array(routeSchema),
  services: z.array(z.object({
    name: z.string(),
    engine: z.object({ models: z.array(z.object({ name: z.string() })).default([]) }).optional(),
    autoscaling: scalingSchema.optional()
  })),
  limits: z.object({
    'max-header-bytes': positive,
    'max-body-bytes': positive,
    'header-timeout-ms': positive,
    'idle-timeout-ms': positive
  }),
  tenants: accountsSchema.optional()
})

/**
 * Callers abandon a stream after a gap of 2 s, four times the latency target or eight times the longest pause that is
 * still in time, whichever is longest.
 */
const minPatienceMilliseconds = 2000
const patienceInTargets = 4
const patienceInPauses = 8

function patienceMillisecondsOf (targetMilliseconds: number, longestPauseMilliseconds: number): number {
  return Math.max(minPatienceMilliseconds, patienceInTargets * targetMilliseconds, patienceInPauses * longestPauseMilliseconds)
}

const routeKinds = { safe: 'safe', non_idempotent: 'once', streaming: 'stream' } as const

function decodeRoute (route: z.infer<typeof routeSchema>): Route {
  const targetMilliseconds = route['target-latency-ms'] ?? route['timeout-ms']
  const split = route['traffic-split'] ?? (route.service === undefined ? [] : [{ service: route.service, weight: 1 }])
  return {
    name: route.name,
    host: route.host.toLowerCase(),
    pathPrefix: route['path-prefix'],
    kind: routeKinds[route.kind],
    timeoutMilliseconds: route['timeout-ms'],
    targetMilliseconds,
    patienceMilliseconds: patienceMillisecondsOf(targetMilliseconds, route['gap-aim-ms'] ?? 0),
    maxAttempts: route['max-attempts'],
    rank: Math.max(0, Math.round(route.priority)),
    resumable: route.resumable,
    anonymous: route.anonymous,
    targets: split.map(({ service, weight }) => ({ pool: service as Pool, weight }))
  }
}

/** Decodes a configuration. Errors: `invalid_configuration`. */
export function decodeRouteConfiguration (value: Buffer): Result<RouteConfiguration, Failure> {
  let document: unknown
  try {
    document = JSON.parse(value.toString('utf8'))
  } catch (caught) {
    // The message may quote a part of the document, which may be a key.
    const reason = (caught as Error).message.replace(/, (\.\.\.)?".*$/s, '')
    return Result.err(failure('invalid_configuration', `the configuration is not JSON: ${reason}`))
  }
  const parsed = configurationSchema.safeParse(document)
  if (!parsed.success) return Result.err(failure('invalid_configuration', z.prettifyError(parsed.error)))
  const { version, routes, services, limits, tenants } = parsed.data
  return Result.ok({
    version,
    routes: routes.map(decodeRoute),
    services: services.map(({ name, engine, autoscaling }) => ({
      pool: name as Pool,
      models: engine?.models.map(model => model.name as Model) ?? [],
      ...(autoscaling === undefined ? {} : { scaling: scalingOf(autoscaling) })
    })),
    limits: {
      maxHeaderBytes: limits['max-header-bytes'],
      maxBodyBytes: limits['max-body-bytes'],
      headerTimeoutMilliseconds: limits['header-timeout-ms'],
      idleTimeoutMilliseconds: limits['idle-timeout-ms']
    },
    accounts: tenants?.map(decodeAccount)
  })
}

/** Number of urgency levels that workers distinguish; level 0 is the most urgent. */
const urgencyLevels = 10

/** The routes of one host by their prefixes. A configuration may have over a thousand routes for one host. */
interface HostRoutes {
  byPrefix: Map<string, Route>
  /** The distinct lengths of the prefixes, the longest first. */
  prefixLengths: number[]
}

function hostRoutesOf (routes: readonly Route[]): HostRoutes {
  const byPrefix = new Map<string, Route>()
  for (const route of routes) {
    // Of two routes with one prefix, the first one counts.
    if (!byPrefix.has(route.pathPrefix)) byPrefix.set(route.pathPrefix, route)
  }
  const lengths = new Set(routes.map(({ pathPrefix }) => pathPrefix.length))
  return { byPrefix, prefixLengths: [...lengths].sort((left, right) => right - left) }
}

/** Finds routes by host and path. */
export class RouteTable {
  private readonly byHost: Map<string, HostRoutes>
  /** Undefined if requests need no keys. */
  readonly accounts: ClientAccounts | undefined
  /** Number of urgency levels for each rank. */
  private readonly levelsPerRank: number

  constructor (readonly configuration: RouteConfiguration) {
    const { routes, accounts } = configuration
    const byHost = new Map<string, Route[]>()
    for (const route of routes) {
      const known = byHost.get(route.host)
      if (known === undefined) byHost.set(route.host, [route])
      else known.push(route)
    }
    this.byHost = new Map([...byHost].map(([host, routesOfHost]) => [host, hostRoutesOf(routesOfHost)]))
    const ranks = [...routes, ...accounts ?? []].map(({ rank = 0 }) => rank)
    this.levelsPerRank = Math.max(1, Math.floor(urgencyLevels / (Math.max(0, ...ranks) + 1)))
    this.accounts = accounts === undefined ? undefined : new ClientAccounts(accounts)
  }

  /** The route with the longest prefix of the path; undefined if there is none. */
  find (host: string, path: string): Route | undefined {
    const routes = this.byHost.get(host.toLowerCase()) ?? this.byHost.get(host.toLowerCase().replace(/:\d+$/, ''))
    const length = routes?.prefixLengths.find(length => length <= path.length && routes.byPrefix.has(path.slice(0, length)))
    return length === undefined ? undefined : routes?.byPrefix.get(path.slice(0, length))
  }

  /**
   * Urgency level of a request at a worker. Requests of one rank are spread over several levels: a worker that cannot
   * serve all of them in time serves some in time and lets the rest wait, instead of serving all of them late.
   * `fraction`: from 0 (inclusive) to 1 (exclusive), uniformly distributed over requests.
   */
  urgencyOf ({ rank }: Pick<Route, 'rank'>, fraction: number): number {
    return Math.min(urgencyLevels - 1, rank * this.levelsPerRank + Math.floor(fraction * this.levelsPerRank))
  }
}

/**
 * Chooses the service for a request by weight; undefined if no service has a weight. `fraction`: from 0 (inclusive) to
 * 1 (exclusive), uniformly distributed over requests.
 */
export function chooseService (route: Route, fraction: number): Pool | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0)
  let remainder = fraction * total
  for (const { pool, weight } of route.targets) {
    if (remainder < weight) return pool
    remainder -= weight
  }
  return undefined
}
