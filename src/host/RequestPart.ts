/**
 * The request part of a host: forwards callers' HTTP requests to the upstreams, with admission, routing, at-most-once
 * execution and usage records.
 */
import { Result } from 'true-myth'
import { AdmissionManager } from '../admission/index.js'
import { loadHash } from '../common/index.js'
import { entryApplication, EntryMetrics, type EntryOptions, createOnceExecutor } from '../entry/index.js'
import { defaultAttemptLimits, RequestManager, RetryBudget, ServiceProtocol } from '../forwarding/index.js'
import { IdempotencyManager, onceAnswerMessageOf, PeerIssuerClient } from '../idempotency/index.js'
import type { PeerHandlers } from '../peers/index.js'
import { followCacheEvents, PrefixIndex, RoundRobinPolicy, createRoutingPolicy, WordTokenizer } from '../routing/index.js'
import { UpstreamManager } from '../upstreams/index.js'
import {
  type UsageBatch, UsageAppender, usageBatchSchema, UsageManager, ZoneAppenderClient, type UsageRecord, ZoneUsageSink
} from '../usage/index.js'
import { failure, type Failure, type Pool, type Team } from '../common/index.js'
import type { ControlPart } from './ControlPart.js'
import type { HostContext } from './HostContext.js'

/**
 * Fraction of the maximum number of concurrent requests that may be retried at once after a time without retries. An
 * engine that crashes breaks all its streams at the same moment, and all of them must continue on other engines.
 */
const retrySlackFraction = 0.25

/** Minimum number of retries that are allowed at once, for hosts with few concurrent requests. */
const minRetrySlack = 32

/** Maximum size of the response to an at-most-once call that is kept for repeated calls, in bytes. */
const maxNonIdempotentResponseBytes = 1_048_576

/** Sends usage batches to the host that appends them for the zone. */
class PeerZoneAppenderClient extends ZoneAppenderClient {
  constructor (private readonly control: ControlPart) {
    super()
  }

  submit (batch: UsageBatch): Promise<Result<void, Failure>> | undefined {
    const target = this.control.zoneAppender()
    if (target === undefined) return undefined
    return this.control.peerPool
      .submitUse(target, { sequence: batch.sequence, records: JSON.stringify(batch.records) })
      .then(result => result.andThen(({ stored }) => stored
        ? Result.ok<void, Failure>(undefined)
        : Result.err<void, Failure>(failure('platform_unavailable', 'the zone\'s appender did not store the usage batch'))))
  }
}

/** Options of a `RequestPart`. */
export interface RequestPartOptions {
  context: HostContext
  control: ControlPart
  ready: () => boolean
  draining: () => boolean
  /** Called with the usage record of each request that has ended. */
  onUsageRecord: (record: UsageRecord) => void
}

/** Serves callers' requests and records their usage. */
export class RequestPart {
  private constructor (
    readonly upstreams: UpstreamManager,
    readonly admission: AdmissionManager,
    readonly requests: RequestManager,
    readonly idempotency: IdempotencyManager,
    readonly usage: UsageManager,
    readonly appender: UsageAppender,
    readonly application: ReturnType<typeof entryApplication>
  ) {}

  /** Creates the request part; its tasks run after `start`. */
  static async create (options: RequestPartOptions): Promise<RequestPart> {
    const { context, control } = options
    const { settings, clock, events } = context
    const hash = await loadHash()
    const index = new PrefixIndex()
    const tokenizer = new WordTokenizer()
    const upstreams = new UpstreamManager({
      hostId: settings.host.id,
      zone: settings.host.zone,
      configuration: control.configuration,
      clock,
      events,
      hash,
      loadPollMilliseconds: settings.upstreams.loadPollMilliseconds,
      subsetSize: settings.upstreams.subsetSize,
      engineTask: ({ id: worker, origin }, signal) => followCacheEvents({ worker, origin, index, clock, events }, signal)
    })
    const admission = new AdmissionManager({
      configuration: control.configuration,
      clock,
      maxConcurrent: settings.limits.maxConcurrent,
      maxQueued: settings.limits.maxQueued
    })
    const requests = new RequestManager({
      upstreams,
      policy: createRoutingPolicy(settings.routing.policy, { hash, index, tokenizer, seed: settings.host.id }),
      servicePolicy: new RoundRobinPolicy(),
      protocol: new ServiceProtocol(),
      clock,
      events,
      budget: new RetryBudget(clock, {
        ratio: settings.limits.retryBudget,
        slack: Math.max(minRetrySlack, Math.ceil(settings.limits.maxConcurrent * retrySlackFraction))
      }),
      limits: { ...defaultAttemptLimits, progressCheckMilliseconds: settings.upstreams.progressCheckMilliseconds },
      maxBufferedBytes: settings.limits.maxBufferedBytes,
      maxNonIdempotentResponseBytes
    })
    const appender = new UsageAppender({ log: context.log, clock, events })
    const usage = new UsageManager({
      ...control.identity,
      sink: new ZoneUsageSink(new PeerZoneAppenderClient(control), appender),
      clock,
      events,
      onRecord: options.onUsageRecord
    })
    const idempotency = new IdempotencyManager({
      ...control.identity,
      clock,
      events,
      issuers: new PeerIssuerClient(control.peerPool, (hostId, incarnation) => control.findTarget(hostId, incarnation)),
      execute: createOnceExecutor({ configuration: control.configuration, clock, requests, usage })
    })
    const entryOptions: EntryOptions = {
      configuration: control.configuration,
      clock,
      events,
      tokenizer,
      admission,
      requests,
      idempotency,
      usage,
      limits: settings.limits,
      metrics: new EntryMetrics(context.metrics, {
        openRequests: () => requests.view().length,
        runningRequests: () => admission.runningCount,
        queuedRequests: () => admission.queuedCount
      }),
      ready: options.ready,
      draining: options.draining
    }
    return new RequestPart(upstreams, admission, requests, idempotency, usage, appender, entryApplication(entryOptions))
  }

  /** Returns the handlers of the peer calls that this part serves. */
  peerHandlers (): PeerHandlers {
    return {
      submitUse: async ({ sequence, records }, { sender }) => {
        const batch = usageBatchSchema.safeParse({ ...sender, sequence, records: parseRecords(records) })
        if (!batch.success) return Result.err(failure('bad_request', 'the usage batch is malformed'))
        return (await this.appender.add(batch.data)).map(() => ({ stored: true }))
      },
      executeOnce: async call => {
        const outcome = await this.idempotency.executeIssued({
          key: call.key,
          team: call.team as Team,
          pool: call.pool as Pool,
          method: call.method,
          path: call.path,
          headers: Object.fromEntries(call.headers.map(({ name, value }) => [name, value])),
          body: call.body,
          timeoutMilliseconds: call.timeoutMilliseconds
        })
        return Result.ok(onceAnswerMessageOf(outcome))
      }
    }
  }

  /** Starts polling the upstreams, sending usage batches to the zone's appender, and appending received batches. */
  start (): void {
    this.upstreams.start()
    this.usage.start()
    this.appender.start()
  }

  /** Waits until all open requests have ended and their usage is stored. Resolves to false if the signal aborts first. */
  async drain (signal: AbortSignal): Promise<boolean> {
    const aborted = new Promise<false>(resolve => {
      signal.addEventListener('abort', () => resolve(false), { once: true })
    })
    const ended = await Promise.race([this.requests.drain().then(() => true), aborted])
    if (!ended) return false
    return await this.usage.flush(signal) && await this.appender.flush(signal)
  }

  /** Stops all tasks. */
  async stop (): Promise<void> {
    // Both are stopped concurrently: a batch that waits in this host's own appender ends only when the appender stops.
    await Promise.all([this.usage.stop(), this.appender.stop()])
    await this.upstreams.stop()
    this.admission.close()
  }
}

function parseRecords (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
