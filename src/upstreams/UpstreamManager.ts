/**
 * Owns the upstreams that this host routes to: a bounded subset of each pool, one poll task per worker, and cached
 * candidate lists per model and pool. The lists are rebuilt only when the availability, role or models of a worker or
 * the configuration of the fleet change.
 */
import { BoundedTable, type Clock, type Hash, type HostId, type Model, type Pool, type RequestId, Task, type WorkerId, type Zone } from '../common/index.js'
import type { ConfigurationReader, EngineRole, PoolDocument } from '../configuration/index.js'
import type { EventLog } from '../observability/index.js'
import { UsualLatencies } from '../concurrency/index.js'
import { chooseSubset } from './chooseSubset.js'
import type { LoadReport } from './LoadReport.js'
import { pollLoad } from './pollLoad.js'
import { probeAddress } from './probeAddress.js'
import { CapacityLog } from './CapacityLog.js'
import { type MeasuredRequest, RequestTracker } from './RequestTracker.js'
import { type DoubtReason, maxCarriedCalls, Upstream, type UpstreamDescription } from './Upstream.js'
import type { StatedLimit, WorkerLimit } from './StatedLimit.js'
import type { UpstreamResponseHead, WorkerNotice } from './WorkerNotice.js'

/** Options of an `UpstreamManager`. */
export interface UpstreamManagerOptions {
  hostId: HostId
  zone: Zone
  configuration: ConfigurationReader
  clock: Clock
  events: EventLog
  hash: Hash
  /** Time between two polls of one worker. */
  loadPollMilliseconds: number
  /** Maximum number of workers of one pool that this host routes to. */
  subsetSize: number
  /** Time after which an idle connection to a worker is closed. Default: 4,000. */
  keepAliveMilliseconds?: number
  /**
   * Reads what a worker states about itself in a response, which must bear the id of the request if there is one; by default
   * responses state nothing.
   */
  readNotice?: (head: UpstreamResponseHead, requestId?: RequestId) => WorkerNotice | undefined
  /** Additional task for each engine, such as one that follows its cache events. */
  engineTask?: (upstream: Upstream, signal: AbortSignal) => Promise<void>
}

/** One worker, as operators see it. */
export interface UpstreamView {
  id: WorkerId
  pool: Pool
  kind: PoolDocument['kind']
  zone: Zone
  address: string
  role: EngineRole
  available: boolean
  leaving: boolean
  draining: boolean
  /** Requests a second that the worker takes from all hosts together; undefined if it states no limit. */
  limitPerSecond: number | undefined
  /** Number of open requests that the worker handles well; infinite if it is not known. */
  concurrencyLimit: number
  /** Factor on the time that the workers usually take. */
  slowness: number
  /** Requests of this host to the worker that have not ended. */
  outstanding: number
  queuedPrefillTokens: number
  runningDecodes: number
  report: LoadReport | undefined
}

/**
 * Number of processes that are remembered as leaving after they were removed. An entry is needed until the last document
 * that describes the process is replaced.
 */
const maxLeavingProcesses = 4096

/** Time for which the end of a worker's limit is passed on, in milliseconds. */
const endedLimitMilliseconds = 10_000

/** Purpose of a candidate list; see `candidatesForModel`. */
export type CandidatePurpose = 'start' | 'decode'

interface Entry { upstream: Upstream, tasks: Task[] }

/** Keeps the upstreams in line with the configuration, polls them and lists the candidates for new work. */
export class UpstreamManager {
  private readonly entries = new Map<WorkerId, Entry>()
  private readonly candidateLists = new Map<string, readonly Upstream[]>()
  private readonly idleWaiters = new Map<WorkerId, Array<() => void>>()
  /** Processes that have stated that they leave, also those that were removed and may be listed again. */
  private readonly leavingProcesses = new BoundedTable<true>(maxLeavingProcesses)
  /** The latest calls of all upstreams, so that their memory does not grow with the number of upstreams. */
  private readonly carriedCalls = new BoundedTable<true>(maxCarriedCalls)
  private readonly usualLatencies = new UsualLatencies()
  private readonly capacityLog: CapacityLog
  private isStarted = false
  private unsubscribe = (): void => {}

  constructor (private readonly options: UpstreamManagerOptions) {
    this.capacityLog = new CapacityLog(options.clock, options.events)
    this.reconcile()
    this.unsubscribe = options.configuration.onChange(paths => {
      if (paths.some(path => path.startsWith('/fleet/pools/') || path.startsWith('/fleet/roles/'))) this.reconcile()
    })
  }

  /** Starts the poll tasks. */
  start (): void {
    this.isStarted = true
    for (const entry of this.entries.values()) this.startTasks(entry)
  }

  /** Stops the poll tasks. Open requests continue; connections close when the requests on them have ended. */
  async stop (): Promise<void> {
    this.isStarted = false
    this.unsubscribe()
    await Promise.all([...this.entries.values()].flatMap(({ tasks }) => tasks.splice(0)).map(task => task.stop()))
    for (const { upstream } of this.entries.values()) upstream.close().catch(() => {})
  }

  /**
   * Engines that may be sent work for a model, those in the zone of this host first. `start`: engines that may compute
   * the prompt; `decode`: engines that may continue from an imported KV cache.
   */
  candidatesForModel (model: Model, purpose: CandidatePurpose = 'start'): readonly Upstream[] {
    return this.candidateList(`${purpose}/${model}`, upstream => {
      if (upstream.description.kind !== 'engines' || !upstream.models.includes(model)) return false
      return purpose === 'start' ? upstream.role !== 'decode' : upstream.role !== 'prefill'
    })
  }

  /**
   * Workers of a pool that may be sent the given kind of work, those in the zone of this host first. A worker without a
   * role may be sent both kinds.
   */
  candidatesForPool (pool: Pool, work: 'prefill' | 'decode' = 'decode'): readonly Upstream[] {
    const excluded = work === 'prefill' ? 'decode' : 'prefill'
    return this.candidateList(`pool/${work}/${pool}`, upstream => upstream.description.pool === pool && upstream.role !== excluded)
  }

  /** The worker, if it is in this host's subset. */
  worker (id: WorkerId): Upstream | undefined {
    return this.entries.get(id)?.upstream
  }

  /**
   * Time until the pause of a pool's worker ends that is otherwise ready for requests, in milliseconds; undefined if there
   * is no such worker.
   */
  millisecondsUntilAvailable (pool: Pool): number | undefined {
    const pauses = [...this.entries.values()].flatMap(({ upstream }) =>
      upstream.description.pool === pool && upstream.isPaused ? [upstream.health.remainingPauseMilliseconds] : [])
    return pauses.length === 0 ? undefined : Math.min(...pauses)
  }

  /** What this host knows of the limits of a pool's workers: the limits in force, and those that ended a short time ago. */
  limitsOf (pool: Pool): WorkerLimit[] {
    const now = this.options.clock.monotonic()
    return [...this.entries.values()].flatMap(({ upstream: { id, description, limit: { newest } } }) => {
      if (newest === undefined || description.pool !== pool) return []
      const isOld = newest.perSecond === undefined && now - newest.at > endedLimitMilliseconds
      return isOld ? [] : [{ worker: id, evidence: newest }]
    })
  }

  /** Takes over what other hosts know of the limits of workers, as far as it is newer. */
  learnLimits (limits: readonly WorkerLimit[]): void {
    for (const { worker, evidence } of limits) {
      const upstream = this.worker(worker)
      if (upstream !== undefined) this.changeLimit(upstream, limit => { limit.learn(evidence) })
    }
  }

  /**
   * Counts a request that is about to be sent. `prefillTokens` is 0 for services; `measured`: what the request tells about
   * the capacity of the worker, undefined if nothing.
   */
  begin (upstream: Upstream, prefillTokens: number, measured?: MeasuredRequest): RequestTracker {
    const onEnd = (): void => {
      this.capacityLog.record(upstream)
      this.updateAvailability(upstream)
    }
    return new RequestTracker(upstream, prefillTokens, this.options.clock, onEnd, measured)
  }

  /** Records that a worker has answered out of turn, so that none of its connections is kept for a while. */
  doubtConnections (upstream: Upstream, reason: DoubtReason): void {
    if (upstream.doubtConnections()) this.options.events.warn('connections_doubted', { worker: upstream.id, reason })
  }

  /**
   * True if the process of an upstream has ended without leaving in order, which only its address tells once its connections
   * are closed. An address that does not answer in time may be that of a busy process. Takes as long as `probeAddress`.
   */
  async hasCrashed (upstream: Upstream, signal?: AbortSignal): Promise<boolean> {
    if (this.hasRestarted(upstream)) return true
    if (upstream.isLeaving) return false
    const state = await probeAddress(upstream.description.worker.address, signal)
    return this.hasRestarted(upstream) || (state === 'refuses' && !upstream.isLeaving)
  }

  /** True if another process has taken the place of an upstream under its id. */
  private hasRestarted (upstream: Upstream): boolean {
    const present = this.worker(upstream.id)
    return present !== undefined && processKeyOf(present.description) !== processKeyOf(upstream.description)
  }

  /** Removes a worker from the candidate lists for a role change, or adds it again. */
  setDraining (id: WorkerId, draining: boolean): void {
    const upstream = this.worker(id)
    if (upstream === undefined) return
    upstream.draining = draining
    this.options.events.info(draining ? 'worker_drain_started' : 'worker_drain_ended', { worker: id })
    this.updateAvailability(upstream)
  }

  /** Requests of this host to the worker that have not ended, or 0 if the worker is unknown. */
  outstandingRequests (id: WorkerId): number {
    return this.worker(id)?.load.outstanding ?? 0
  }

  /** Resolves when no request of this host to the worker is open. */
  async whenIdle (id: WorkerId): Promise<void> {
    while (this.outstandingRequests(id) > 0) {
      await new Promise<void>(resolve => {
        this.idleWaiters.set(id, [...this.idleWaiters.get(id) ?? [], resolve])
      })
    }
  }

  /** All workers that this host routes to. */
  view (): UpstreamView[] {
    return [...this.entries.values()].map(({ upstream }) => ({
      id: upstream.id,
      pool: upstream.description.pool,
      kind: upstream.description.kind,
      zone: upstream.zone,
      address: upstream.description.worker.address,
      role: upstream.role,
      available: upstream.acceptsNewRequests,
      leaving: upstream.leaving || upstream.hasAnnouncedStop,
      draining: upstream.draining || upstream.description.worker.draining,
      limitPerSecond: upstream.limit.perSecond,
      concurrencyLimit: upstream.capacity.limit,
      slowness: upstream.capacity.slowness,
      outstanding: upstream.load.outstanding,
      queuedPrefillTokens: upstream.load.queuedPrefillTokens,
      runningDecodes: upstream.load.runningDecodes,
      report: upstream.load.lastReport
    }))
  }

  private candidateList (key: string, isCandidate: (upstream: Upstream) => boolean): readonly Upstream[] {
    const cachedList = this.candidateLists.get(key)
    if (cachedList !== undefined) return cachedList
    const available = [...this.entries.values()]
      .map(entry => entry.upstream)
      .filter(upstream => upstream.available && isCandidate(upstream))
    const certain = available.filter(({ description }) => description.worker.uncertain !== true)
    const candidates = certain.length > 0 ? certain : available
    const list = [...candidates.filter(upstream => upstream.isInOwnZone), ...candidates.filter(upstream => !upstream.isInOwnZone)]
    if (list.length > 0) this.candidateLists.set(key, list)
    return list
  }

  /** Adds, updates and removes upstreams to match the configuration. */
  private reconcile (): void {
    const chosenIds = new Set<WorkerId>()
    const roles = this.options.configuration.roles()
    for (const [pool, document] of this.options.configuration.pools()) {
      for (const worker of chooseSubset(document.workers, { ...this.options, size: this.options.subsetSize })) {
        chosenIds.add(worker.id)
        const role = roles.get(worker.id)?.role ?? 'mixed'
        this.addOrUpdate(pool, document, worker, role)
      }
    }
    for (const [id, entry] of this.entries) {
      if (!chosenIds.has(id)) this.remove(entry)
    }
    this.candidateLists.clear()
  }

  private addOrUpdate (pool: Pool, document: PoolDocument, worker: PoolDocument['workers'][number], role: EngineRole): void {
    const models = document.kind === 'engines' ? document.models : []
    const description = { pool, kind: document.kind, worker, models, role, isInOwnZone: worker.zone === this.options.zone }
    const existing = this.entries.get(worker.id)
    if (existing !== undefined) {
      if (isSameProcess(existing.upstream.description, description)) {
        existing.upstream.description = description
        this.updateAvailability(existing.upstream)
        return
      }
      this.remove(existing)
    }
    const { clock, keepAliveMilliseconds, readNotice } = this.options
    const upstream = new Upstream(description, {
      clock,
      keepAliveMilliseconds,
      carriedCalls: this.carriedCalls,
      usualLatencies: this.usualLatencies,
      onResponse: (from, head, sentAt, requestId) => {
        const notice = readNotice?.(head, requestId)
        if (notice !== undefined) this.recordNotice(from, notice, sentAt)
      },
      onSurplus: from => { this.doubtConnections(from, 'surplus') }
    })
    upstream.hasAnnouncedStop = this.leavingProcesses.get(processKeyOf(description)) === true
    // The limit ends with its process, also for the hosts that do not know yet that it has ended.
    if (existing?.upstream.limit.perSecond !== undefined) upstream.limit.learn({ perSecond: undefined, at: clock.monotonic() })
    upstream.available = upstream.acceptsNewRequests
    const entry: Entry = { upstream, tasks: [] }
    this.entries.set(worker.id, entry)
    if (this.isStarted) this.startTasks(entry)
  }

  private remove (entry: Entry): void {
    entry.upstream.removed = true
    entry.upstream.available = false
    this.entries.delete(entry.upstream.id)
    this.options.events.info('worker_removed', { worker: entry.upstream.id })
    for (const task of entry.tasks) task.stop().catch(() => {})
    entry.upstream.close().catch(() => {})
  }

  private recordNotice (upstream: Upstream, notice: WorkerNotice, sentAt: number): void {
    this.changeLimit(upstream, limit => { limit.recordResponse(notice.perSecond, sentAt, this.options.clock.monotonic()) })
    if (notice.load !== undefined) upstream.capacity.recordLoad(notice.load, upstream.load.outstanding)
    if (notice.pauseMilliseconds > 0) this.recordPause(upstream, notice.pauseMilliseconds)
    if (notice.leaving && !upstream.hasAnnouncedStop) this.recordAnnouncedStop(upstream)
  }

  private recordPause (upstream: Upstream, milliseconds: number): void {
    this.options.events.info('worker_pause_stated', { worker: upstream.id, pool: upstream.description.pool, milliseconds })
    upstream.health.pauseFor(milliseconds)
    this.updateAvailability(upstream)
  }

  /** Changes what this host knows of a worker's limit, and logs a change of the limit. */
  private changeLimit (upstream: Upstream, change: (limit: StatedLimit) => void): void {
    const { events } = this.options
    const { id, limit, description: { pool } } = upstream
    const before = limit.perSecond
    change(limit)
    if (limit.perSecond === before) return
    const event = limit.perSecond === undefined ? 'worker_limit_ended' : 'worker_limit_stated'
    events.info(event, { worker: id, pool, per_second: limit.perSecond, before })
  }

  private recordAnnouncedStop (upstream: Upstream): void {
    const { pool, worker: { address } } = upstream.description
    this.options.events.info('worker_leaving_announced', { worker: upstream.id, pool, address })
    upstream.hasAnnouncedStop = true
    this.leavingProcesses.set(processKeyOf(upstream.description), true)
    this.updateAvailability(upstream)
  }

  private startTasks (entry: Entry): void {
    if (entry.tasks.length > 0) return
    const { upstream } = entry
    const { clock, events, loadPollMilliseconds, engineTask } = this.options
    const onError = (error: unknown): void => {
      events.error('worker_task_ended', { worker: upstream.id, reason: String(error) })
    }
    const poll = { clock, intervalMilliseconds: loadPollMilliseconds, onPoll: () => this.afterPoll(upstream) }
    entry.tasks.push(Task.start(signal => pollLoad(upstream, poll, signal), onError))
    if (engineTask === undefined || upstream.description.kind !== 'engines') return
    entry.tasks.push(Task.start(signal => engineTask(upstream, signal), onError))
  }

  private readonly lastRoleAndModels = new WeakMap<Upstream, string>()

  /** The candidate lists depend on the reported role and models, so a change of these clears the lists. */
  private afterPoll (upstream: Upstream): void {
    const roleAndModels = `${upstream.role} ${upstream.models.join(' ')}`
    if (this.lastRoleAndModels.get(upstream) !== roleAndModels) this.candidateLists.clear()
    this.lastRoleAndModels.set(upstream, roleAndModels)
    this.updateAvailability(upstream)
  }

  private updateAvailability (upstream: Upstream): void {
    if (upstream.load.outstanding === 0) {
      for (const wake of this.idleWaiters.get(upstream.id) ?? []) wake()
      this.idleWaiters.delete(upstream.id)
    }
    if (upstream.available === upstream.acceptsNewRequests) return
    upstream.available = upstream.acceptsNewRequests
    this.candidateLists.clear()
    this.options.events.info(upstream.available ? 'worker_available' : 'worker_unavailable', { worker: upstream.id })
  }
}

/**
 * True if both describe the same process. Role, models and draining may differ, since they change while a process runs.
 */
function isSameProcess (left: UpstreamDescription, right: UpstreamDescription): boolean {
  return left.pool === right.pool && left.kind === right.kind &&
    processKeyOf(left) === processKeyOf(right) && left.worker.reportsLoad === right.worker.reportsLoad
}

/** Identifies a process of a worker. */
function processKeyOf ({ worker: { id, address, startedAt } }: UpstreamDescription): string {
  return `${id} ${address} ${startedAt ?? ''}`
}
