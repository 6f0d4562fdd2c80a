/**
 * An entry host on the users' platform: connects the request path to the configuration and the workers in the store,
 * reports readiness to the load balancer, and finishes open requests before it stops.
 */
import { Hono } from 'hono'
import { type Clock, EventLoopDelay, type Hash, type Incarnation, loadHash, newIncarnation, type Pool, SystemClock } from '../common/index.js'
import { type ListeningServer, serve } from '../entry/index.js'
import { defaultAttemptLimits, PromptComputation, RequestManager, type RequestManagerOptions, RetryBudget, type RetryLimits, type RunObserver } from '../forwarding/index.js'
import { type ObservedEngine, RolePlannerTask } from '../fleet/index.js'
import { ClientIntake, deriveIntakeLimits } from '../intake/index.js'
import { GroupLease, maxConfirmationMilliseconds } from '../leases/index.js'
import { RequestPermits } from '../limits/index.js'
import { EventLog, HybridClock, LineWriter, Metrics, Timeline } from '../observability/index.js'
import { LocalPromptPlacer, type PromptPlacer } from '../placement/index.js'
import { PartQuarantine } from '../quarantine/index.js'
import { DemandCollector, SplitRolePlanner } from '../roles/index.js'
import { CapacityPolicy, PowerOfTwoPolicy, PrefixIndex, PromptPlacementPolicy } from '../routing/index.js'
import { acceptsConnections, UpstreamManager, type UpstreamView } from '../upstreams/index.js'
import { CallerListener } from './CallerListener.js'
import type { StreamVersions } from '../versions/index.js'
import { CapacityPart } from './CapacityPart.js'
import { DutyPart } from './DutyPart.js'
import { registerCapacityMetrics } from './CapacityMetrics.js'
import { type ErrorEmitter, handleUnexpectedErrors } from './handleUnexpectedErrors.js'
import { PlacementPart } from './PlacementPart.js'
import { QuarantinePart } from './QuarantinePart.js'
import { PlatformDirectory } from './PlatformDirectory.js'
import type { PlatformSettings } from './PlatformSettings.js'
import { readWorkerNotice } from './readWorkerNotice.js'
import { RelayPart } from './relay/index.js'
import { RequestMetrics } from './RequestMetrics.js'
import { StoreAvailability } from './StoreAvailability.js'
import { StoreClient } from './StoreClient.js'
import { StoreDutyGroup } from './StoreDutyGroup.js'
import { StoreEra } from './StoreEra.js'
import { StreamVersionPart } from './StreamVersionPart.js'
import { TopicFollower, type TopicReceiver } from './TopicFollower.js'
import { responseTimeoutMilliseconds, WorkerOrders } from './WorkerOrders.js'
import { WorkerProtocol } from './WorkerProtocol.js'

/** Topics of the store: the operators' configuration, and the workers' entries. */
const configurationTopic = 'keyed.op'
const workerTopic = 'keyed.servers'

/**
 * Time for which the listener stays open after SIGTERM, in milliseconds. The load balancer checks readiness once a
 * second and stops sending requests after two failed checks. Requests that are sent 3 s after SIGTERM or later must not be
 * cut by the exit, so the listener closes earlier by more than a busy event loop delays it.
 */
const listenAfterStopMilliseconds = 2600

/**
 * Time between the end of a stop and the end of the grace period, when the platform kills the process, in milliseconds; in
 * a short grace period no more than a twelfth of it. Streams that the exit cuts before the last sixth count as lost.
 */
const maxExitMarginMilliseconds = 500
const maxExitMarginShare = 1 / 12

/**
 * Time before the end of a stop at which requests without a response receive a final answer, in milliseconds; it
 * suffices to send the answers.
 */
export const finalAnswerMilliseconds = 250

/** Time for which a stop waits until its log lines are written, in milliseconds. */
const logDrainMilliseconds = 100

/**
 * Factor on the retry ratio of the settings; the margin keeps the retries in a window within the owners' bound even when
 * retries arrive late.
 */
const retryRatioFactor = 0.75

/** Retries that a host may send in a window beyond its ratio; the owners' bounds allow at least 2.4 for each host. */
const retrySlackPerHost = 2

/** Time for which an idle connection to a worker is kept, in milliseconds, unless the worker states a shorter one. */
const workerKeepAliveMilliseconds = 30_000

/** Interval of the check whether a paused worker may receive requests again, in milliseconds. */
const workerCheckMilliseconds = 500

/** Maximum number of workers of one service to which a host sends requests. */
const maxWorkersPerService = 256

/** Maximum number of bytes of a response that are buffered so that the request can be retried. */
const maxBufferedBytes = 1_048_576

/**
 * Maximum size of the response to a request that may run only once, in bytes; the host buffers the complete response.
 */
const maxNonIdempotentResponseBytes = 4_194_304

/**
 * Costs for the placement of prompts, from the engine speeds that the owners state. To fetch a token from another
 * worker, 164 KB are sent over a link of 1,600 Gbit/s; between zones this takes twice as long.
 */
const placementCosts = {
  prefillTokensPerMillisecond: 49.6,
  interleavedTokensPerMillisecond: 24.8,
  fetchedTokensPerMillisecond: 600,
  millisecondsPerStream: 2,
  otherZoneMillisecondsPerToken: 0.0005
}

/**
 * Minimum processor of a host that schedules prompts, in cores. Scheduling takes up to a tenth of a core, beside the
 * host's own requests.
 */
const minSchedulerCores = 0.4

/** Constant part of the response time of a computed prompt until it is measured, in milliseconds. */
const promptBaseMilliseconds = 70

/** Maximum header size of a request to the readiness or metrics address, in bytes. */
const maxHeaderBytes = 16_384

/** Number of renewals of the group membership in one lease, so that the lease survives a failed renewal. */
const renewalsPerLease = 3

/** An entry host: built by `create`, run by `start`, drained by `stop`. */
export class PlatformHost {
  private stopping: Promise<boolean> | undefined
  private readinessServer: ListeningServer | undefined
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
    private readonly budget: RetryBudget,
    private readonly placement: PlacementPart,
    private readonly quarantine: PartQuarantine,
    private readonly quarantinePart: QuarantinePart,
    private readonly streamVersionPart: StreamVersionPart,
    private readonly loopDelay: EventLoopDelay,
    private readonly duties: DutyPart,
    private readonly capacity: CapacityPart
  ) {
    this.rolePlannerTask = new RolePlannerTask({
      clock,
      events,
      planner: new SplitRolePlanner(settings.roles.prefillShare),
      demand: new DemandCollector(clock),
      capacity: placeholderCapacity,
      orders: new WorkerOrders({ lease, upstreams, hostId: settings.host.id, clock, events }),
      engines: () => this.engines(),
      hasAuthority: () => lease.authority() !== undefined
    })
  }

  private readonly rolePlannerTask: RolePlannerTask

  /** Builds a host that does not listen yet. */
  static async create (settings: PlatformSettings, clock: Clock = new SystemClock()): Promise<PlatformHost> {
    const lines = new LineWriter()
    const timeline = new Timeline(settings.host.id, new HybridClock(clock))
    const events = new EventLog({ timeline, level: settings.log.level, write: lines.writeLine })
    const metrics = new Metrics()
    const hash = await loadHash()
    const intakeLimits = deriveIntakeLimits(settings.limits)
    const index = new PrefixIndex(intakeLimits.maxTableEntries)
    const directory: PlatformDirectory = new PlatformDirectory({
      clock,
      events,
      workersConnectedSince: () => workerFollower.connectedSince,
      storeReturnedAt: () => availability.returnedAt,
      onWorkerRestarted: id => {
        index.removeWorker(id)
        placement.held.removeWorker(id)
      },
      onWorkerLost: () => { quarantinePart.expectEvidence() }
    })
    const { stableWindowMilliseconds } = settings.bounds
    const era = new StoreEra(events)
    const availability = new StoreAvailability(clock)
    era.onRise(before => { if (before > 0) availability.recordReturn() })
    const relayPart = new RelayPart({
      settings,
      era,
      availability,
      clock,
      events,
      hash,
      metrics,
      candidates: () => placement.schedulingHosts(),
      onNoneLeft: () => { placement.reportNoSchedulingHost() }
    })
    const createFollower = (topic: string, receiver: TopicReceiver): TopicFollower => {
      const store = relayPart.storeFor(topic)
      return new TopicFollower({ topic, receiver, store, era, clock, events, stableWindowMilliseconds })
    }
    const workerFollower = createFollower(workerTopic, directory.workerReceiver)
    const configurationFollower = createFollower(configurationTopic, directory.configurationReceiver)
    const upstreams = new UpstreamManager({
      hostId: settings.host.id,
      zone: settings.host.zone,
      configuration: directory,
      clock,
      events,
      hash,
      loadPollMilliseconds: workerCheckMilliseconds,
      subsetSize: maxWorkersPerService,
      keepAliveMilliseconds: workerKeepAliveMilliseconds,
      readNotice: readWorkerNotice
    })
    registerCapacityMetrics(metrics, () => upstreams.view())
    const budget = new RetryBudget(clock, retryLimitsOf(settings))
    const policy = createPlacementPolicy(settings, hash, index)
    const incarnation = newIncarnation()
    const group = createDutyGroup(settings, incarnation, { era, availability }, events)
    const placement: PlacementPart = new PlacementPart({
      settings,
      era,
      clock,
      events,
      hash,
      upstreams,
      group,
      costs: {
        tokensPerMillisecond: placementCosts.prefillTokensPerMillisecond,
        baseMilliseconds: promptBaseMilliseconds,
        fetchedTokensPerMillisecond: placementCosts.fetchedTokensPerMillisecond
      },
      fallback: new LocalPromptPlacer(policy),
      services: relayPart.services,
      receiveReport: report => duties.receive(report)
    })
    const quarantine = new PartQuarantine({
      publish: evidence => { quarantinePart.exchange.publish(evidence) },
      acceptsConnections,
      clock,
      events,
      seed: hash.h32(settings.host.id)
    })
    const quarantinePart: QuarantinePart = new QuarantinePart({ settings, era, clock, events, receiver: quarantine })
    metrics.gauge('quarantined_prompt_parts', 'Parts of prompts that are refused since they crash workers.', [], gauge => {
      gauge.set(quarantine.size)
    })
    const lease = createLease(settings, group, clock, events)
    const duties: DutyPart = new DutyPart({
      settings,
      incarnation,
      era,
      clock,
      events,
      metrics,
      hash,
      lease,
      directory: placement.directory,
      demand: () => capacity.takeDemand()
    })
    const capacity: CapacityPart = new CapacityPart({
      directory, upstreams, lease, duties, prefillShare: settings.roles.prefillShare, clock, events
    })
    const streamVersionPart = new StreamVersionPart({ settings, era, directory, lease, clock, events, hash })
    const permits = new RequestPermits({ client: placement.permitClient, clock, events })
    const requests = new RequestManager(requestManagerOptions({
      clock,
      events,
      upstreams,
      budget,
      policy,
      quarantine,
      permits,
      placer: placement.placer,
      recordPrompt: (pool, outcome) => { capacity.recordPrompt(pool, outcome) },
      streamVersions: streamVersionPart.versions,
      runObserver: duties.runObserver
    }))
    const loopDelay = new EventLoopDelay(clock)
    loopDelay.start(error => events.error('event_loop_delay_ended', { reason: String(error) }))
    metrics.gauge('event_loop_delay_milliseconds', 'Average delay of the event loop.', [], gauge => {
      gauge.set(loopDelay.milliseconds)
    })
    const intake = new ClientIntake({ limits: intakeLimits, clock, events })
    intake.expose(metrics)
    const listener = new CallerListener({
      intake,
      address: settings.listen.callers,
      routes: () => directory.routes,
      isConfigurationCurrent: () => configurationFollower.isCurrent,
      requests,
      clock,
      events,
      hash,
      metrics: new RequestMetrics(metrics),
      eventLoopDelay: () => loopDelay.milliseconds
    })
    metrics.gauge('log_lines_dropped_total', 'Log lines for which the reader was too slow.', [], gauge => {
      gauge.set(lines.droppedLines)
    })
    const host = new PlatformHost(
      settings, clock, events, lines, metrics, directory, [configurationFollower, workerFollower], upstreams, requests,
      listener, lease, budget, placement, quarantine, quarantinePart, streamVersionPart, loopDelay, duties, capacity)
    directory.onChange(() => {
      const limits = directory.routes?.configuration.limits
      if (limits !== undefined) listener.configure(limits)
    })
    return host
  }

  /** True if the load balancer should send requests to this host. */
  get isReady (): boolean {
    return this.stopping === undefined && this.directory.isComplete
  }

  /** Starts to follow the store and to listen. Rejects if a listener cannot bind to its address. */
  async start (): Promise<void> {
    const { settings, events } = this
    const { host: { zone }, listen } = settings
    events.info('host_started', { zone, callers: listen.callers, readiness: listen.readiness, store: settings.store.address })
    for (const follower of this.followers) follower.start()
    this.upstreams.start()
    await this.placement.start()
    this.quarantinePart.start()
    this.streamVersionPart.start()
    this.lease.start()
    this.rolePlannerTask.start()
    this.duties.start()
    this.capacity.start()
    this.readinessServer = await serve({
      application: this.readinessApplication(), addresses: [listen.readiness], maxHeaderBytes
    })
    if (listen.metrics !== undefined) {
      this.metricsServer = await serve({ application: this.metricsApplication(), addresses: [listen.metrics], maxHeaderBytes })
    }
    await this.listener.listen()
    events.info('host_listening', this.addresses)
  }

  /** Addresses to which the listeners are bound. */
  get addresses (): { callers: string, readiness: string } {
    return { callers: this.listener.address, readiness: this.readinessServer?.addresses[0] ?? '' }
  }

  /** The known workers, as the router sees them. */
  workers (): UpstreamView[] {
    return this.upstreams.view()
  }

  /** Number of parts of prompts whose requests are refused, since they crash workers. */
  get quarantinedParts (): number {
    return this.quarantine.size
  }

  /** Stops everything at once and closes the connections of open requests. */
  async close (): Promise<void> {
    await this.rolePlannerTask.stop()
    await this.capacity.stop()
    await this.duties.stop()
    await this.lease.stop()
    await this.placement.stop()
    await this.quarantinePart.stop()
    await this.streamVersionPart.stop()
    await this.loopDelay.stop()
    await Promise.all(this.followers.map(async follower => await follower.stop()))
    await this.upstreams.stop()
    await this.readinessServer?.close()
    await this.metricsServer?.close()
    await this.listener.closeAll()
    this.lines.flush()
  }

  /** Applies changed settings. Changes of addresses and of the host's identity need a restart. */
  reload (settings: PlatformSettings): void {
    this.settings = settings
    const limits = retryLimitsOf(settings)
    this.budget.configure(limits)
    this.events.info('settings_in_force', { grace: settings.bounds.graceSeconds, retryRatio: limits.ratio, retrySlack: limits.slack })
  }

  /** Logs that changed settings are invalid; the previous ones stay in force. */
  logInvalidSettings (reason: string): void {
    this.events.error('settings_refused', { reason })
  }

  /** Keeps the process running after errors that no code handled. */
  handleUnexpectedErrors (emitter: ErrorEmitter): void {
    handleUnexpectedErrors(emitter, this.events, this.metrics)
  }

  /** Finishes open requests and stops. Resolves to false if requests were still open at the time limit. */
  stop (): Promise<boolean> {
    this.stopping ??= this.stopOnce()
    return this.stopping
  }

  private async stopOnce (): Promise<boolean> {
    const { clock, listener } = this
    const graceMilliseconds = this.settings.bounds.graceSeconds * 1000
    const exitMilliseconds = graceMilliseconds - Math.min(maxExitMarginMilliseconds, graceMilliseconds * maxExitMarginShare)
    const exitAt = clock.monotonic() + exitMilliseconds
    listener.startStop({ finalAnswerAt: exitAt - finalAnswerMilliseconds, exitAt })
    this.logStop('stop_started')
    const dutiesEnded = Promise.all([this.rolePlannerTask.stop(), this.capacity.stop(), this.duties.stopDuties()])
    const dutyEnded = dutiesEnded.then(() => this.lease.stop())
    const timeout = new AbortController()
    const timedOut = clock.sleep(exitMilliseconds, timeout.signal).then(() => false)
    const drained = this.drainRequests(exitMilliseconds - finalAnswerMilliseconds, timeout.signal)
    const finished = await Promise.race([Promise.all([drained, dutyEnded]).then(([complete]) => complete), timedOut])
    timeout.abort()
    this.logStop('stop_ended', finished)
    // Logs the end of each request that is still open.
    await listener.closeAll()
    await Promise.race([this.lines.drain(), clock.sleep(logDrainMilliseconds)])
    return finished
  }

  private logStop (event: string, complete?: boolean): void {
    const { connections, idle, unused, lateRequests, lastRequestMilliseconds } = this.listener.stopSummary
    this.events.info(event, {
      complete,
      open: this.requests.view().length,
      connections,
      idle,
      unused,
      late: lateRequests,
      last_request: lastRequestMilliseconds
    })
  }

  /**
   * Completes the open requests. Those whose response has not begun when the given time has passed receive a final
   * answer. Resolves to false if there were such requests. The signal aborts when the stop has ended.
   */
  private async drainRequests (answerMilliseconds: number, stopEnded: AbortSignal): Promise<boolean> {
    const { clock, listener } = this
    const listenMilliseconds = Math.max(0, Math.min(listenAfterStopMilliseconds, answerMilliseconds))
    await clock.sleep(listenMilliseconds)
    const closed = listener.close()
    this.logStop('listener_closed')
    let complete = true
    clock.sleep(answerMilliseconds - listenMilliseconds, stopEnded).then(() => {
      if (!stopEnded.aborted) complete = listener.answerOpenRequests() === 0
    }, () => {})
    await Promise.all([this.requests.drain(), closed])
    await this.duties.stop()
    return complete
  }

  /** The engines that are not draining, as input for the role planner. */
  private engines (): ObservedEngine[] {
    return [...this.directory.pools().values()].flatMap(pool => {
      const model = pool.kind === 'engines' ? pool.models[0] : undefined
      if (model === undefined) return []
      return pool.workers.flatMap(({ id }) => {
        const upstream = this.upstreams.worker(id)
        if (upstream === undefined || upstream.description.worker.draining || upstream.hasAnnouncedStop) return []
        const { role, zone, acceptsNewRequests, limit } = upstream
        return [{ worker: id, model, role, zone, unavailable: !acceptsNewRequests, limitedSince: limit.since }]
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

/** Required by `RolePlannerTask`; `SplitRolePlanner` plans a fixed split and ignores capacities. */
const placeholderCapacity = { prefillTokensPerSecond: 1, decodeTokensPerSecond: 1, changeSeconds: 0, mixedEfficiency: 1 }

function createDutyGroup (
  { host, store, bounds, listen }: PlatformSettings,
  incarnation: Incarnation,
  { era, availability }: { era: StoreEra, availability: StoreAvailability },
  events: EventLog
): StoreDutyGroup {
  return new StoreDutyGroup({
    store: new StoreClient(store.address, era, availability),
    era,
    events,
    hostId: host.id,
    incarnation,
    timeToLiveMilliseconds: bounds.leaseMilliseconds,
    peerAddress: listen.peers,
    zone: host.zone,
    schedulesPrompts: listen.peers !== undefined && host.cpuShare * host.cores >= minSchedulerCores
  })
}

function createLease ({ bounds }: PlatformSettings, group: StoreDutyGroup, clock: Clock, events: EventLog): GroupLease {
  const durationMilliseconds = bounds.leaseMilliseconds
  return new GroupLease({
    group,
    clock,
    events,
    durationMilliseconds,
    renewMilliseconds: durationMilliseconds / renewalsPerLease,
    // An order of the former holder arrives at the latest by the time at which its sender gives up.
    handoverMilliseconds: durationMilliseconds + maxConfirmationMilliseconds + responseTimeoutMilliseconds
  })
}

/** This host's share of the retries of all hosts: a ratio of its own requests, plus the same slack for each host. */
function retryLimitsOf ({ bounds }: PlatformSettings): RetryLimits {
  return { ratio: bounds.retryRatio * retryRatioFactor, slack: Math.min(retrySlackPerHost, bounds.retrySlack) }
}

interface RequestDependencies {
  clock: Clock
  events: EventLog
  upstreams: UpstreamManager
  budget: RetryBudget
  policy: PromptPlacementPolicy
  quarantine: PartQuarantine
  permits: RequestPermits
  placer: PromptPlacer
  recordPrompt: (pool: Pool, outcome: 'computed' | 'refused') => void
  streamVersions: StreamVersions
  runObserver: RunObserver | undefined
}

function createPlacementPolicy ({ host }: PlatformSettings, hash: Hash, index: PrefixIndex): PromptPlacementPolicy {
  const seed = hash.h32(host.id)
  const policyWithoutPrompt = new CapacityPolicy(seed, new PowerOfTwoPolicy(seed))
  return new PromptPlacementPolicy({ index, hash, costs: placementCosts, policyWithoutPrompt, seed })
}

function requestManagerOptions (
  {
    clock, events, upstreams, budget, policy, quarantine, permits, placer, recordPrompt, streamVersions, runObserver
  }: RequestDependencies
): RequestManagerOptions {
  const protocol = new WorkerProtocol()
  return {
    upstreams,
    policy,
    servicePolicy: policy,
    protocol,
    promptComputation: new PromptComputation({
      upstreams, policy, placer, protocol, budget, clock, events, quarantine, permits, recordPrompt
    }),
    permits,
    quarantine,
    limits: defaultAttemptLimits,
    clock,
    events,
    budget,
    maxBufferedBytes,
    maxNonIdempotentResponseBytes,
    streamVersions,
    ...(runObserver === undefined ? {} : { runObserver })
  }
}
