/**
 * A call to a service, its response, and the dependencies of calls.
 */
import type { AccountName, Clock, Pool, RequestId } from '../common/index.js'
import type { RequestPermits } from '../limits/index.js'
import type { EventLog } from '../observability/index.js'
import type { PartQuarantine } from '../quarantine/index.js'
import type { RoutingPolicy, RoutingRequest } from '../routing/index.js'
import type { UpstreamManager } from '../upstreams/index.js'
import type { StreamVersions } from '../versions/index.js'
import type { CallProtocol } from './CallProtocol.js'
import type { PromptComputation } from './PromptComputation.js'
import type { RetryBudget } from './RetryBudget.js'
import type { RunObserver } from './RunObserver.js'

/** A stream that a caller takes up. */
export interface StreamResumption {
  /** The request that brought the first event of the stream; undefined if the caller names none. */
  firstRequest: RequestId | undefined
}

/** A call to a service. */
export interface ServiceRequest {
  requestId: RequestId
  /** Account of the caller; undefined if the caller has none. */
  account?: AccountName
  pool: Pool
  method: string
  /** Path and query string of the call to the service. */
  path: string
  /** Headers for the service, already reduced to the allowed ones. */
  headers: Record<string, string | string[]>
  body: Uint8Array | undefined
  /** Monotonic time in milliseconds. */
  deadline: number
  /** True if running the call more than once does no harm. */
  idempotent: boolean
  /**
   * `whole`: the response is buffered until it is complete, within the limits of `ServiceContext`; `stream`: the
   * response is passed on as it arrives. Default: `whole`.
   */
  delivery?: 'whole' | 'stream'
  /** Maximum number of workers that may run the call. Default: no limit. */
  maxAttempts?: number
  /** Calls of the same kind, such as those of one route, take similar times. Default: calls are not compared. */
  kind?: string
  /** Rank of the call; 0, the default, is the most urgent. */
  urgency?: number
  /** Prompt of the call; default: none. */
  prompt?: RoutingRequest
  /** Monotonic time in milliseconds by which the response has to start to meet its latency target. */
  startDueAt?: number
  /** Monotonic time in milliseconds at which the caller gives up if the response has not started. Default: the deadline. */
  startLostAt?: number
  /** Counts bytes of the response that are held for the caller. Returns false while the host is short of memory for them. */
  holdResponse?: (bytes: number) => boolean
  /** Set if the caller takes up a stream that has broken off. */
  resumption?: StreamResumption
  /** Time without a response after which an idempotent call is sent to another worker. Default: until the deadline. */
  attemptTimeoutMilliseconds?: number
}

/**
 * The response of a service. `remainingBody` yields what is not buffered in `body`, and throws if the response breaks
 * off.
 */
export interface ServiceResponse {
  status: number
  headers: Record<string, string>
  body: Uint8Array
  remainingBody: AsyncIterable<Uint8Array> | undefined
}

/** Dependencies and limits of a call. */
export interface ServiceContext {
  upstreams: UpstreamManager
  servicePolicy: RoutingPolicy
  protocol: CallProtocol
  clock: Clock
  events: EventLog
  budget: RetryBudget
  /** Maximum number of bytes of a response that are buffered so that the call can still be retried. */
  maxBufferedBytes: number
  /**
   * Maximum size of the response to a call that runs at most once, in bytes; such a response is buffered completely.
   */
  maxNonIdempotentResponseBytes: number
  /** Computes long prompts on separate workers; undefined if no worker does so. */
  promptComputation?: PromptComputation
  /** Keeps the calls within the limits that workers state; undefined if workers state none. */
  permits?: RequestPermits
  /** Refuses prompts that crash workers; undefined if nothing does so. */
  quarantine?: PartQuarantine
  /** Keeps streams at the version that began them; undefined if workers have no versions. */
  streamVersions?: StreamVersions
  /** Learns when workers began to run calls; undefined if nothing counts them. */
  runObserver?: RunObserver
}
