/**
 * One call to a plain service. An idempotent call that breaks before the caller got any of its answer is tried
 * on another worker; any other call is tried again only if nothing of it was sent.
 */
import { Result } from 'true-myth'
import { Client, type Dispatcher } from 'undici'
import { type Clock, type Failure, failure, type Pool, type RequestId, type WorkerId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import { isNotSent } from '../clients/HttpClient.js'
import type { RoutingPolicy } from '../routing/index.js'
import { connectTimeoutMilliseconds, type Upstream, type UpstreamManager, type UpstreamWork } from '../upstreams/index.js'
import { answerHeadersOf } from './headers.js'
import type { RetryBudget } from './RetryBudget.js'

/** A call to a service. */
export interface ServiceRequest {
  requestId: RequestId
  pool: Pool
  method: string
  /** Path and query at the service. */
  path: string
  /** Headers for the service, already reduced to the allowed ones. */
  headers: Record<string, string>
  body: Uint8Array | undefined
  /** Monotonic time in milliseconds. */
  deadline: number
  /** True if running the call more than once does no harm. */
  idempotent: boolean
}

/** The answer of a service. A long answer of an idempotent call goes on in `rest`. */
export interface ServiceAnswer {
  status: number
  headers: Record<string, string>
  body: Uint8Array
  rest: AsyncIterable<Uint8Array> | undefined
}

/** What a call needs of its host. */
export interface ServiceContext {
  upstreams: UpstreamManager
  servicePolicy: RoutingPolicy
  clock: Clock
  events: EventLog
  budget: RetryBudget
  /** Bytes of an answer that are held back so that the call can be tried again. */
  maxBufferedBytes: number
  /** Largest answer of a call that runs at most once; it is kept whole. */
  maxOnceAnswerBytes: number
}

interface Tried { failure: Failure, notSent: boolean }

const serviceRouting = { promptTokens: 0, promptBlocks: [] }

/** Statuses by which a service or the way to it says that it could not do its work. */
const gatewayStatuses = new Set([502, 503, 504])

/** Statuses after which another worker may do better. */
const busyStatuses = new Set([429, ...gatewayStatuses])

/** One call to a plain service. */
export class ServiceCall {
  private readonly tried = new Set<WorkerId>()
  /** Time that the service spent on the call, in milliseconds. */
  upstreamMilliseconds = 0
  /** True if a service got the call. */
  hasRun = false

  constructor (private readonly request: ServiceRequest, private readonly context: ServiceContext) {}

  /**
   * Makes the call. Errors: `not_run`, `outcome_unknown`, `upstream_failed`, `deadline_exceeded`, `cancelled`.
   * The signal says that the caller left; it does not stop a call that is not idempotent.
   */
  async run (signal?: AbortSignal): Promise<Result<ServiceAnswer, Failure>> {
    const timer = new AbortController()
    const stop = new AbortController()
    const remaining = Math.max(0, this.request.deadline - this.context.clock.monotonic())
    const watching = this.context.clock.sleep(remaining, timer.signal).then(() => {
      if (!timer.signal.aborted) stop.abort()
    })
    const leave = (): void => { stop.abort() }
    if (this.request.idempotent) signal?.addEventListener('abort', leave, { once: true })
    if (this.request.idempotent && signal?.aborted) leave()
    const result = await this.runAttempts(stop.signal)
    const finish = async (): Promise<void> => {
      timer.abort()
      signal?.removeEventListener('abort', leave)
      await watching
    }
    if (result.isOk && result.value.rest !== undefined) {
      return Result.ok({ ...result.value, rest: endingWith(result.value.rest, finish) })
    }
    await finish()
    return result
  }

  private async runAttempts (stop: AbortSignal): Promise<Result<ServiceAnswer, Failure>> {
    let last: Tried | undefined
    for (;;) {
      if (stop.aborted) return Result.err(this.stopFailure(last))
      const upstream = this.choose()
      if (upstream === undefined) {
        return Result.err(this.failureWithoutWorker(last))
      }
      const tried = await this.attempt(upstream, stop)
      if (tried.isOk && !this.shouldTryElsewhere(tried.value)) return Result.ok(tried.value)
      if (tried.isOk) continue
      last = tried.error
      this.context.events.warn('service_attempt_failed', {
        request: this.request.requestId, worker: upstream.id, kind: last.failure.kind, reason: last.failure.message
      })
      if (last.notSent) continue
      if (!this.request.idempotent || !this.context.budget.tryTake()) return Result.err(last.failure)
    }
  }

  /** Says "not run" only if no attempt was sent at all. */
  private failureWithoutWorker (last: Tried | undefined): Failure {
    const message = `no worker of pool ${this.request.pool} is available`
    if (!this.hasRun) return failure('not_run', message)
    return last === undefined || last.notSent ? failure('upstream_failed', message) : last.failure
  }

  /** An idempotent call that a worker could not serve is sent to another one, if there is one. */
  private shouldTryElsewhere (answer: ServiceAnswer): boolean {
    if (!this.request.idempotent || answer.rest !== undefined || !busyStatuses.has(answer.status)) return false
    const others = this.context.upstreams.candidatesForPool(this.request.pool).some(({ id }) => !this.tried.has(id))
    return others && this.context.budget.tryTake()
  }

  /** A worker is not tried twice, since a call that failed on all workers has no better chance on one of them. */
  private choose (): Upstream | undefined {
    const candidates = this.context.upstreams.candidatesForPool(this.request.pool)
    const untried = this.tried.size === 0 ? candidates : candidates.filter(({ id }) => !this.tried.has(id))
    return this.context.servicePolicy.choose(serviceRouting, untried)
  }

  private async attempt (upstream: Upstream, stop: AbortSignal): Promise<Result<ServiceAnswer, Tried>> {
    this.tried.add(upstream.id)
    const work = this.context.upstreams.begin(upstream, 0)
    // A kept connection may be closed by the service just when a call goes out on it, and then nobody knows
    // whether the call ran. A fresh connection avoids that for calls that must not be repeated.
    const fresh = this.request.idempotent
      ? undefined
      : new Client(upstream.origin, { connectTimeout: connectTimeoutMilliseconds, headersTimeout: 0, bodyTimeout: 0 })
    try {
      const answer = await (fresh ?? upstream.http).request({
        method: this.request.method as Dispatcher.HttpMethod,
        path: this.request.path,
        headers: this.request.headers,
        body: this.request.body ?? null,
        signal: stop
      })
      return Result.ok(await this.readAnswer(answer, work))
    } catch (caught) {
      const notSent = isNotSent(caught)
      const milliseconds = work.end(stop.aborted ? 'left' : notSent ? 'refused' : 'failed')
      if (!notSent) this.ranFor(milliseconds)
      return Result.err({ failure: this.failureOf(caught as Error, notSent, stop), notSent })
    } finally {
      fresh?.destroy().catch(() => {})
    }
  }

  private async readAnswer (answer: Dispatcher.ResponseData, work: UpstreamWork): Promise<ServiceAnswer> {
    const limit = this.request.idempotent ? this.context.maxBufferedBytes : this.context.maxOnceAnswerBytes
    const iterator = answer.body[Symbol.asyncIterator]() as AsyncIterator<Buffer>
    const parts: Buffer[] = []
    let size = 0
    let done = false
    while (!done && size <= limit) {
      const read = await iterator.next()
      if (read.done === true) done = true
      else {
        parts.push(read.value)
        size += read.value.length
      }
    }
    if (!done && !this.request.idempotent) {
      answer.body.destroy()
      throw new Error(`the answer is larger than ${limit} bytes`)
    }
    const result = gatewayStatuses.has(answer.statusCode) ? 'failed' : 'answered'
    const end = (): void => { this.ranFor(work.end(result)) }
    if (done) end()
    return {
      status: answer.statusCode,
      headers: answerHeadersOf(answer.headers),
      body: Buffer.concat(parts),
      rest: done ? undefined : endingWith({ [Symbol.asyncIterator]: () => iterator }, async () => end())
    }
  }

  private ranFor (milliseconds: number): void {
    this.hasRun = true
    this.upstreamMilliseconds += milliseconds
  }

  private failureOf (caught: Error, notSent: boolean, stop: AbortSignal): Failure {
    if (notSent) return failure('not_run', `no connection to the worker: ${caught.message}`)
    if (!this.request.idempotent) return failure('outcome_unknown', `the call was sent, but its outcome is unknown: ${caught.message}`)
    if (stop.aborted) return this.stopFailure(undefined)
    return failure('upstream_failed', `the call failed: ${caught.message}`)
  }

  private stopFailure (last: Tried | undefined): Failure {
    if (!this.request.idempotent) {
      return last !== undefined && !last.notSent ? last.failure : failure('not_run', 'the deadline passed before the call was sent')
    }
    const late = this.context.clock.monotonic() >= this.request.deadline
    return late
      ? failure('deadline_exceeded', 'the deadline passed before the call was answered')
      : failure('cancelled', 'the caller left')
  }
}

async function * endingWith (source: AsyncIterable<Uint8Array>, finish: () => Promise<void>): AsyncGenerator<Uint8Array> {
  try {
    yield * source
  } finally {
    await finish()
  }
}
