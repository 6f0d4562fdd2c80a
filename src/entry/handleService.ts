/**
 * `ANY /services/<pool>/<path>`: calls of plain services, by the class of their route.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { match } from 'ts-pattern'
import { type Failure, failure, type Pool, poolSchema, type RequestId, type Team } from '../common/index.js'
import type { AccountDocument, CallClass, PoolDocument } from '../configuration/index.js'
import { requestHeadersOf, type ServiceAnswer, type ServiceCall, type ServiceRequest } from '../forwarding/index.js'
import { claimClassUnavailable, type OnceCall, type OnceExecutor, type OnceOutcome } from '../idempotency/index.js'
import { readBody } from './callHeaders.js'
import { answerFailure, type EntryCall } from './EntryCall.js'
import type { EntryOptions } from './EntryContext.js'

type ServicePool = Extract<PoolDocument, { kind: 'service' }>

/** The class of a call. Methods and prefixes are compared in the order of the document. */
export function classOf (document: ServicePool, method: string, path: string): CallClass {
  const route = document.service.routes.find(({ method: wanted, pathPrefix }) =>
    (wanted === 'ANY' || wanted === method) && startsWithPath(path, pathPrefix))
  return route?.class ?? 'once_issued_key'
}

/** True if the prefix ends where a part of the path ends, so that `/votes` does not cover `/votes-archive`. */
function startsWithPath (path: string, prefix: string): boolean {
  if (!path.startsWith(prefix)) return false
  return prefix.endsWith('/') || path.length === prefix.length || path[prefix.length] === '/'
}

/** Answers a call of a service. */
export async function handleService (context: EntryCall, options: EntryOptions): Promise<Response> {
  const pool = poolSchema.safeParse(context.req.param('pool'))
  const document = pool.success
    ? options.configuration.get(`/fleet/pools/${pool.data}`)?.value as PoolDocument | undefined
    : undefined
  if (!pool.success || document?.kind !== 'service') return answerFailure(failure('not_found', 'there is no such service pool'))
  const body = await readBody(context.req.raw, options.limits.maxBodyBytes)
  if (body.isErr) return answerFailure(body.error)
  const { account, deadline, callerLeft, call, requestId } = context.var
  const admitted = await options.admission.admit({ team: account.team, priority: call.priority, deadline, signal: callerLeft })
  if (admitted.isErr) return answerFailure(admitted.error)
  const endRequest = options.requests.begin({ requestId, team: account.team, kind: 'service' })
  const finish = (): void => {
    admitted.value.release()
    endRequest()
  }
  const path = pathOf(context, pool.data)
  return await match(classOf(document, context.req.method, path.split('?')[0]!))
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
  const { requestId, account, deadline, callerLeft } = context.var
  const headers = { ...requestHeadersOf(context.req.raw.headers), 'x-request-id': requestId }
  const request: ServiceRequest = { requestId, pool, method: context.req.method, path, headers, body, deadline, idempotent: true }
  const call = options.requests.serviceCall(request)
  const answer = await call.run(callerLeft)
  const end = (): void => {
    recordCall(options, account.team, pool, requestId, call)
    finish()
  }
  if (answer.isErr) {
    end()
    return answerFailure(answer.error)
  }
  if (answer.value.remainingBody === undefined) {
    end()
    return responseOf(answer.value)
  }
  return new Response(bodyWithRest(context, answer.value.body, answer.value.remainingBody, end), answer.value)
}

/**
 * A body whose end is not held yet. A failure of the rest breaks the caller's connection, so it is never silent.
 * The HTTP adaptor is not told of the failure, since it would add its message to the body and end it properly.
 */
function bodyWithRest (
  context: EntryCall,
  start: Uint8Array,
  rest: AsyncIterable<Uint8Array>,
  end: () => void
): ReadableStream<Uint8Array> {
  const parts = rest[Symbol.asyncIterator]()
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
      end()
    },
    async cancel () {
      await parts.return?.()
      end()
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
 * Runs calls whose keys this host issued, on behalf of any host. The use is counted here, where the call runs,
 * under an id made from the key, so that repeated calls count once.
 */
export function onceExecutor (options: Pick<EntryOptions, 'configuration' | 'clock' | 'requests' | 'usage'>): OnceExecutor {
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
    const answer = await service.run()
    recordCall(options, call.team, call.pool, requestId, service)
    endRequest()
    return answer.isOk
      ? Result.ok({ status: answer.value.status, headers: answer.value.headers, body: answer.value.body })
      : Result.err<never, Failure>(answer.error)
  }
}

function recordCall (
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

function responseOf (answer: Pick<ServiceAnswer, 'status' | 'headers' | 'body'>): Response {
  const bodyless = answer.status === 204 || answer.status === 205 || answer.status === 304
  return new Response(bodyless ? null : Buffer.from(answer.body), { status: answer.status, headers: answer.headers })
}
