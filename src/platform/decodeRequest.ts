/**
 * Decodes the head of a caller's request: finds its route, account and service, and builds the request for the worker.
 */
import type { IncomingMessage } from 'node:http'
import { Result } from 'true-myth'
import { type Failure, failure, type Pool, type RequestId, requestIdSchema } from '../common/index.js'
import type { ServiceRequest } from '../forwarding/index.js'
import type { RoutingRequest } from '../routing/index.js'
import { type ClientAccount, keyOf } from './ClientAccounts.js'
import { type Route, type RouteTable, chooseService } from './RouteConfiguration.js'
import { hopByHopHeaderNames, headerNames, systemHeaderNames } from './WorkerProtocol.js'

/** A caller's request, without its body. */
export interface DecodedRequest {
  route: Route
  /** The routes by which the request was decoded. */
  routes: RouteTable
  call: Omit<ServiceRequest, 'body'>
}

/** Inputs of the decoding besides the head of the request. */
export interface DecodeContext {
  routes: RouteTable
  /** Monotonic time in milliseconds. */
  now: number
  /** Maps a text to a number from 0 (inclusive) to 1 (exclusive), uniformly distributed over texts. */
  hashToFraction: (text: string) => number
  /** False if the store may contain a newer configuration, whose accounts may hold other keys. */
  isConfigurationCurrent: () => boolean
}

/**
 * Multiple of a route's latency target after which an idempotent request without a response is sent to another worker.
 * Requests with a prompt are not sent again: they wait longer in queues, and a second computation would lengthen these
 * queues.
 */
const attemptTimeoutFactor = 2

/** Maximum length of the name of a part; tables of parts are bounded by their number of entries. */
const maxPartNameLength = 255

/** Decodes a request. Errors: `bad_request`, `not_found`, `not_run`, and those of `authenticate`. */
export function decodeRequest (message: IncomingMessage, context: DecodeContext): Result<DecodedRequest, Failure> {
  const { url = '', method = 'GET', headers } = message
  const id = requestIdSchema.safeParse(headers[headerNames.requestId])
  if (!id.success) return Result.err(failure('bad_request', 'the request id is missing or invalid'))
  if (!url.startsWith('/')) return Result.err(failure('bad_request', 'the request target must be a path'))
  const route = context.routes.find(headers.host ?? '', withoutQuery(url))
  if (route === undefined) return Result.err(failure('not_found', 'no route matches host and path'))
  const account = authenticate(route, headers.authorization, context)
  if (account.isErr) return Result.err(account.error)
  const pool = chooseService(route, context.hashToFraction(id.data))
  if (pool === undefined) return Result.err(failure('not_run', `route ${route.name} has no service`))
  const call = serviceRequestOf({ route, pool, requestId: id.data, account: account.value }, method, url, message, context)
  return Result.ok({ route, routes: context.routes, call })
}

/**
 * Finds the account of a request. Errors: `unauthenticated` if the route needs a known key and the request has none;
 * `not_ready` if its key may be known to a newer configuration.
 */
function authenticate (
  route: Route,
  authorization: string | undefined,
  { routes: { accounts }, isConfigurationCurrent }: DecodeContext
): Result<ClientAccount | undefined, Failure> {
  const key = accounts === undefined ? undefined : keyOf(authorization)
  const account = key === undefined ? undefined : accounts?.find(key)
  if (accounts === undefined || route.anonymous || account !== undefined) return Result.ok(account)
  if (key === undefined) return Result.err(failure('unauthenticated', 'the request has no key'))
  return Result.err(isConfigurationCurrent()
    ? failure('unauthenticated', 'no account holds the key of the request')
    : failure('not_ready', 'no account is known to hold the key of the request, but the configuration may be outdated'))
}

/** What the head of a request refers to. */
interface RequestSubject { route: Route, pool: Pool, requestId: RequestId, account: ClientAccount | undefined }

function serviceRequestOf (
  { route, pool, requestId, account }: RequestSubject,
  method: string,
  path: string,
  message: IncomingMessage,
  { routes, now, hashToFraction }: DecodeContext
): Omit<ServiceRequest, 'body'> {
  const callerMilliseconds = Number(message.headers[headerNames.remainingTime] ?? Infinity)
  const remainingMilliseconds = Math.min(route.timeoutMilliseconds, callerMilliseconds > 0 ? callerMilliseconds : Infinity)
  const prompt = promptOf(message)
  const rank = account?.rank ?? route.rank
  const urgency = String(routes.urgencyOf({ rank }, hashToFraction(`${requestId}/urgency`)))
  return {
    requestId,
    pool,
    ...(account === undefined ? {} : { account: account.name }),
    method,
    path,
    headers: {
      ...forwardedHeaders(message, routes.accounts !== undefined),
      ...(prompt === undefined ? {} : { [headerNames.urgency]: urgency })
    },
    deadline: now + remainingMilliseconds,
    idempotent: route.kind === 'safe' || (route.kind === 'stream' && route.resumable),
    delivery: route.kind === 'stream' ? 'stream' : 'whole',
    maxAttempts: route.maxAttempts,
    urgency: rank,
    kind: route.name,
    startDueAt: now + route.targetMilliseconds,
    ...(route.kind === 'stream' ? resumptionOf(message) : {}),
    ...(prompt === undefined
      ? { attemptTimeoutMilliseconds: route.targetMilliseconds * attemptTimeoutFactor }
      : {
          prompt,
          startLostAt: now + Math.min(remainingMilliseconds, route.patienceMilliseconds)
        })
  }
}

/** The stream that a caller takes up: one that it names, or whose last event it names. */
function resumptionOf ({ headers }: IncomingMessage): Pick<ServiceRequest, 'resumption'> {
  const named = headers[headerNames.resumedStream]
  if (named === undefined && (headers[headerNames.resumeAfter] ?? '') === '') return {}
  const firstRequest = requestIdSchema.safeParse(named)
  return { resumption: { firstRequest: firstRequest.success ? firstRequest.data : undefined } }
}

function withoutQuery (target: string): string {
  const query = target.indexOf('?')
  return query < 0 ? target : target.slice(0, query)
}

/**
 * Header fields for the worker: all except hop-by-hop fields, those that only the system may set, and that with the key if
 * `hasAccounts`.
 */
function forwardedHeaders ({ rawHeaders, headers }: IncomingMessage, hasAccounts: boolean): Record<string, string | string[]> {
  const connectionOptions = new Set((headers.connection ?? '').split(',').map(name => name.trim().toLowerCase()))
  // Without a prototype, so that a field such as `constructor` finds no property that the caller did not send.
  const forwarded = Object.create(null) as Record<string, string | string[]>
  for (let position = 0; position + 1 < rawHeaders.length; position += 2) {
    const name = rawHeaders[position]!.toLowerCase()
    const value = rawHeaders[position + 1]!
    if (hopByHopHeaderNames.has(name) || systemHeaderNames.has(name) || connectionOptions.has(name)) continue
    if (hasAccounts && name === 'authorization') continue
    const existing = forwarded[name]
    forwarded[name] = existing === undefined ? value : [...(Array.isArray(existing) ? existing : [existing]), value]
  }
  return forwarded
}

/**
 * Decodes the header field with the parts of the prompt as `ID:TOKENS`, in order; the last part belongs to this request
 * alone. Undefined without a valid field.
 */
function promptOf ({ headers }: IncomingMessage): RoutingRequest | undefined {
  const parts = headers[headerNames.promptParts]
  if (typeof parts !== 'string') return undefined
  const idsAndTokens = parts.split(',').map(part => part.trim().split(':'))
  if (idsAndTokens.some(([name = '']) => name.length > maxPartNameLength)) return undefined
  const blockTokens = idsAndTokens.map(([, tokens]) => Number(tokens))
  const promptTokens = blockTokens.reduce((sum, tokens) => sum + tokens, 0)
  const areCounts = blockTokens.every(tokens => Number.isInteger(tokens) && tokens >= 0)
  if (!areCounts || !Number.isSafeInteger(promptTokens)) return undefined
  const model = String(headers[headerNames.model] ?? '')
  return { promptTokens, promptBlocks: idsAndTokens.map(([part]) => `${model}/${part}`), blockTokens }
}
