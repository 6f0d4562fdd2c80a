/**
 * An entry host on the users' platform: builds the request path over the store's configuration and workers, tells
 * the balancer when it is ready, and stops without cutting an answer.
 */
import { Hono } from 'hono'
import { type Clock, type Hash, loadHash, newIncarnation, SystemClock } from '../common/index.js'
import { type ListeningServer, serve } from '../entry/index.js'
import { defaultAttemptLimits, PromptComputation, RequestManager, type RequestManagerOptions, RetryBudget, type RetryLimits } from '../forwarding/index.js'
import { type ObservedEngine, RoleDuty } from '../fleet/index.js'
import { GroupLease } from '../leases/index.js'
import { EventLog, HybridClock, LineWriter, Metrics, Timeline } from '../observability/index.js'
import { DemandCollector, SplitRolePlanner } from '../roles/index.js'
import { PowerOfTwoPolicy, PrefixIndex, PromptPlacementPolicy } from '../routing/index.js'
import { UpstreamManager, type UpstreamView } from '../upstreams/index.js'
import { CallerListener } from './CallerListener.js'
import { PlatformDirectory } from './PlatformDirectory.js'
import type { PlatformSettings } from './PlatformSettings.js'
import { RequestMetrics } from './RequestMetrics.js'
import { StoreClient } from './StoreClient.js'
import { StoreDutyGroup } from './StoreDutyGroup.js'
import { TopicFollower, type TopicReceiver } from './TopicFollower.js'
import { WorkerOrders } from './WorkerOrders.js'
import { WorkerProtocol } from './WorkerProtocol.js'

/** Topics of the store. */
const configurationTopic = 'keyed.op'
const workerTopic = 'keyed.servers'

/**
 * Time after SIGTERM for which the listener stays open, in milliseconds. The balancer asks once a second and stops
 * sending after two misses; a third second covers its last connections.
 */
const listenAfterStopMilliseconds = 3000

/** Time before the platform kills the process at which it ends by itself, in milliseconds. */
const exitBeforeKillMilliseconds = 500

/** Part of the common retry ratio that hosts use, so that retries that arrive late stay in the bound of their window. */
const retryRatioPart = 0.75

/** Retries in a window that a host may send beyond that share; the owners' bounds allow at least 2.4 for each host. */
const retrySlackPerHost = 2

/** Idle connections to workers are kept this long, unless the worker states a shorter time. */
const workerKeepAliveMilliseconds = 30_000

/** Time between two looks at whether a pause of a worker is over. */
const workerCheckMilliseconds = 500

/** Workers of one service that a host uses at most. */
const maxWorkersPerService = 256

/** Bytes of an answer that are held so that the request can be repeated. */
const maxBufferedBytes = 1_048_576

/** Largest answer of a request that runs once; it is held until it is whole. */
const maxOnceAnswerBytes = 4_194_304

/** Speeds of the engines as their owners state them; a fetched token is 164 KB over 1,600 Gbit/s, twice as long between zones. */
const placementCosts = {
  prefillTokensPerMillisecond: 49.6,
  interleavedTokensPerMillisecond: 24.8,
  fetchedTokensPerMillisecond: 600,
  streamMilliseconds: 2,
  otherZoneMillisecondsPerToken: 0.0005
}

/** Largest header of a question about readiness or metrics, in bytes. */
const maxHeaderBytes = 16_384

/** Renewals of the membership between two hand-overs of a duty by the store; one may be lost. */
const renewalsPerLease = 3

/** A host on the platform. */
export class PlatformHost {
  private stopping: Promise<boolean> | undefined
  private readiness: ListeningServer | undefined
  private metricsServer: ListeningServer | undefined

  private constructor (
    private settings: PlatformSettings,
    private readonly clock: Clock,
    private readonly events: EventLog,
    private readonly lines: LineWriter,
    private readonly metrics: Metrics,
    private readonly directory: PlatformDirectory,
    private readonly followers: TopicFollower[],
    private readonly upstreams: UpstreamManager,
    private readonly requests: RequestManager,
    private readonly listener: CallerListener,
    private readonly lease: GroupLease,
    private readonly budget: RetryBudget
  ) {
    this.roleDuty = new RoleDuty({
      clock,
      events,
      planner: new SplitRolePlanner(settings.roles.prefillShare),
      demand: new DemandCollector(clock),
      capacity: unusedCapacity,
      orders: new WorkerOrders({ lease, upstreams, hostId: settings.host.id, clock, events }),
      engines: () => this.engines(),
      hasAuthority: () => lease.authority() !== undefined
    })
  }

  private readonly roleDuty: RoleDuty

  /** Builds a host that does not listen yet. */
  static async create (settings: PlatformSettings, clock: Clock = new SystemClock()): Promise<PlatformHost> {
    const lines = new LineWriter()
    const timeline = new Timeline(settings.host.id, new HybridClock(clock))
    const events = new EventLog({ timeline, level: settings.log.level, write: lines.writeLine })
    const metrics = new Metrics()
    const hash = await loadHash()
    const index = new PrefixIndex()
    const directory: PlatformDirectory = new PlatformDirectory({
      clock, events, workersConnectedSince: () => workers.connectedSince, onWorkerRestarted: id => index.forget(id)
    })
    const { stableWindowMilliseconds } = settings.bounds
    const follow = (topic: string, receiver: TopicReceiver): TopicFollower => new TopicFollower({
      topic, receiver, store: new StoreClient(settings.store.address), clock, events, stableWindowMilliseconds
    })
    const workers = follow(workerTopic, directory.workerReceiver)
    const configuration = follow(configurationTopic, directory.configurationReceiver)
    const upstreams = new UpstreamManager({
      hostId: settings.host.id,
      zone: settings.host.zone,
      configuration: directory,
      clock,
      events,
      hash,
      loadPollMilliseconds: workerCheckMilliseconds,
      subsetSize: maxWorkersPerService,
      keepAliveMilliseconds: workerKeepAliveMilliseconds
    })
    const budget = new RetryBudget(clock, retryLimitsOf(settings))
    const requests = new RequestManager(requestOptions(settings, { clock, events, hash, index, upstreams, budget }))
    const state = { stopping: false }
    const listener = new CallerListener({
      address: settings.listen.callers,
      routes: () => directory.routes,
      requests,
      clock,
      events,
      hash,
      metrics: new RequestMetrics(metrics),
      isStopping: () => state.stopping
    })
    metrics.gauge('log_lines_dropped_total', 'Log lines for which the reader was too slow.', [], gauge => {
      gauge.set(lines.droppedLines)
    })
    const lease = leaseOf(settings, clock, events)
    const host = new PlatformHost(
      settings, clock, events, lines, metrics, directory, [configuration, workers], upstreams, requests, listener, lease, budget)
    host.markStopping = () => { state.stopping = true }
    directory.onChange(() => {
      const limits = directory.routes?.configuration.limits
      if (limits !== undefined) listener.configure(limits)
    })
    return host
  }

  private markStopping = (): void => {}

  /** True if the balancer should send callers here. */
  get isReady (): boolean {
    return this.stopping === undefined && this.directory.isComplete
  }

  /** Listens and follows the store. Rejects if an address cannot be used. */
  async start (): Promise<void> {
    const { settings, events } = this
    const { host: { zone }, listen } = settings
    events.info('host_started', { zone, callers: listen.callers, readiness: listen.readiness, store: settings.store.address })
    for (const follower of this.followers) follower.start()
    this.upstreams.start()
    this.lease.start()
    this.roleDuty.start()
    this.readiness = await serve({ application: this.readinessApplication(), addresses: [listen.readiness], maxHeaderBytes })
    if (listen.metrics !== undefined) {
      this.metricsServer = await serve({ application: this.metricsApplication(), addresses: [listen.metrics], maxHeaderBytes })
    }
    await this.listener.listen()
    events.info('host_listening', this.addresses)
  }

  /** Actual addresses of the listeners. */
  get addresses (): { callers: string, readiness: string } {
    return { callers: this.listener.address, readiness: this.readiness?.addresses[0] ?? '' }
  }

  /** The known workers, as the router sees them. */
  workers (): UpstreamView[] {
    return this.upstreams.view()
  }

  /** Ends everything at once, without regard to open requests. */
  async close (): Promise<void> {
    await this.roleDuty.stop()
    await this.lease.stop()
    await Promise.all(this.followers.map(async follower => await follower.stop()))
    await this.upstreams.stop()
    await this.readiness?.close()
    await this.metricsServer?.close()
    await this.listener.closeAll()
    this.lines.flush()
  }

  /** Puts changed settings in force. Addresses and identity of a running process stay as they are. */
  reload (settings: PlatformSettings): void {
    this.settings = settings
    const limits = retryLimitsOf(settings)
    this.budget.configure(limits)
    this.events.info('settings_in_force', { grace: settings.bounds.graceSeconds, retryRatio: limits.ratio, retrySlack: limits.slack })
  }

  /** Notes settings that cannot be used; the former ones stay in force. */
  refuseSettings (reason: string): void {
    this.events.error('settings_refused', { reason })
  }

  /** Stops without cutting an answer. Resolves to false if requests were left when the time was up. */
  stop (): Promise<boolean> {
    this.stopping ??= this.stopOnce()
    return this.stopping
  }

  private async stopOnce (): Promise<boolean> {
    const { clock, events } = this
    this.markStopping()
    events.info('stop_started', { open: this.requests.view().length })
    const dutyEnded = this.roleDuty.stop().then(() => this.lease.stop())
    const limit = this.settings.bounds.graceSeconds * 1000 - exitBeforeKillMilliseconds
    const timeUp = new AbortController()
    const late = clock.sleep(limit, timeUp.signal).then(() => false)
    const finished = await Promise.race([Promise.all([this.finishRequests(), dutyEnded]).then(() => true), late])
    timeUp.abort()
    events.info('stop_ended', { complete: finished, open: this.requests.view().length })
    this.lines.flush()
    return finished
  }

  private async finishRequests (): Promise<void> {
    await this.clock.sleep(listenAfterStopMilliseconds)
    const closed = this.listener.close()
    await this.requests.drain()
    await closed
  }

  /** The engines as the planner of roles sees them. */
  private engines (): ObservedEngine[] {
    return [...this.directory.pools().values()].flatMap(pool => {
      const model = pool.kind === 'engines' ? pool.models[0] : undefined
      if (model === undefined) return []
      return pool.workers.flatMap(({ id }) => {
        const upstream = this.upstreams.worker(id)
        if (upstream === undefined || upstream.description.worker.draining) return []
        return [{ worker: id, model, role: upstream.role, zone: upstream.zone, unavailable: !upstream.usable }]
      })
    })
  }

  private readinessApplication (): Hono {
    const application = new Hono()
    application.get('/v1/ready', context => context.body(null, this.isReady ? 200 : 503))
    return application
  }

  private metricsApplication (): Hono {
    const application = new Hono()
    application.get('/metrics', async context => context.text(await this.metrics.exposition()))
    return application
  }
}

/** The planner of a fixed split does not look at capacities. */
const unusedCapacity = { prefillTokensPerSecond: 1, decodeTokensPerSecond: 1, changeSeconds: 0, mixedEfficiency: 1 }

function leaseOf ({ host, store, bounds }: PlatformSettings, clock: Clock, events: EventLog): GroupLease {
  const durationMilliseconds = bounds.leaseMilliseconds
  const group = new StoreDutyGroup({
    store: new StoreClient(store.address),
    events,
    hostId: host.id,
    incarnation: newIncarnation(),
    timeToLiveMilliseconds: durationMilliseconds
  })
  return new GroupLease({
    group,
    clock,
    events,
    durationMilliseconds,
    renewMilliseconds: durationMilliseconds / renewalsPerLease,
    handoverMilliseconds: durationMilliseconds
  })
}

/** This host's part of the retries that all hosts share: by its own requests, and the same slack for each host. */
function retryLimitsOf ({ bounds }: PlatformSettings): RetryLimits {
  return { ratio: bounds.retryRatio * retryRatioPart, slack: Math.min(retrySlackPerHost, bounds.retrySlack) }
}

interface RequestParts {
  clock: Clock
  events: EventLog
  hash: Hash
  index: PrefixIndex
  upstreams: UpstreamManager
  budget: RetryBudget
}

function requestOptions (
  { host }: PlatformSettings,
  { clock, events, hash, index, upstreams, budget }: RequestParts
): RequestManagerOptions {
  const protocol = new WorkerProtocol()
  const withoutPrompt = new PowerOfTwoPolicy(hash.h32(host.id))
  const policy = new PromptPlacementPolicy({ index, hash, costs: placementCosts, withoutPrompt, seed: hash.h32(host.id) })
  return {
    upstreams,
    policy,
    servicePolicy: policy,
    protocol,
    promptComputation: new PromptComputation({ upstreams, policy, protocol, budget, clock, events }),
    limits: defaultAttemptLimits,
    clock,
    events,
    budget,
    maxBufferedBytes,
    maxOnceAnswerBytes
  }
}
