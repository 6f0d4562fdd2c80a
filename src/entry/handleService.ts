/**
 * Handles `ANY /services/<pool>/<path>`: calls of plain services. The class of a call's route decides whether the call may
 * be repeated.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { type Failure, failure, type Pool, poolSchema, type RequestId, type Team } from '../common/index.js'
import type { AccountDocument, CallClass, PoolDocument } from '../configuration/index.js'
import { requestHeadersOf, type ServiceResponse, type ServiceCall, type ServiceRequest } from '../forwarding/index.js'
import { claimClassUnavailable, type OnceCall, type OnceExecutor, type OnceOutcome } from '../idempotency/index.js'
import { readBody } from './callHeaders.js'
import { answerFailure, type EntryCall } from './EntryCall.js'
import type { EntryOptions } from './EntryOptions.js'

type ServicePool = Extract<PoolDocument, { kind: 'service' }>

/** The class of the first route, in the order of the pool document, that matches a call; `once_issued_key` if none matches. */
export function callClassOf (document: ServicePool, method: string, path: string): CallClass {
  const route = document.service.routes.find(({ method: wanted, pathPrefix }) =>
    (wanted === 'ANY' || wanted === method) && hasPathPrefix(path, pathPrefix))
  return route?.class ?? 'once_issued_key'
}

/** True if the path has the prefix, ending at a segment boundary, so that `/votes` does not match `/votes-archive`. */
function hasPathPrefix (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/'
}

/** Admits a call of a service and answers it according to its class. */
export async function handleService (context: EntryCall, options: EntryOptions): Promise<Response> {
  const pool = poolSchema.safeParse(context.req.param('pool'))
  const document = pool.success
    ? options.configuration.get(`/fleet/pools/${pool.data}`)?.value as PoolDocument | undefined
    : undefined
  if (!pool.success || document?.kind !== 'service') return answerFailure(failure('not_found', 'there is no such service pool'))
  const body = await readBody(context, options.limits.maxBodyBytes)
  if (body.isErr) return answerFailure(body.error)
  const { account, deadline, callerDisconnected, call, requestId } = context.var
  const admitted = await options.admission.admit({
    team: account.team, priority: call.priority, deadline, signal: callerDisconnected
  })
  if (admitted.isErr) return answerFailure(admitted.error)
  const endRequest = options.requests.begin({ requestId, team: account.team, kind: 'service' })
  const finish = (): void => {
    admitted.value.release()
    endRequest()
  }
  const path = pathOf(context, pool.data)
  return await match(callClassOf(document, context.req.method, path.split('?')[0]!))
    .with('idempotent', () => answerIdempotent(context, options, pool.data, path, body.value, finish))
    .with('once_issued_key', () => answerOnce(context, options, pool.data, path, body.value, finish))
    .with('once_logged_claim', async () => {
      finish()
      return answerFailure(claimClassUnavailable())
    })
    .exhaustive()
}

function pathOf (context: EntryCall, pool: Pool): string {
  const url = new URL(context.req.url)
  return url.pathname.slice(`/services/${pool}`.length) + url.search
}

async function answerIdempotent (
  context: EntryCall,
  options: EntryOptions,
  pool: Pool,
  path: string,
  body: Uint8Array,
  finish: () => void
): Promise<Response> {
  const { requestId, account, deadline, callerDisconnected } = context.var
  const headers = { ...requestHeadersOf(context.req.raw.headers), 'x-request-id': requestId }
  const request: ServiceRequest = { requestId, pool, method: context.req.method, path, headers, body, deadline, idempotent: true }
  const call = options.requests.serviceCall(request)
  const result = await call.run(callerDisconnected)
  const end = (): void => {
    recordUsage(options, account.team, pool, requestId, call)
    finish()
  }
  if (result.isErr) {
    end()
    return answerFailure(result.error)
  }
  if (result.value.remainingBody === undefined) {
    end()
    return responseOf(result.value)
  }
  return new Response(partlyReadBody(context, result.value.body, result.value.remainingBody, end), result.value)
}

/**
 * Returns the body of a response of which only the start has been read from the service. If reading the remainder fails, the
 * caller's connection is destroyed, so that the caller cannot take the truncated body for a complete one. The stream
 * does not report the failure to the HTTP adaptor, which would append the error message to the body and end it normally.
 */
function partlyReadBody (
  context: EntryCall,
  start: Uint8Array,
  remaining: AsyncIterable<Uint8Array>,
  onEnd: () => void
): ReadableStream<Uint8Array> {
  const parts = remaining[Symbol.asyncIterator]()
  let sentStart = false
  return new ReadableStream<Uint8Array>({
    async pull (controller) {
      if (!sentStart) {
        sentStart = true
        controller.enqueue(start)
        return
      }
      try {
        const part = await parts.next()
        if (part.done !== true) {
          controller.enqueue(part.value)
          return
        }
        controller.close()
      } catch (caught) {
        if (context.env?.outgoing === undefined) controller.error(caught)
        else {
          context.env.outgoing.destroy()
          controller.close()
        }
      }
      onEnd()
    },
    async cancel () {
      await parts.return?.()
      onEnd()
    }
  }, { highWaterMark: 0 })
}

async function answerOnce (
  context: EntryCall,
  options: EntryOptions,
  pool: Pool,
  path: string,
  body: Uint8Array,
  finish: () => void
): Promise<Response> {
  const { account, call, deadline } = context.var
  const key = call.idempotencyKey ?? options.idempotency.issue(account.team)
  const outcome = await options.idempotency.execute({
    key,
    team: account.team,
    pool,
    method: context.req.method,
    path,
    headers: requestHeadersOf(context.req.raw.headers),
    body,
    timeoutMilliseconds: Math.max(1, deadline - options.clock.monotonic())
  })
  finish()
  const response = outcome.isOk ? responseOf(outcome.value) : answerFailure(outcome.error)
  response.headers.set('idempotency-key', key)
  return response
}

/**
 * Creates the function that runs the calls whose idempotency keys this host issued, whichever host received them. The
 * host that runs a call records its usage, under a request id derived from the key, so that repeated calls count once.
 */
export function createOnceExecutor (options: Pick<EntryOptions, 'configuration' | 'clock' | 'requests' | 'usage'>): OnceExecutor {
  return async (call: OnceCall): Promise<OnceOutcome> => {
    const requestId = createHash('sha256').update(call.key).digest('hex').slice(0, 24) as RequestId
    const endRequest = options.requests.begin({ requestId, team: call.team, kind: 'service' })
    const service = options.requests.serviceCall({
      requestId,
      pool: call.pool,
      method: call.method,
      path: call.path,
      headers: { ...call.headers, 'x-request-id': requestId, 'idempotency-key': call.key },
      body: call.body,
      deadline: options.clock.monotonic() + call.timeoutMilliseconds,
      idempotent: false
    })
    const result = await service.run()
    recordUsage(options, call.team, call.pool, requestId, service)
    endRequest()
    return result.isOk
      ? Result.ok({ status: result.value.status, headers: result.value.headers, body: result.value.body })
      : Result.err<never, Failure>(result.error)
  }
}

function recordUsage (
  options: Pick<EntryOptions, 'configuration' | 'usage'>,
  team: Team,
  pool: Pool,
  requestId: RequestId,
  call: ServiceCall
): void {
  if (!call.mayHaveRun) return
  const account = options.configuration.get(`/teams/${team}/account`)?.value as AccountDocument | undefined
  if (account === undefined) return
  options.usage.record({
    requestId,
    team,
    owner: account.owner,
    model: `service/${pool}`,
    promptTokens: 0,
    cachedPromptTokens: 0,
    generatedTokens: 0,
    engineMilliseconds: Math.round(call.upstreamMilliseconds),
    calls: 1
  })
}

function responseOf (response: Pick<ServiceResponse, 'status' | 'headers' | 'body'>): Response {
  const hasNoBody = response.status === 204 || response.status === 205 || response.status === 304
  return new Response(hasNoBody ? null : Buffer.from(response.body), { status: response.status, headers: response.headers })
}
