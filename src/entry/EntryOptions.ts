/**
 * Dependencies of the callers' HTTP application.
 */
import type { AdmissionManager } from '../admission/index.js'
import type { Clock } from '../common/index.js'
import type { ConfigurationReader } from '../configuration/index.js'
import type { RequestManager } from '../forwarding/index.js'
import type { IdempotencyManager } from '../idempotency/index.js'
import type { EventLog } from '../observability/index.js'
import type { PromptTokenizer } from '../routing/index.js'
import type { UsageManager } from '../usage/index.js'
import type { CallLimits } from './callHeaders.js'
import type { EntryMetrics } from './EntryMetrics.js'

/** Options of `entryApplication`. */
export interface EntryOptions {
  configuration: ConfigurationReader
  clock: Clock
  events: EventLog
  tokenizer: PromptTokenizer
  admission: AdmissionManager
  requests: RequestManager
  idempotency: IdempotencyManager
  usage: UsageManager
  limits: CallLimits
  /** Absent: no metrics are recorded. */
  metrics?: EntryMetrics
  /** True while the load balancer may send requests to the host, as `/health/ready` reports. */
  ready: () => boolean
  /** True once a graceful shutdown has begun: requests are still served, but each connection closes after its response. */
  draining: () => boolean
}
