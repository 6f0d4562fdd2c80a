/**
 * What a call to a service is, what comes back, and what it needs of its host.
 */
import type { Clock, Pool, RequestId } from '../common/index.js'
import type { EventLog } from '../observability/index.js'
import type { RoutingPolicy, RoutingRequest } from '../routing/index.js'
import type { UpstreamManager } from '../upstreams/index.js'
import type { CallProtocol } from './CallProtocol.js'
import type { PromptComputation } from './PromptComputation.js'
import type { RetryBudget } from './RetryBudget.js'

/** A call to a service. */
export interface ServiceRequest {
  requestId: RequestId
  pool: Pool
  method: string
  /** Path and query at the service. */
  path: string
  /** Headers for the service, already reduced to the allowed ones. */
  headers: Record<string, string | string[]>
  body: Uint8Array | undefined
  /** Monotonic time in milliseconds. */
  deadline: number
  /** True if running the call more than once does no harm. */
  idempotent: boolean
  /** `whole`: the answer is held until it is known to be whole; `stream`: it is passed on as it arrives. Default: `whole`. */
  delivery?: 'whole' | 'stream'
  /** Workers that may run the call at most. Default: no limit. */
  maxAttempts?: number
  /** Prompt of the call; default: none. */
  prompt?: RoutingRequest
  /** A call that may be repeated and got no answer for this long is given to another worker. Default: only at its end. */
  patienceMilliseconds?: number
}

/** The answer of a service. What is not held in `body` follows in `rest`, which throws if the answer breaks off. */
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
  protocol: CallProtocol
  clock: Clock
  events: EventLog
  budget: RetryBudget
  /** Bytes of an answer that are held back so that the call can be tried again. */
  maxBufferedBytes: number
  /** Largest answer of a call that runs at most once; it is kept whole. */
  maxOnceAnswerBytes: number
  /** Computes long prompts on separate workers; absent where no worker does. */
  promptComputation?: PromptComputation
}
