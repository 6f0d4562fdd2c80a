/**
 * Decodes the head of a caller's request into the call that the product makes for it.
 */
import type { IncomingMessage } from 'node:http'
import { Result } from 'true-myth'
import { type Failure, failure, type Pool, type RequestId, requestIdSchema } from '../common/index.js'
import type { ServiceRequest } from '../forwarding/index.js'
import type { RoutingRequest } from '../routing/index.js'
import { type Route, type RouteTable, targetOf } from './RouteConfiguration.js'
import { connectionHeaderNames, headerNames, systemHeaderNames } from './WorkerProtocol.js'

/** A caller's request, without its body. */
export interface DecodedRequest {
  route: Route
  call: Omit<ServiceRequest, 'body'>
}

/** What decides about a request besides its head. */
export interface DecodeContext {
  routes: RouteTable
  /** Monotonic time in milliseconds. */
  now: number
  /** Number from 0 (included) to 1 for a text, evenly distributed over texts. */
  fractionOf: (text: string) => number
}

/**
 * A repeatable request without an answer is given to another worker after this many target times. Requests with a
 * prompt are not: they wait in queues for longer, and a second computation lengthens these.
 */
const patienceTargets = 2

/** Decodes a request. Errors: `bad_request`, `not_found`. */
export function decodeRequest (message: IncomingMessage, context: DecodeContext): Result<DecodedRequest, Failure> {
  const { url = '', method = 'GET', headers } = message
  const id = requestIdSchema.safeParse(headers[headerNames.requestId])
  if (!id.success) return Result.err(failure('bad_request', 'the request has no usable request id'))
  if (!url.startsWith('/')) return Result.err(failure('bad_request', 'the request target must be a path'))
  const route = context.routes.find(headers.host ?? '', pathOf(url))
  if (route === undefined) return Result.err(failure('not_found', 'no route matches host and path'))
  const pool = targetOf(route, context.fractionOf(id.data))
  if (pool === undefined) return Result.err(failure('not_run', `route ${route.name} has no service`))
  return Result.ok({ route, call: callOf(route, pool, id.data, method, url, message, context) })
}

function callOf (
  route: Route,
  pool: Pool,
  requestId: RequestId,
  method: string,
  path: string,
  message: IncomingMessage,
  { routes, now, fractionOf }: DecodeContext
): Omit<ServiceRequest, 'body'> {
  const callerMilliseconds = Number(message.headers[headerNames.remainingTime] ?? Infinity)
  const remaining = Math.min(route.timeoutMilliseconds, callerMilliseconds > 0 ? callerMilliseconds : Infinity)
  const prompt = promptOf(message)
  const urgency = String(routes.urgencyOf(route, fractionOf(`${requestId}/urgency`)))
  return {
    requestId,
    pool,
    method,
    path,
    headers: { ...forwardedHeaders(message), ...(prompt === undefined ? {} : { [headerNames.urgency]: urgency }) },
    deadline: now + remaining,
    idempotent: route.kind === 'safe' || (route.kind === 'stream' && route.resumable),
    delivery: route.kind === 'stream' ? 'stream' : 'whole',
    maxAttempts: route.maxAttempts,
    ...(prompt === undefined ? { patienceMilliseconds: route.targetMilliseconds * patienceTargets } : { prompt })
  }
}

function pathOf (target: string): string {
  const query = target.indexOf('?')
  return query < 0 ? target : target.slice(0, query)
}

/** The fields for the worker: all but those of the connection and those that only the system may set. */
function forwardedHeaders ({ rawHeaders, headers }: IncomingMessage): Record<string, string | string[]> {
  const connectionOnly = new Set((headers.connection ?? '').split(',').map(name => name.trim().toLowerCase()))
  const kept: Record<string, string | string[]> = {}
  for (let position = 0; position + 1 < rawHeaders.length; position += 2) {
    const name = rawHeaders[position]!.toLowerCase()
    const value = rawHeaders[position + 1]!
    if (connectionHeaderNames.has(name) || systemHeaderNames.has(name) || connectionOnly.has(name)) continue
    const before = kept[name]
    kept[name] = before === undefined ? value : [...(Array.isArray(before) ? before : [before]), value]
  }
  return kept
}

/** The parts of the prompt as `ID:TOKENS`, in order; the last one belongs to this request alone. */
function promptOf ({ headers }: IncomingMessage): RoutingRequest | undefined {
  const parts = headers[headerNames.promptParts]
  if (typeof parts !== 'string') return undefined
  const named = parts.split(',').map(part => part.trim().split(':'))
  const blockTokens = named.map(([, tokens]) => Number(tokens))
  if (blockTokens.some(tokens => !(tokens >= 0))) return undefined
  const model = String(headers[headerNames.model] ?? '')
  const promptTokens = blockTokens.reduce((sum, tokens) => sum + tokens, 0)
  return { promptTokens, promptBlocks: named.map(([part]) => `${model}/${part}`), blockTokens }
}
