/**
 * The request path of one host for tests, without the log, peers or the platform.
 */
import { createHash } from 'node:crypto'
import { Result } from 'true-myth'
import { AdmissionManager } from '../../admission/index.js'
import {
  type Clock, type Failure, type HostId, type Incarnation, loadHash, ManualClock, type Zone
} from '../../common/index.js'
import { FixedConfiguration } from '../../configuration/index.js'
import { defaultAttemptLimits, RequestManager, type RequestManagerOptions, RetryBudget, ServiceProtocol } from '../../forwarding/index.js'
import { IdempotencyManager, UnreachableIssuerClient } from '../../idempotency/index.js'
import { EventLog, HybridClock, Timeline } from '../../observability/index.js'
import { RoundRobinPolicy, WordTokenizer } from '../../routing/index.js'
import { UpstreamManager } from '../../upstreams/index.js'
import { type UsageBatch, UsageManager, UsageSink } from '../../usage/index.js'
import { entryApplication, type EntryOptions, createOnceExecutor, serve } from '../index.js'

/** A usage sink that accepts every batch and keeps it for the test. */
export class RecordingUsageSink extends UsageSink {
  readonly batches: UsageBatch[] = []

  async submit (batch: UsageBatch): Promise<Result<void, Failure>> {
    this.batches.push(batch)
    return Result.ok(undefined)
  }
}

/** Options of a test host. */
export interface TestHostOptions {
  clock?: Clock
  /** Addresses of engines of model `carassius`. */
  engines?: string[]
  /** Addresses of workers of the service pool `votes`. */
  services?: string[]
  limits?: Partial<EntryOptions['limits']>
  generation?: Partial<RequestManagerOptions>
  maxConcurrent?: number
  documents?: Record<string, unknown>
}

/** Token of the team `reef`, without an expiry. */
export const reefToken = 'reef-secret'

/** Token of the team `reef` that expires one second, by the host's clock, after `createTestHost` was called. */
export const expiringToken = 'old-secret'

const routes = [
  { method: 'GET', pathPrefix: '/', class: 'idempotent' },
  { method: 'POST', pathPrefix: '/claims', class: 'once_logged_claim' }
]

function documentsOf (options: TestHostOptions, clock: Clock): Record<string, unknown> {
  const worker = (prefix: string) => (address: string, index: number) =>
    ({ id: `${prefix}-${index}`, zone: 'a', address, checksFencing: false, reportsLoad: true })
  return {
    '/fleet/models/carassius': { versions: ['1'], defaultVersion: '1', contextTokens: 8192 },
    '/fleet/pools/engines': { kind: 'engines', workers: (options.engines ?? []).map(worker('engine')), models: ['carassius'] },
    '/fleet/pools/votes': { kind: 'service', workers: (options.services ?? []).map(worker('vote')), service: { routes } },
    '/teams/reef/account': {
      owner: 'acuarios',
      tokens: [
        { sha256: sha256(reefToken) },
        { sha256: sha256(expiringToken), expiresAt: clock.wall() + 1000 }
      ],
      operator: false
    },
    ...options.documents
  }
}

function sha256 (text: string): string {
  return createHash('sha256').update(text).digest('hex')
}

let hash: ReturnType<typeof loadHash> | undefined

/** Creates a test host. It does not listen: requests go to `application`. Changes of `state` take effect at once. */
export async function createTestHost (options: TestHostOptions = {}) {
  const clock = options.clock ?? new ManualClock()
  const timeline = new Timeline('host-1', new HybridClock(clock))
  const events = new EventLog({ timeline, level: 'error', write: () => {} })
  const configuration = new FixedConfiguration(documentsOf(options, clock))
  const hostId = 'host-1' as HostId
  const incarnation = '0123456789abcdef' as Incarnation
  hash ??= loadHash()
  const upstreams = new UpstreamManager({
    hostId, zone: 'a' as Zone, configuration, clock, events, hash: await hash, loadPollMilliseconds: 500, subsetSize: 32
  })
  const requests = new RequestManager({
    upstreams,
    policy: new RoundRobinPolicy(),
    servicePolicy: new RoundRobinPolicy(),
    protocol: new ServiceProtocol(),
    clock,
    events,
    budget: new RetryBudget(clock, { ratio: 0.1, slack: 100 }),
    limits: defaultAttemptLimits,
    maxBufferedBytes: 262_144,
    maxNonIdempotentResponseBytes: 1_048_576,
    ...options.generation
  })
  const usageSink = new RecordingUsageSink()
  const usage = new UsageManager({ hostId, incarnation, sink: usageSink, clock, events })
  const idempotency = new IdempotencyManager({
    hostId,
    incarnation,
    clock,
    events,
    issuers: new UnreachableIssuerClient(),
    execute: createOnceExecutor({ configuration, clock, requests, usage })
  })
  const admission = new AdmissionManager({ configuration, clock, maxConcurrent: options.maxConcurrent ?? 100, maxQueued: 100 })
  const limits = {
    maxBodyBytes: 10_000,
    maxHeaderBytes: 4096,
    defaultTimeoutMilliseconds: 30_000,
    maxTimeoutMilliseconds: 600_000,
    ...options.limits
  }
  const state = { ready: true, draining: false }
  const application = entryApplication({
    configuration,
    clock,
    events,
    tokenizer: new WordTokenizer(),
    admission,
    requests,
    idempotency,
    usage,
    limits,
    ready: () => state.ready,
    draining: () => state.draining
  })
  return {
    application, configuration, clock, timeline, upstreams, requests, usage, idempotency, admission, usageSink, state, limits
  }
}

/** The application of a test host and the parts that it uses. */
export type TestHost = Awaited<ReturnType<typeof createTestHost>>

/** Makes a test host listen on a local port. */
export async function startServer (host: TestHost) {
  const server = await serve({
    application: host.application, addresses: ['127.0.0.1:0'], maxHeaderBytes: host.limits.maxHeaderBytes
  })
  return { origin: `http://${server.addresses[0]}`, close: server.close }
}

/** Waits until the open requests have ended and returns all usage records of the host. */
export async function flushUsageRecords (host: TestHost) {
  await host.requests.drain()
  await host.usage.flush(new AbortController().signal)
  return host.usageSink.batches.flatMap(batch => batch.records)
}
