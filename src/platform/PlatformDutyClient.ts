/**
 * Client of the platform's HTTP interface for duties. Each call opens a connection of its own: its response bears no id,
 * so that a late response to an earlier call could otherwise be taken for its own.
 */
import { Result } from 'true-myth'
import { HttpClient, type HttpResponse } from '../clients/index.js'
import { type Clock, type Failure, failure, type FencingNumber, type HostId } from '../common/index.js'
import { DutyPlatform, type OrderConflictDetail, type UsageReport, type WorkerCountOrder } from '../duties/index.js'
import { responseTimeoutMilliseconds } from './WorkerOrders.js'

/** Options of a `PlatformDutyClient`. */
export interface PlatformDutyClientOptions {
  /** `ip:port` */
  address: string
  hostId: HostId
  /** Calls a second that the platform takes from all hosts together. */
  callsPerSecond: number
  clock: Clock
}

/** Period for which calls are counted, in milliseconds. */
const ratePeriodMilliseconds = 1000

/** Share of the permitted calls that a holder makes; the rest is left to calls of the holder before it. */
const rateShare = 0.8

/** Maximum size of a response, in bytes. */
const maxResponseBytes = 65_536

/** Number of characters of a response that an error message contains. */
const maxQuotedLength = 200

/** Words in the body of a refusal: names of members with a fencing number, and those that tell of a lack of workers. */
const outdatedWords = /token|fence|stale|outdated/i
const unavailableWords = /avail|capacity|stock|sold/i

/** Makes the calls of this host. */
export class PlatformDutyClient extends DutyPlatform {
  /** Monotonic times in milliseconds of the calls in the latest period. */
  private recentCalls: number[] = []

  constructor (private readonly options: PlatformDutyClientOptions) {
    super()
  }

  async reportUsage ({ window, counts }: UsageReport, fencingNumber: FencingNumber): Promise<Result<void, Failure>> {
    const response = await this.call('/usage-reports', { 'window-id': window, counts }, fencingNumber)
    return response.andThen(({ status, body }) => status === 409
      ? Result.err(outdated(body))
      : resultOf(status, body))
  }

  async orderWorkers (order: WorkerCountOrder, fencingNumber: FencingNumber): Promise<Result<void, Failure>> {
    const { pool, zone, desired, kind } = order
    const body = { service: pool, zone, desired, ...(kind === 'spot' ? { spot: true } : {}) }
    const response = await this.call('/replicas', body, fencingNumber)
    return response.andThen(({ status, body }) => status === 409
      ? Result.err(conflictOf(body, fencingNumber))
      : resultOf(status, body))
  }

  private async call (path: string, body: unknown, fencingNumber: FencingNumber): Promise<Result<HttpResponse, Failure>> {
    const { address, hostId } = this.options
    if (!this.takeCall()) return Result.err(failure('overloaded', `POST ${path} was not sent: too many calls within a second`))
    const http = new HttpClient(`http://${address}`)
    const response = await http.send({
      method: 'POST',
      path,
      headers: { 'dogwooddale-duty-holder': hostId, 'dogwooddale-fence-token': String(fencingNumber) },
      body,
      timeoutMilliseconds: responseTimeoutMilliseconds,
      maxResponseBytes
    })
    await http.close()
    return response
  }

  /** True if a call is within the permitted rate; counts it. */
  private takeCall (): boolean {
    const { clock, callsPerSecond } = this.options
    const now = clock.monotonic()
    this.recentCalls = this.recentCalls.filter(at => now - at < ratePeriodMilliseconds)
    if (this.recentCalls.length >= Math.max(1, Math.floor(callsPerSecond * rateShare))) return false
    this.recentCalls.push(now)
    return true
  }
}

function resultOf (status: number, body: unknown): Result<void, Failure> {
  if (status >= 200 && status < 300) return Result.ok(undefined)
  if (status === 429) return Result.err(failure('overloaded', 'the platform refused a call with status 429'))
  const kind = status >= 500 ? 'platform_unavailable' : 'bad_request'
  return Result.err(failure(kind, `the platform answered with status ${status}: ${quote(body)}`))
}

function outdated (body: unknown): Failure {
  return failure('lost_authority', `the platform has seen a greater fencing number: ${quote(body)}`)
}

/** The reason for which an order was refused, as far as the body of the response tells. */
function conflictOf (body: unknown, fencingNumber: FencingNumber): Failure {
  if (greatestNumberIn(body) > fencingNumber) return outdated(body)
  const detail: OrderConflictDetail = { isUnavailable: true }
  const saysUnavailable = unavailableWords.test(JSON.stringify(body ?? ''))
  return failure('conflict', `the platform refused the order: ${quote(body)}`, saysUnavailable ? detail : undefined)
}

/** The greatest number among the members of a response whose names speak of a token. */
function greatestNumberIn (body: unknown): number {
  if (typeof body !== 'object' || body === null) return -Infinity
  const numbers = Object.entries(body).filter(([name]) => outdatedWords.test(name)).map(([, value]) => Number(value))
  return Math.max(-Infinity, ...numbers.filter(Number.isFinite))
}

function quote (body: unknown): string {
  return JSON.stringify(body ?? '').slice(0, maxQuotedLength)
}
